package lupinvalve.drills;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.replication.FailPointInterceptors;

/**
 * Runs three real daemons that found a group and agree on configurations. The first of them is started by the launcher
 * and has a fault at one of its numbered fail points; then it is started without the launcher, and all three must reach
 * the same history with no acknowledged put lost.
 */
public final class FailPointRun {
    /** The faults that can be injected into a real process. */
    private static final Set<Fault> FAULTS =
            EnumSet.of(Fault.DIE_BEFORE, Fault.DIE_AFTER, Fault.TORN, Fault.FAIL, Fault.LOST, Fault.STOPPED);

    private static final int MEMBERS = 3;
    private static final long PUTS_MILLIS = 1_500;
    private static final long PACE_MILLIS = 150;
    private static final String LAUNCHER = "lupinvalve.cli.PointLauncher";

    /**
     * The result of one run.
     *
     * @param faultLogLine the log line of the injected fault, or null where the process did not reach the point
     */
    public record Result(PlannedFault planned, String faultLogLine, List<String> findings, String json) {
        /** Whether no violation was found. */
        public boolean good() {
            return findings.isEmpty();
        }
    }

    private FailPointRun() {}

    /** Runs once without a fault and returns the kinds of the fail points reached. */
    public static List<StepKind> reachedSteps(Path config, long seed) throws IOException, InterruptedException {
        Path file = Files.createTempFile("course", ".txt");
        try {
            Result result = play(config, seed, null, List.of(LAUNCHER, "--course", file.toString()));
            if (!result.good()) {
                throw new IOException(
                        "the run without a fault failed: " + result.findings().get(0));
            }
            List<StepKind> kinds = new ArrayList<>();
            for (byte letter : Files.readAllBytes(file)) {
                kinds.add(StepKind.values()[letter - FailPointInterceptors.letter(StepKind.values()[0])]);
            }
            return kinds;
        } finally {
            Files.delete(file);
        }
    }

    /** Each fault that fits at each of the fail points reached. */
    public static List<PlannedFault> plannedFaults(List<StepKind> reachedSteps) {
        return FailPoints.allSingleFaults(reachedSteps).stream()
                .filter(planned -> FAULTS.contains(planned.fault()))
                .toList();
    }

    /** Runs with one fault at one point. */
    public static Result play(Path config, long seed, PlannedFault planned) throws IOException, InterruptedException {
        return play(config, seed, planned, List.of(LAUNCHER, "--at", planned.toString()));
    }

    private static Result play(Path config, long seed, PlannedFault planned, List<String> launcher)
            throws IOException, InterruptedException {
        Drill drill = new Drill(new Drill.Setting(
                new Scenario(MEMBERS, 0, List.of()),
                config,
                seed,
                false,
                new PrintStream(OutputStream.nullOutputStream()),
                launcher,
                PACE_MILLIS,
                "serve"));
        List<String> findings = new ArrayList<>();
        String json = "";
        try {
            drill.start();
            drill.letOperatorsRun(PUTS_MILLIS);
            DrillResult result = drill.judge(false);
            findings.addAll(result.findings());
            json = result.json();
            if (!result.good() && findings.isEmpty()) {
                findings.add(json);
            }
        } catch (IOException e) {
            findings.add(String.valueOf(e.getMessage()));
        }
        drill.close(!findings.isEmpty());
        if (!findings.isEmpty()) {
            findings.add("logs: " + drill.folder());
        }
        return new Result(planned, drill.pointMet(), findings, json);
    }
}
