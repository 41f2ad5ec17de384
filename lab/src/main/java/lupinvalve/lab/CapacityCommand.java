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

/** Computes the tables of the capacity pages from the file of slopes and writes them, or reports which ones differ. */
public final class CapacityCommand implements Lab.Command {
    @Option(name = "--slopes", metaVar = "FILE", usage = "the slopes that scale runs have measured")
    private Path slopes = Path.of("docs/capacity/slopes.json");

    @Option(name = "--page", metaVar = "FILE", usage = "the page with the overview")
    private Path page = Path.of("docs/CAPACITY.md");

    @Option(name = "--places", metaVar = "FILE", usage = "the page with the tables of each place")
    private Path places = Path.of("docs/capacity/places.md");

    @Option(name = "--check", usage = "changes nothing; exits with 1 if a table differs")
    private boolean check;

    @Override
    public int run(PrintStream out) throws Lab.BadInput {
        CapacityModel model;
        try {
            model = new CapacityModel(Demand.OPERATORS, Slopes.read(Files.readAllBytes(slopes)));
        } catch (IOException e) {
            throw new Lab.BadInput("capacity: --slopes " + slopes + " can't be read: " + firstLine(e));
        }
        int staleCount =
                updatePage(out, "--page", page, model.overview()) + updatePage(out, "--places", places, model.places());
        return check && staleCount > 0 ? 1 : 0;
    }

    /** Updates a page unless {@code --check} is given; returns how many of its tables differed. */
    private int updatePage(PrintStream out, String option, Path file, List<Table> tables) throws Lab.BadInput {
        try {
            String oldText = Files.readString(file);
            List<String> staleTables = CapacityPage.stale(oldText, tables);
            staleTables.forEach(name -> out.println(file + ": " + name + (check ? " differs" : " written")));
            if (!check) {
                Files.writeString(file, CapacityPage.render(oldText, tables));
            }
            return staleTables.size();
        } catch (IOException | IllegalArgumentException e) {
            throw new Lab.BadInput("capacity: " + option + " " + file + " can't be used: " + firstLine(e));
        }
    }

    private static String firstLine(Exception exception) {
        return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
    }
}
