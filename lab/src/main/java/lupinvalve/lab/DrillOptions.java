package lupinvalve.lab;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The options that all drills of real processes share. */
abstract class DrillOptions implements Lab.Command {
    @Option(name = "--seconds", usage = "how long faults are injected")
    int seconds = 40;

    @Option(name = "--seed", usage = "selects the faults and their times")
    long seed = 7;

    @Option(name = "--config", metaVar = "FILE", usage = "platform configuration to start from")
    Path config = Path.of("example/config.json");

    @Option(name = "--keep", usage = "keep the folder with the logs")
    boolean keep;

    @Option(name = "--debug", usage = "daemons log each attempt; useful with --keep")
    boolean debug;

    @Option(name = "--json", usage = "print only the last line")
    private boolean json;

    /** Where the progress of a drill is written; discards it with {@code --json}. */
    PrintStream log(PrintStream out) {
        return json ? new PrintStream(OutputStream.nullOutputStream()) : out;
    }
}
