package lupinvalve.lab;

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
 * Faults at numbered points of a group in virtual time, each in turn. Exit code 1 where anything was broken or hung.
 */
public final class Faults implements Lab.Command {
    private static final int SHOWN = 10;

    @Option(name = "--list", usage = "the scenarios, with the number of their points")
    private boolean list;

    @Option(name = "--scenario", metaVar = "NAME", usage = "one of --list, or all")
    private String name = "all";

    @Option(name = "--seed", usage = "of the course, and of the pairs that are drawn")
    private long seed = 7;

    @Option(name = "--pairs", usage = "how many pairs of points are drawn for each scenario")
    private int pairs = 300;

    @Option(name = "--at", metaVar = "POINT:FAULT[,POINT:FAULT]", usage = "plays only this again")
    private String at;

    @Option(name = "--trace", usage = "with --at: each message, with the number of the point before it")
    private boolean trace;

    @Option(
            name = "--planted",
            metaVar = "NAME",
            usage = "what members do wrong: ack-before-force, vote-not-forced, " + "rename-without-force")
    private String planted = "none";

    @Option(name = "--json", usage = "only the last line")
    private boolean json;

    private List<Scenario> chosen() {
        List<Scenario> all = Arrays.stream(Scenario.values())
                .filter(s -> name.equals("all") || s.title().equals(name))
                .toList();
        if (all.isEmpty()) {
            throw new IllegalArgumentException("--scenario " + name + ": none of that name; --list has them");
        }
        return all;
    }

    private FaultSweep.SeededBug fault() {
        try {
            return FaultSweep.SeededBug.valueOf(planted.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "--planted " + planted + ": none of " + Arrays.toString(FaultSweep.SeededBug.values()));
        }
    }

    @Override
    public int run(PrintStream out) {
        if (at == null) {
            Log.setLevel(Log.Level.ERROR);
            Log.setOutput(new PrintStream(java.io.OutputStream.nullOutputStream()));
        }
        try {
            if (list) {
                chosen().forEach(s -> out.println(
                        s.title() + " " + FaultSweep.faultFreeSteps(s, seed).size()));
                return 0;
            }
            return at != null ? again(out) : sweep(out);
        } finally {
            Log.setOutput(System.err);
        }
    }

    private int again(PrintStream out) {
        List<FailPoints.PlannedFault> faults = new ArrayList<>();
        for (String one : at.split(",")) {
            faults.add(FailPoints.PlannedFault.parse(one));
        }
        FaultSweep.Run play =
                FaultSweep.runOnce(chosen().get(0), seed, fault(), faults, trace ? out::println : line -> {});
        out.println(told(play, 0));
        return play.isGood() ? 0 : 1;
    }

    private int sweep(PrintStream out) {
        int points = 0;
        int runs = 0;
        int violations = 0;
        int hung = 0;
        List<Scenario> scenarios = chosen();
        for (Scenario scenario : scenarios) {
            long begun = System.nanoTime();
            FaultSweep.Result result = FaultSweep.sweep(scenario, seed, fault(), pairs);
            points += result.pointCount();
            runs += result.runCount();
            violations += (int) result.badRuns().stream()
                    .filter(p -> !p.violations().isEmpty())
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
                        (System.nanoTime() - begun) / 1e9);
                result.badRuns().stream()
                        .limit(SHOWN)
                        .forEach(play -> out.println("  " + told(play, result.pointCount())));
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

    private String told(FaultSweep.Run play, int of) {
        StringBuilder faults = new StringBuilder();
        StringBuilder kinds = new StringBuilder();
        play.faults().forEach(one -> {
            faults.append(faults.isEmpty() ? "" : ",").append(one);
            kinds.append(' ')
                    .append(
                            one.point() <= play.reachedSteps().size()
                                    ? play.reachedSteps().get(one.point() - 1)
                                    : "not met");
        });
        return faults + (of > 0 ? " of " + of : "") + " at" + kinds + ": "
                + (play.isGood() ? "kept" : play.hung() ? "hung" : "broken")
                + (play.violations().isEmpty() ? "" : " " + play.violations().get(0))
                + " (again: lab faults --scenario "
                + play.scenario().title() + " --seed " + play.seed() + " --planted " + planted + " --at " + faults
                + ")";
    }
}
