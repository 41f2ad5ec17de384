package lupinvalve.lab;

import java.io.PrintStream;
import java.nio.file.Path;
import lupinvalve.rig.Scenario;
import org.kohsuke.args4j.Option;

/** The drill of processes with the group's own connections alone: no db nodes, and faults that strike members. */
public final class StoreDrill implements Lab.Command {
    @Option(name = "--members", usage = "3 to 9")
    private int count = 5;

    @Option(name = "--seconds", usage = "how long faults go on")
    private int seconds = 30;

    @Option(name = "--seed", usage = "what faults come, and when")
    private long seed = 7;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start from")
    private Path config = Path.of("example/config.json");

    @Option(name = "--lying-disks", usage = "a double: killed members lose the end of what their disks said was forced")
    private boolean lying;

    @Option(name = "--only-leader-kills", usage = "nothing but kills of the leader, one after another: the fail-over")
    private boolean leaderKills;

    @Option(name = "--keep", usage = "keep the folder with the logs")
    private boolean keep;

    @Option(name = "--json", usage = "only the last line")
    private boolean json;

    @Override
    public int run(PrintStream out) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.STORE, count, 0, seconds * 1000L, seed);
        return ProcessDrill.run(out, scenario, seed, config, lying, keep, json, leaderKills ? seconds * 1000L : 0, null);
    }
}
