package lupinvalve.lab;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import lupinvalve.drills.FailPointRun;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import org.kohsuke.args4j.Option;

/**
 * Injects faults at numbered points of real processes, one per run: every one, or a sample drawn by seed. Exit code 1
 * if any run had a violation.
 */
public final class ProcessPoints implements Lab.Command {
    @Option(name = "--plays", usage = "number of faults drawn from those at all points; 0 for all faults")
    private int runCount = 48;

    @Option(name = "--seed", usage = "seed of the drills and of the drawn faults")
    private long seed = 7;

    @Option(name = "--side-by-side", usage = "number of simultaneous runs, of three processes each")
    private int concurrentRuns = 3;

    @Option(name = "--at", metaVar = "POINT:FAULT", usage = "runs only with this fault")
    private String at;

    @Option(name = "--config", metaVar = "FILE", usage = "platform configuration to start from")
    private Path config = Path.of("example/config.json");

    @Option(name = "--json", usage = "print only the last line")
    private boolean json;

    @Override
    public int run(PrintStream out) throws Exception {
        int pointCount = 0;
        List<PlannedFault> faults = new ArrayList<>();
        if (at != null) {
            faults.add(PlannedFault.parse(at));
        } else {
            List<StepKind> steps = FailPointRun.reachedSteps(config, seed);
            pointCount = steps.size();
            faults.addAll(FailPointRun.plannedFaults(steps));
            if (runCount > 0 && runCount < faults.size()) {
                Collections.shuffle(faults, new Random(seed));
                faults.subList(runCount, faults.size()).clear();
            }
        }
        ExecutorService pool = Executors.newFixedThreadPool(concurrentRuns);
        int reachedCount = 0;
        int badCount = 0;
        try {
            List<Callable<FailPointRun.Result>> runs = new ArrayList<>();
            faults.forEach(fault -> runs.add(() -> FailPointRun.play(config, seed, fault)));
            for (Future<FailPointRun.Result> future : pool.invokeAll(runs)) {
                FailPointRun.Result result = future.get();
                reachedCount += result.faultLogLine() != null ? 1 : 0;
                badCount += result.good() ? 0 : 1;
                if (!json) {
                    out.println(result.planned() + " of " + pointCount + ": "
                            + (result.faultLogLine() == null
                                    ? "not met, "
                                    : result.faultLogLine().replaceFirst("^.* point ", "point ") + ", ")
                            + (result.good()
                                    ? "kept"
                                    : result.findings() + " (again: lab process-points --seed " + seed + " --at "
                                            + result.planned() + ")"));
                }
            }
        } finally {
            pool.shutdown();
        }
        out.printf(
                Locale.ROOT,
                "{\"points\":%d,\"runs\":%d,\"met\":%d,\"violations\":%d,\"seed\":%d}%n",
                pointCount,
                faults.size(),
                reachedCount,
                badCount,
                seed);
        return badCount == 0 ? 0 : 1;
    }
}
