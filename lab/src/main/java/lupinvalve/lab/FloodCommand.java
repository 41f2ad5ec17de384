package lupinvalve.lab;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import lupinvalve.drills.FloodDrill;
import lupinvalve.drills.FloodKind;
import lupinvalve.drills.FloodResult;
import org.kohsuke.args4j.Option;

/**
 * Measures how usual clients fare while others flood a pooler with one kind of input; {@code none} is the control. Exit
 * code 1 if any kind left a usual request late, unanswered or mostly unserved, or took more memory than the limit.
 */
public final class FloodCommand implements Lab.Command {
    private static final String ALL = "all";

    @Option(name = "--kind", usage = "what is sent, or all for every kind one after another")
    private String kind = "empty";

    @Option(name = "--flooders", usage = "clients that flood")
    private int flooders = 6;

    @Option(name = "--clients", usage = "usual clients with deadlines of 400 to 1200 ms")
    private int clients = 20;

    @Option(name = "--seconds", usage = "how long the flood lasts")
    private int seconds = 6;

    @Option(name = "--seed", usage = "selects the usual clients' deadlines and rests")
    private long seed = 7;

    @Option(name = "--core", metaVar = "N", usage = "the one core that the pooler may use; all cores if absent")
    private String core = "";

    @Option(name = "--config", metaVar = "FILE", usage = "platform configuration to start from")
    private Path config = Path.of("example/config.json");

    @Option(name = "--log-lines", usage = "last lines of the pooler's log to print")
    private int logLines;

    @Override
    public int run(PrintStream out) throws Exception {
        List<FloodKind> bad = new ArrayList<>();
        for (FloodKind each : kinds()) {
            try (FloodDrill drill =
                    new FloodDrill(new FloodDrill.Setting(each, flooders, clients, seconds, seed, core, config))) {
                FloodResult result = drill.play();
                boolean good = result.good(FloodDrill.MEMORY_MEGABYTES);
                out.println((good ? "good " : "red  ") + result.json());
                drill.lastLogLines(logLines).forEach(line -> out.println("  " + line));
                if (!good) {
                    bad.add(each);
                }
            }
        }
        return bad.isEmpty() ? 0 : 1;
    }

    private List<FloodKind> kinds() throws Lab.BadInput {
        if (kind.equals(ALL)) {
            return List.of(FloodKind.values());
        }
        try {
            return Stream.of(kind.split(",")).map(FloodKind::of).toList();
        } catch (IllegalArgumentException e) {
            throw new Lab.BadInput("--kind " + kind.toLowerCase(Locale.ROOT) + ": no such kind");
        }
    }
}
