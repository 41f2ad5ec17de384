package lupinvalve.lab;

import java.io.PrintStream;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/** The drill of processes with the group's own connections alone: no db nodes, and faults that strike members. */
public final class StoreDrill extends DrillOptions {
    @Option(name = "--members", usage = "3 to 9")
    private int count = 5;

    @Option(name = "--lying-disks", usage = "a double: killed members lose the end of what their disks said was forced")
    private boolean lying;

    @Option(name = "--only-leader-kills", usage = "nothing but kills of the leader, one after another: the fail-over")
    private boolean leaderKills;

    @Override
    public int run(PrintStream out) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.STORE, count, 0, seconds * 1000L, seed);
        return ProcessDrill.run(
                out, this, scenario, new ProcessDrill.Doubles(lying, 0), leaderKills ? seconds * 1000L : 0, null);
    }
}
