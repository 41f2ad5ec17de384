package lupinvalve.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.capacity.CapacityModel;
import lupinvalve.capacity.CapacityPage;
import lupinvalve.capacity.Demand;
import lupinvalve.capacity.Slopes;
import lupinvalve.capacity.Table;
import org.kohsuke.args4j.Option;

/** Computes the tables of the pages on capacity from the file of slopes: writes them, or says which of them differ. */
public final class CapacityCommand implements Lab.Command {
    @Option(name = "--slopes", metaVar = "FILE", usage = "what scale runs measured")
    private Path slopes = Path.of("docs/capacity/slopes.json");

    @Option(name = "--page", metaVar = "FILE", usage = "the page with the overview")
    private Path page = Path.of("docs/CAPACITY.md");

    @Option(name = "--places", metaVar = "FILE", usage = "the page with the tables of each place")
    private Path places = Path.of("docs/capacity/places.md");

    @Option(name = "--check", usage = "changes nothing; ends with 1 where a table differs")
    private boolean check;

    @Override
    public int run(PrintStream out) throws Lab.BadInput {
        CapacityModel model;
        try {
            model = new CapacityModel(Demand.OPERATORS, Slopes.read(Files.readAllBytes(slopes)));
        } catch (IOException e) {
            throw new Lab.BadInput("capacity: --slopes " + slopes + " can't be read: " + firstLine(e));
        }
        int stale = bring(out, "--page", page, model.overview()) + bring(out, "--places", places, model.places());
        return check && stale > 0 ? 1 : 0;
    }

    /** Gives how many tables of a page differ. */
    private int bring(PrintStream out, String option, Path file, List<Table> tables) throws Lab.BadInput {
        try {
            String before = Files.readString(file);
            List<String> stale = CapacityPage.stale(before, tables);
            stale.forEach(name -> out.println(file + ": " + name + (check ? " differs" : " written")));
            if (!check) {
                Files.writeString(file, CapacityPage.render(before, tables));
            }
            return stale.size();
        } catch (IOException | IllegalArgumentException e) {
            throw new Lab.BadInput("capacity: " + option + " " + file + " can't be used: " + firstLine(e));
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
