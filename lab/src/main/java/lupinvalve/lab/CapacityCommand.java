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

/** Computes the tables of the page on capacity from the file of slopes: writes them, or says which of them differ. */
public final class CapacityCommand implements Lab.Command {
    private static final int DIFFERS = 1, BAD_INPUT = 2;

    @Option(name = "--slopes", metaVar = "FILE", usage = "what scale runs measured")
    private Path slopes = Path.of("docs/capacity/slopes.json");

    @Option(name = "--page", metaVar = "FILE", usage = "the page with the tables")
    private Path page = Path.of("docs/CAPACITY.md");

    @Option(name = "--check", usage = "changes nothing; ends with 1 where a table differs")
    private boolean check;

    @Override
    public int run(PrintStream out) throws IOException {
        List<Table> tables;
        try {
            tables = new CapacityModel(Demand.OPERATORS, Slopes.read(Files.readAllBytes(slopes))).tables();
        } catch (IOException e) {
            out.println("capacity: --slopes " + slopes + " can't be read: " + firstLine(e));
            return BAD_INPUT;
        }
        try {
            String before = Files.readString(page);
            List<String> stale = CapacityPage.stale(before, tables);
            stale.forEach(name -> out.println(page + ": " + name + (check ? " differs" : " written")));
            if (!check) {
                Files.writeString(page, CapacityPage.render(before, tables));
            }
            return check && !stale.isEmpty() ? DIFFERS : 0;
        } catch (IOException | IllegalArgumentException e) {
            out.println("capacity: --page " + page + " can't be used: " + firstLine(e));
            return BAD_INPUT;
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
