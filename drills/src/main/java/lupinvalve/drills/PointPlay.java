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
import lupinvalve.replication.PointSeams;

/**
 * Three real daemons found a group and agree on configurations, while the first of them, started by the launcher, has a
 * fault at one of its numbered points; then it starts again as it ships, and all must come to one history with nothing
 * lost.
 */
public final class PointPlay {
    /** What a real process can be made to do at a point. */
    private static final Set<Fault> FAULTS =
            EnumSet.of(Fault.DIE_BEFORE, Fault.DIE_AFTER, Fault.TORN, Fault.FAIL, Fault.LOST, Fault.STOPPED);

    private static final int MEMBERS = 3;
    private static final long PUTS_MILLIS = 1_500, PACE_MILLIS = 150;
    private static final String LAUNCHER = "lupinvalve.cli.PointLauncher";

    /**
     * What came of one.
     *
     * @param met the log's line at the point, or null where the course did not come so far
     */
    public record Played(PlannedFault at, String met, List<String> findings, String json) {
        public boolean good() {
            return findings.isEmpty();
        }
    }

    private PointPlay() {}

    /** Plays once without a fault and gives the kinds of the points met. */
    public static List<StepKind> course(Path config, long seed) throws IOException, InterruptedException {
        Path file = Files.createTempFile("course", ".txt");
        try {
            Played played = play(config, seed, null, List.of(LAUNCHER, "--course", file.toString()));
            if (!played.good()) {
                throw new IOException("without any fault: " + played.findings().get(0));
            }
            List<StepKind> kinds = new ArrayList<>();
            for (byte letter : Files.readAllBytes(file)) {
                kinds.add(StepKind.values()[letter - PointSeams.letter(StepKind.values()[0])]);
            }
            return kinds;
        } finally {
            Files.delete(file);
        }
    }

    /** Each fault that fits at each point of a course. */
    public static List<PlannedFault> all(List<StepKind> course) {
        return FailPoints.allSingleFaults(course).stream()
                .filter(at -> FAULTS.contains(at.fault()))
                .toList();
    }

    /** Plays with one fault at one point. */
    public static Played play(Path config, long seed, PlannedFault at) throws IOException, InterruptedException {
        return play(config, seed, at, List.of(LAUNCHER, "--at", at.toString()));
    }

    private static Played play(Path config, long seed, PlannedFault at, List<String> launcher)
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
            drill.pass(PUTS_MILLIS);
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
        return new Played(at, drill.pointMet(), findings, json);
    }
}
