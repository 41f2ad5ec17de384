package lupinvalve.lab;

import java.io.PrintStream;
import java.util.List;
import lupinvalve.drills.AuditDrill;
import lupinvalve.drills.Drill;
import lupinvalve.drills.DrillResult;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Runs real daemons whose leases expire, with strict calls throughout and faults that cut daemons off from the group.
 * Exit code 1 if anything was decided on a state that a strict call had replaced, or if the audit log disagrees with
 * what was observed.
 */
public final class AuditDrillCommand extends DrillOptions {
    private static final int MAX_SHOWN_FINDINGS = 20;
    private static final int DB_SET_COUNT = 2;
    private static final int OPERATOR_PAUSE_MILLIS = 200;

    @Option(name = "--poolers", usage = "number of poolers, 3 to 9")
    private int poolers = 7;

    @Option(name = "--at-lease-end", metaVar = "WHAT", usage = "fence, or serve: strict calls then give no guarantee")
    private String atLeaseEnd = "fence";

    @Override
    public int run(PrintStream out) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.AUDIT, poolers, DB_SET_COUNT, seconds * 1000L, seed);
        PrintStream log = log(out);
        Drill drill = new Drill(
                new Drill.Setting(scenario, config, seed, false, log, List.of(), OPERATOR_PAUSE_MILLIS, atLeaseEnd));
        AuditDrill audit = new AuditDrill(drill.memberAddresses(), scenario.groups(), scenario.steps());
        drill.watch(audit);
        try {
            drill.start();
            audit.start(seed);
            drill.play();
            audit.judge();
            DrillResult result = drill.judge(true);
            String verdict = audit.json(poolers, seed, result.requests());
            result.findings().stream().limit(MAX_SHOWN_FINDINGS).forEach(log::println);
            audit.findings().stream().limit(MAX_SHOWN_FINDINGS).forEach(log::println);
            log.println(result.json());
            out.println(verdict);
            return result.good() && audit.findings().isEmpty() ? 0 : 1;
        } finally {
            drill.close(keep);
            if (keep) {
                out.println("kept: " + drill.folder());
            }
        }
    }
}
