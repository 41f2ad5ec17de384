package lupinvalve.lab;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** What all drills of real processes are told. */
abstract class DrillOptions implements Lab.Command {
    @Option(name = "--seconds", usage = "how long faults go on")
    int seconds = 40;

    @Option(name = "--seed", usage = "what faults come, and when")
    long seed = 7;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start from")
    Path config = Path.of("example/config.json");

    @Option(name = "--keep", usage = "keep the folder with the logs")
    boolean keep;

    @Option(name = "--debug", usage = "daemons log each attempt; with --keep")
    boolean debug;

    @Option(name = "--json", usage = "only the last line")
    private boolean json;

    /** Where the course of a drill is told. */
    PrintStream log(PrintStream out) {
        return json ? new PrintStream(OutputStream.nullOutputStream()) : out;
    }
}
