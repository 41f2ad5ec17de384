package lupinvalve.lab;

import java.io.PrintStream;
import java.nio.file.Path;
import lupinvalve.drills.ThroughputDrill;
import org.kohsuke.args4j.Option;

/** Measures throughput, latency and the cost of a start without a flood, for the tree that is the working directory. */
public final class ThroughputCommand implements Lab.Command {
    @Option(name = "--seconds", usage = "length of each of the two loads")
    private int seconds = 4;

    @Option(name = "--core", metaVar = "N", usage = "the one core that the pooler may use; all cores if absent")
    private String core = "";

    @Option(name = "--config", metaVar = "FILE", usage = "platform configuration to start from")
    private Path config = Path.of("example/config.json");

    @Override
    public int run(PrintStream out) throws Exception {
        try (ThroughputDrill drill = new ThroughputDrill(config, core, seconds)) {
            ThroughputDrill.Result result = drill.play();
            out.println(result.json());
            return result.failed() == 0 ? 0 : 1;
        }
    }
}
