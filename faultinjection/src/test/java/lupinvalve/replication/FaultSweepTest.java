package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.log.Log;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Whole sweeps of the scenarios that take seconds; the long ones are for `lab faults`. */
class FaultSweepTest {
    private static final long SEED = 7;

    @BeforeAll
    static void quiet() {
        Log.setLevel(Log.Level.ERROR);
        Log.setOutput(new PrintStream(OutputStream.nullOutputStream()));
    }

    @AfterAll
    static void loud() {
        Log.setOutput(System.err);
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"COMPACTION", "SNAPSHOT"})
    void noFaultAtAnyPointBreaksAnything(Scenario scenario) {
        FaultSweep.Result result = FaultSweep.sweep(scenario, SEED, FaultSweep.SeededBug.NONE, 100);
        assertEquals(List.of(), result.badRuns().stream().limit(5).toList());
        assertTrue(result.pointCount() >= 50, "points " + result.pointCount());
    }

    /**
     * Found by the sweep: a member that died once its snapshot was forced, with one change behind it, never caught up.
     */
    @Test
    void aMemberWithAChangeBehindItsSnapshotCatchesUp() {
        for (String at : List.of("472:DIE_AFTER", "473:DIE_BEFORE")) {
            FaultSweep.Run play = FaultSweep.runOnce(
                    Scenario.COMPACTION, SEED, FaultSweep.SeededBug.NONE, List.of(PlannedFault.parse(at)));
            assertTrue(play.isGood(), play.toString());
        }
    }

    /**
     * Found by the sweep: the leader's first answer behind a snapshot was lost, and the newcomer turned down all that
     * followed.
     */
    @Test
    void aNewcomerWhoseFirstAnswerBehindASnapshotIsLostCatchesUp() {
        FaultSweep.Run play = FaultSweep.runOnce(
                Scenario.SNAPSHOT, SEED, FaultSweep.SeededBug.NONE, List.of(PlannedFault.parse("155:LOST")));
        assertTrue(play.isGood(), play.toString());
    }

    @Test
    void whatIsAcknowledgedBeforeTheForceIsFoundLost() {
        assertFalse(FaultSweep.sweep(Scenario.PUT, SEED, FaultSweep.SeededBug.ACK_BEFORE_FORCE, 0)
                .badRuns()
                .isEmpty());
    }

    @Test
    void aPlaceTakenBeforeTheForceIsFound() {
        assertFalse(FaultSweep.sweep(Scenario.BOOTSTRAP, SEED, FaultSweep.SeededBug.RENAME_WITHOUT_FORCE, 0)
                .badRuns()
                .isEmpty());
    }

    @Test
    void theSameSeedMeetsTheSamePoints() {
        assertEquals(
                FaultSweep.faultFreeSteps(Scenario.LEADER_CHANGE, SEED),
                FaultSweep.faultFreeSteps(Scenario.LEADER_CHANGE, SEED));
    }
}
