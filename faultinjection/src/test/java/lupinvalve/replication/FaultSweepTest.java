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

/** Complete sweeps of the scenarios that take seconds; {@code lab faults} sweeps the longer ones. */
class FaultSweepTest {
    private static final long SEED = 7;

    @BeforeAll
    static void disableLog() {
        Log.setLevel(Log.Level.ERROR);
        Log.setOutput(new PrintStream(OutputStream.nullOutputStream()));
    }

    @AfterAll
    static void restoreLog() {
        Log.setOutput(System.err);
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"COMPACTION", "SNAPSHOT"})
    void noFaultAtAnyPointCausesAViolation(Scenario scenario) {
        FaultSweep.Result result = FaultSweep.sweep(scenario, SEED, FaultSweep.SeededBug.NONE, 100);
        assertEquals(List.of(), result.badRuns().stream().limit(5).toList());
        assertTrue(result.pointCount() >= 50, "point count " + result.pointCount());
    }

    /**
     * Guards against a fault in which a member never caught up after it had died right after forcing its snapshot, with
     * one log entry behind the snapshot.
     */
    @Test
    void aMemberWithAChangeBehindItsSnapshotCatchesUp() {
        for (String fault : List.of("472:DIE_AFTER", "473:DIE_BEFORE")) {
            FaultSweep.Run run = FaultSweep.runOnce(
                    Scenario.COMPACTION, SEED, FaultSweep.SeededBug.NONE, List.of(PlannedFault.parse(fault)));
            assertTrue(run.isGood(), run.toString());
        }
    }

    /**
     * Guards against a fault in which the leader's first response after a snapshot was lost and the new member rejected
     * everything that followed, so that it never caught up.
     */
    @Test
    void aNewMemberCatchesUpThoughTheFirstResponseAfterItsSnapshotIsLost() {
        FaultSweep.Run run = FaultSweep.runOnce(
                Scenario.SNAPSHOT, SEED, FaultSweep.SeededBug.NONE, List.of(PlannedFault.parse("155:LOST")));
        assertTrue(run.isGood(), run.toString());
    }

    @Test
    void acknowledgingBeforeForcingIsDetected() {
        assertFalse(FaultSweep.sweep(Scenario.PUT, SEED, FaultSweep.SeededBug.ACK_BEFORE_FORCE, 0)
                .badRuns()
                .isEmpty());
    }

    @Test
    void renamingBeforeForcingIsDetected() {
        assertFalse(FaultSweep.sweep(Scenario.BOOTSTRAP, SEED, FaultSweep.SeededBug.RENAME_WITHOUT_FORCE, 0)
                .badRuns()
                .isEmpty());
    }

    @Test
    void theSameSeedReachesTheSamePoints() {
        assertEquals(
                FaultSweep.faultFreeSteps(Scenario.LEADER_CHANGE, SEED),
                FaultSweep.faultFreeSteps(Scenario.LEADER_CHANGE, SEED));
    }
}
