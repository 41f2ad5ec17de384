package lupinvalve.lab;

import java.io.PrintStream;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/** Runs a process drill of the Raft group alone: without db nodes, with faults that hit members. */
public final class StoreDrill extends DrillOptions {
    @Option(name = "--members", usage = "number of members, 3 to 9")
    private int memberCount = 5;

    @Option(
            name = "--lying-disks",
            usage = "defect to detect: killed members lose the end of the data that their disks reported as forced")
    private boolean lyingDisks;

    @Option(name = "--only-leader-kills", usage = "only kill leaders, one after another, to measure the fail-over")
    private boolean onlyLeaderKills;

    @Override
    public int run(PrintStream out) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.STORE, memberCount, 0, seconds * 1000L, seed);
        return ProcessDrill.run(
                out,
                this,
                scenario,
                new ProcessDrill.PlantedDefects(lyingDisks, 0),
                onlyLeaderKills ? seconds * 1000L : 0,
                null);
    }
}
