package lupinvalve.lab;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.log.Log;
import lupinvalve.replication.FaultSweep;
import lupinvalve.replication.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Injects each fault at each numbered point of a simulated Raft group in virtual time, one per run, and drawn pairs of
 * them. Exit code 1 if a run had a violation or hung.
 */
public final class Faults implements Lab.Command {
    private static final int MAX_SHOWN_RUNS = 10;

    @Option(name = "--list", usage = "print the scenarios with their number of points")
    private boolean list;

    @Option(name = "--scenario", metaVar = "NAME", usage = "a scenario of --list, or all")
    private String name = "all";

    @Option(name = "--seed", usage = "seed of the runs and of the drawn pairs")
    private long seed = 7;

    @Option(name = "--pairs", usage = "number of pairs of faults drawn for each scenario")
    private int pairs = 300;

    @Option(name = "--at", metaVar = "POINT:FAULT[,POINT:FAULT]", usage = "runs one scenario with only these faults")
    private String at;

    @Option(name = "--trace", usage = "with --at: print each message, with the number of the last point")
    private boolean trace;

    @Option(
            name = "--planted",
            metaVar = "NAME",
            usage = "bug planted in members: ack-before-force, vote-not-forced, rename-without-force")
    private String planted = "none";

    @Option(name = "--json", usage = "print only the last line")
    private boolean json;

    private List<Scenario> selectedScenarios() {
        List<Scenario> all = Arrays.stream(Scenario.values())
                .filter(scenario -> name.equals("all") || scenario.title().equals(name))
                .toList();
        if (all.isEmpty()) {
            throw new IllegalArgumentException("--scenario " + name + ": unknown scenario; --list prints the names");
        }
        return all;
    }

    private FaultSweep.SeededBug seededBug() {
        try {
            return FaultSweep.SeededBug.valueOf(planted.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("--planted " + planted + ": unknown bug; possible: "
                    + Arrays.toString(FaultSweep.SeededBug.values()));
        }
    }

    @Override
    public int run(PrintStream out) {
        if (at == null) {
            Log.setLevel(Log.Level.ERROR);
            Log.setOutput(new PrintStream(OutputStream.nullOutputStream()));
        }
        try {
            if (list) {
                selectedScenarios()
                        .forEach(scenario -> out.println(scenario.title() + " "
                                + FaultSweep.faultFreeSteps(scenario, seed).size()));
                return 0;
            }
            return at != null ? replay(out) : sweep(out);
        } finally {
            Log.setOutput(System.err);
        }
    }

    private int replay(PrintStream out) {
        List<FailPoints.PlannedFault> faults = new ArrayList<>();
        for (String text : at.split(",")) {
            faults.add(FailPoints.PlannedFault.parse(text));
        }
        FaultSweep.Run run = FaultSweep.runOnce(
                selectedScenarios().get(0), seed, seededBug(), faults, trace ? out::println : line -> {});
        out.println(describe(run, 0));
        return run.isGood() ? 0 : 1;
    }

    private int sweep(PrintStream out) {
        int points = 0;
        int runs = 0;
        int violations = 0;
        int hung = 0;
        List<Scenario> scenarios = selectedScenarios();
        for (Scenario scenario : scenarios) {
            long startNanos = System.nanoTime();
            FaultSweep.Result result = FaultSweep.sweep(scenario, seed, seededBug(), pairs);
            points += result.pointCount();
            runs += result.runCount();
            violations += (int) result.badRuns().stream()
                    .filter(run -> !run.violations().isEmpty())
                    .count();
            hung += (int) result.badRuns().stream().filter(FaultSweep.Run::hung).count();
            if (!json) {
                out.printf(
                        Locale.ROOT,
                        "%s: %d points, %d runs, %d bad, %.1f s%n",
                        scenario.title(),
                        result.pointCount(),
                        result.runCount(),
                        result.badRuns().size(),
                        (System.nanoTime() - startNanos) / 1e9);
                result.badRuns().stream()
                        .limit(MAX_SHOWN_RUNS)
                        .forEach(run -> out.println("  " + describe(run, result.pointCount())));
            }
        }
        out.printf(
                Locale.ROOT,
                "{\"scenarios\":%d,\"points\":%d,\"runs\":%d,\"violations\":%d,\"hung\":%d,\"seed\":%d,"
                        + "\"planted\":\"%s\"}%n",
                scenarios.size(),
                points,
                runs,
                violations,
                hung,
                seed,
                planted);
        return violations + hung == 0 ? 0 : 1;
    }

    /**
     * Describes a run with the command line that repeats it.
     *
     * @param pointCount number of points of the scenario; 0 to leave it out
     */
    private String describe(FaultSweep.Run run, int pointCount) {
        StringBuilder faults = new StringBuilder();
        StringBuilder kinds = new StringBuilder();
        run.faults().forEach(planned -> {
            faults.append(faults.isEmpty() ? "" : ",").append(planned);
            kinds.append(' ')
                    .append(
                            planned.point() <= run.reachedSteps().size()
                                    ? run.reachedSteps().get(planned.point() - 1)
                                    : "not met");
        });
        return faults + (pointCount > 0 ? " of " + pointCount : "") + " at" + kinds + ": "
                + (run.isGood() ? "kept" : run.hung() ? "hung" : "broken")
                + (run.violations().isEmpty() ? "" : " " + run.violations().get(0))
                + " (again: lab faults --scenario "
                + run.scenario().title() + " --seed " + run.seed() + " --planted " + planted + " --at " + faults
                + ")";
    }
}
