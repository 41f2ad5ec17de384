package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import lupinvalve.faultinjection.Points.At;
import lupinvalve.log.Log;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Whole sweeps of the scenarios that take seconds; the long ones are for `lab faults`. */
class SweepTest {
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
        Sweep.Result result = Sweep.run(scenario, SEED, Sweep.Planted.NONE, 100);
        assertEquals(List.of(), result.bad().stream().limit(5).toList());
        assertTrue(result.points() >= 50, "points " + result.points());
    }

    /**
     * Found by the sweep: a member that died once its snapshot was forced, with one change behind it, never caught up.
     */
    @Test
    void aMemberWithAChangeBehindItsSnapshotCatchesUp() {
        for (String at : List.of("472:DIE_AFTER", "473:DIE_BEFORE")) {
            Sweep.Play play = Sweep.play(Scenario.COMPACTION, SEED, Sweep.Planted.NONE, List.of(At.of(at)));
            assertTrue(play.good(), play.toString());
        }
    }

    /**
     * Found by the sweep: the leader's first answer behind a snapshot was lost, and the newcomer turned down all that
     * followed.
     */
    @Test
    void aNewcomerWhoseFirstAnswerBehindASnapshotIsLostCatchesUp() {
        Sweep.Play play = Sweep.play(Scenario.SNAPSHOT, SEED, Sweep.Planted.NONE, List.of(At.of("155:LOST")));
        assertTrue(play.good(), play.toString());
    }

    @Test
    void whatIsAcknowledgedBeforeTheForceIsFoundLost() {
        assertFalse(Sweep.run(Scenario.PUT, SEED, Sweep.Planted.ACK_BEFORE_FORCE, 0)
                .bad()
                .isEmpty());
    }

    @Test
    void aPlaceTakenBeforeTheForceIsFound() {
        assertFalse(Sweep.run(Scenario.FOUNDING, SEED, Sweep.Planted.RENAME_WITHOUT_FORCE, 0)
                .bad()
                .isEmpty());
    }

    @Test
    void theSameSeedMeetsTheSamePoints() {
        assertEquals(Sweep.course(Scenario.LEADER_CHANGE, SEED), Sweep.course(Scenario.LEADER_CHANGE, SEED));
    }
}
