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
import org.kohsuke.args4j.Option;

/**
 * Faults at numbered points of real processes, each in turn or drawn by seed. Exit code 1 where anything was broken.
 */
public final class ProcessPoints implements Lab.Command {
    @Option(name = "--plays", usage = "how many of all points and faults are drawn; 0 for each in turn")
    private int plays = 48;

    @Option(name = "--seed", usage = "which are drawn")
    private long seed = 7;

    @Option(name = "--side-by-side", usage = "how many plays run at once, of three processes each")
    private int lanes = 3;

    @Option(name = "--at", metaVar = "POINT:FAULT", usage = "plays only this")
    private String at;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start from")
    private Path config = Path.of("example/config.json");

    @Option(name = "--json", usage = "only the last line")
    private boolean json;

    @Override
    public int run(PrintStream out) throws Exception {
        int points = 0;
        List<PlannedFault> chosen = new ArrayList<>();
        if (at != null) {
            chosen.add(PlannedFault.parse(at));
        } else {
            List<lupinvalve.faultinjection.FailPoints.StepKind> course = FailPointRun.reachedSteps(config, seed);
            points = course.size();
            chosen.addAll(FailPointRun.plannedFaults(course));
            if (plays > 0 && plays < chosen.size()) {
                Collections.shuffle(chosen, new Random(seed));
                chosen.subList(plays, chosen.size()).clear();
            }
        }
        ExecutorService pool = Executors.newFixedThreadPool(lanes);
        int met = 0;
        int bad = 0;
        try {
            List<Callable<FailPointRun.Result>> work = new ArrayList<>();
            chosen.forEach(one -> work.add(() -> FailPointRun.play(config, seed, one)));
            for (Future<FailPointRun.Result> future : pool.invokeAll(work)) {
                FailPointRun.Result played = future.get();
                met += played.faultLogLine() != null ? 1 : 0;
                bad += played.good() ? 0 : 1;
                if (!json) {
                    out.println(played.planned() + " of " + points + ": "
                            + (played.faultLogLine() == null
                                    ? "not met, "
                                    : played.faultLogLine().replaceFirst("^.* point ", "point ") + ", ")
                            + (played.good()
                                    ? "kept"
                                    : played.findings() + " (again: lab process-points --seed " + seed + " --at "
                                            + played.planned() + ")"));
                }
            }
        } finally {
            pool.shutdown();
        }
        out.printf(
                Locale.ROOT,
                "{\"points\":%d,\"runs\":%d,\"met\":%d,\"violations\":%d,\"seed\":%d}%n",
                points,
                chosen.size(),
                met,
                bad,
                seed);
        return bad == 0 ? 0 : 1;
    }
}
