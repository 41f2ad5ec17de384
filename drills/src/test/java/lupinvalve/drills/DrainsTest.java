package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A pooler's statements are judged by when that pooler was notified of a drain. */
class DrainsTest {
    private static final long LATE_MILLIS = 301;
    private final Timing timing = new Timing(new Timing.Rules(250, 0.2, 10_000, 3, 3_000));
    private final Drains drains = new Drains(List.of("p0", "p1"), timing);

    private int late() {
        return timing.verdict().lateAfterDrain();
    }

    @Test
    void eachPoolerIsJudgedByItsOwnNotice() {
        assertTrue(drains.drainBegan("n1", 10_000));
        drains.answered("p0", List.of("n1"), 10_000);
        timing.arrived("n1", "p0", "a", 10_000 + LATE_MILLIS);
        timing.arrived("n1", "p1", "b", 10_000 + LATE_MILLIS);
        timing.arrived("n1", "p1", "c", 16_000 + LATE_MILLIS - 1);
        timing.arrived("n1", "p1", "d", 16_000 + LATE_MILLIS);
        timing.arrived("n0", "p1", "e", 16_000 + LATE_MILLIS);
        assertTrue(drains.drainEnded("n1", 20_000));
        assertEquals(2, late(), timing.verdict().findings().toString());
    }

    @Test
    void arrivalsAreJudgedUntilTheDrainEnds() {
        drains.drainBegan("n1", 10_000);
        drains.answered("p0", List.of("n1"), 10_100);
        drains.drainEnded("n1", 30_000);
        timing.arrived("n1", "p0", "a", 29_999);
        timing.arrived("n1", "p0", "b", 30_000);
        assertEquals(1, late());
    }

    @Test
    void anUnansweredWatchExcusesNothingBeyondSixSeconds() {
        drains.poolerStarted("p0", 8_700);
        drains.drainBegan("n1", 10_000);
        timing.arrived("n1", "p0", "a", 10_923);
        timing.arrived("n1", "p0", "b", 16_000 + LATE_MILLIS);
        drains.drainEnded("n1", 20_000);
        assertEquals(1, late());
        assertEquals(1, timing.verdict().lateUnanswered());
    }

    @Test
    void aStartDuringADrainExcusesOnlyUntilItsAnswerOrTheSixSeconds() {
        drains.drainBegan("n1", 10_000);
        drains.answered("p0", List.of("n1"), 10_000);
        drains.poolerStarted("p0", 12_000);
        timing.arrived("n1", "p0", "a", 13_000);
        drains.answered("p0", List.of("n1"), 13_100);
        timing.arrived("n1", "p0", "b", 13_100 + LATE_MILLIS);
        drains.poolerStarted("p0", 17_000);
        timing.arrived("n1", "p0", "c", 17_001);
        drains.drainEnded("n1", 20_000);
        assertEquals(2, late());
    }

    @Test
    void lateStatementsOfAStartingProcessAreCountedSeparately() {
        drains.drainBegan("n1", 10_000);
        drains.poolerStarted("p0", 11_000);
        timing.poolerStarted("p0", 11_000);
        timing.arrived("n1", "p0", "a", 17_300);
        timing.arrived("n1", "p0", "b", 17_301);
        drains.drainEnded("n1", 20_000);
        assertEquals(2, late());
        assertEquals(2, timing.verdict().lateUnanswered());
        assertEquals(0, timing.verdict().lateSilent());
        assertEquals(1, timing.verdict().lateStarting());
    }

    @Test
    void oneStatementIsCountedOnce() {
        drains.drainBegan("n1", 10_000);
        drains.poolerStarted("p0", 17_000);
        timing.arrived("n1", "p0", "a", 16_500);
        drains.drainEnded("n1", 20_000);
        assertEquals(1, late());
    }

    @Test
    void drainsOfOneDbNodeThatOverlapAreOne() {
        assertTrue(drains.drainBegan("n1", 10_000));
        drains.answered("p0", List.of("n1"), 10_000);
        assertFalse(drains.drainBegan("n1", 12_000));
        timing.arrived("n1", "p0", "a", 11_000);
        assertFalse(drains.drainEnded("n1", 13_000));
        timing.arrived("n1", "p0", "b", 13_500);
        assertTrue(drains.drainEnded("n1", 14_000));
        assertEquals(2, late());
    }

    @Test
    void aSilentWatchCountsAsNoticeAfterSixSecondsUntilAnotherIsAnswered() {
        drains.watchFellSilent("p0", 8_000);
        drains.watchFellSilent("p1", 8_000);
        drains.watchAnswered("p1");
        drains.drainBegan("n1", 10_000);
        timing.arrived("n1", "p0", "a", 14_000 + LATE_MILLIS);
        timing.arrived("n1", "p1", "b", 14_000 + LATE_MILLIS);
        drains.drainEnded("n1", 20_000);
        assertEquals(1, late());
        assertEquals(1, timing.verdict().lateSilent());
    }
}
