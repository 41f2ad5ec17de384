package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.faultinjection.FailPoints;
import org.junit.jupiter.api.Test;

/**
 * Three processes of the shipped program with faults between them, and one that ends itself at a numbered fail point.
 */
class ProcessesTest {
    private static final Path CONFIG = Path.of("example/config.json");

    /**
     * Faults that must never cause a violation: a kill of the leader, a flapping link, a one-way cut, a kill of a db
     * node, a pause, a reload and a restart.
     */
    private static final List<Step> STEPS = List.of(
            new Step(200, Step.Kind.KILL, Step.LEADER, "", 0, 900),
            new Step(600, Step.Kind.FLAP, "p1", "n0", 200, 900),
            new Step(2_200, Step.Kind.CUT_THERE, "p0", "p2", 0, 900),
            new Step(2_400, Step.Kind.NODE_KILL, "n0", "", 0, 1_400),
            new Step(3_300, Step.Kind.PAUSE, "p2", "", 0, 700),
            new Step(4_100, Step.Kind.RELOAD, "p0", "", 0, 0),
            new Step(4_200, Step.Kind.RESTART, "p1", "", 0, 0));

    @Test
    void threeProcessesSurviveFaultsWithNothingLostDoubledOrUnanswered() throws Exception {
        try (Drill drill = new Drill(new Drill.Setting(
                new Scenario(3, 2, STEPS),
                CONFIG,
                7,
                false,
                new PrintStream(OutputStream.nullOutputStream()),
                List.of(),
                5,
                "off"))) {
            drill.start();
            drill.play();
            DrillResult result = drill.judge(true);
            assertEquals(List.of(), result.findings(), result.json());
            assertTrue(result.good(), result.json());
        }
    }

    @Test
    void aPoolerThatIsNotifiedOfDrainsLateIsReported() throws Exception {
        List<Step> drains = List.of(
                new Step(100, Step.Kind.NODE_DRAIN, "n1", "", 0, 1_200),
                new Step(1_800, Step.Kind.NODE_DRAIN, "n2", "", 0, 1_200));
        try (Drill drill = new Drill(new Drill.Setting(
                new Scenario(3, 1, drains),
                CONFIG,
                7,
                false,
                new PrintStream(OutputStream.nullOutputStream()),
                List.of(),
                5,
                "off"))) {
            drill.lateLists("p1", 500);
            drill.start();
            drill.play();
            DrillResult result = drill.judge(true);
            assertFalse(result.good(), result.json());
            assertFalse(result.json().contains("\"late_after_drain\":0,"), result.json());
            for (String finding : result.findings()) {
                assertTrue(
                        finding.matches(
                                "q\\d+ arrived at n[12] from p1 \\d+ ms after the pooler was notified of its drain, at \\d+"),
                        finding);
            }
        }
    }

    @Test
    void aProcessThatEndsAtAFailPointReachesTheSameHistoryAfterItsRestart() throws Exception {
        // The first point is the listing of the empty folder; the 40th is reached while the group is founded or soon
        // after.
        for (FailPoints.PlannedFault planned : List.of(
                new FailPoints.PlannedFault(1, FailPoints.Fault.FAIL),
                new FailPoints.PlannedFault(40, FailPoints.Fault.DIE_BEFORE))) {
            FailPointRun.Result result = FailPointRun.play(CONFIG, 7, planned);
            assertTrue(result.faultLogLine() != null, "point " + planned + " was reached");
            assertEquals(List.of(), result.findings(), result.json());
        }
    }
}
