package lupinvalve.lab;

import java.io.PrintStream;
import lupinvalve.drills.AuditDrill;
import lupinvalve.drills.Drill;
import lupinvalve.drills.DrillResult;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Real daemons whose right to act has an end, strict calls throughout, and faults that part them from the group. Exit
 * code 1 where anything was decided under what a strict call had replaced, or the audit says what was not so.
 */
public final class AuditDrillCommand extends DrillOptions {
    private static final int SHOWN = 20;

    @Option(name = "--poolers", usage = "3 to 9")
    private int poolers = 7;

    @Option(name = "--at-lease-end", metaVar = "WHAT", usage = "fence, or serve: then strict calls are no promise")
    private String mode = "fence";

    @Override
    public int run(PrintStream out) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.AUDIT, poolers, 2, seconds * 1000L, seed);
        PrintStream log = log(out);
        Drill drill = new Drill(new Drill.Setting(scenario, config, seed, false, log, java.util.List.of(), 200, mode));
        AuditDrill audit = new AuditDrill(drill.memberAddresses(), scenario.groups(), scenario.steps());
        drill.watch(audit);
        try {
            drill.start();
            audit.start(seed);
            drill.play();
            audit.judge();
            DrillResult result = drill.judge(true);
            String verdict = audit.json(poolers, seed, result.requests());
            result.findings().stream().limit(SHOWN).forEach(log::println);
            audit.findings().stream().limit(SHOWN).forEach(log::println);
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
