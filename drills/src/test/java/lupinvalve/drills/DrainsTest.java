package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a pooler was told of a drain is what its sends are judged by. */
class DrainsTest {
    private static final long LATE = 301;
    private final Timing timing = new Timing(new Timing.Rules(250, 0.2, 10_000, 3, 3_000));
    private final Drains drains = new Drains(List.of("p0", "p1"), timing);

    private int late() {
        return timing.verdict().lateAfterDrain();
    }

    @Test
    void eachPoolerIsJudgedByWhatItWasToldItself() {
        assertTrue(drains.begun("n1", 10_000));
        drains.answered("p0", List.of("n1"), 10_000);
        timing.came("n1", "p0", "a", 10_000 + LATE);
        timing.came("n1", "p1", "b", 10_000 + LATE);
        timing.came("n1", "p1", "c", 16_000 + LATE - 1);
        timing.came("n1", "p1", "d", 16_000 + LATE);
        timing.came("n0", "p1", "e", 16_000 + LATE);
        assertTrue(drains.ended("n1", 20_000));
        assertEquals(2, late(), timing.verdict().findings().toString());
    }

    @Test
    void whatComesIsJudgedUntilTheDrainEnds() {
        drains.begun("n1", 10_000);
        drains.answered("p0", List.of("n1"), 10_100);
        drains.ended("n1", 30_000);
        timing.came("n1", "p0", "a", 29_999);
        timing.came("n1", "p0", "b", 30_000);
        assertEquals(1, late());
    }

    @Test
    void aWatchThatIsNeverAnsweredExcusesNothingBeyondSixSeconds() {
        drains.started("p0", 8_700);
        drains.begun("n1", 10_000);
        timing.came("n1", "p0", "a", 10_923);
        timing.came("n1", "p0", "b", 16_000 + LATE);
        drains.ended("n1", 20_000);
        assertEquals(1, late());
        assertEquals(1, timing.verdict().lateUnanswered());
    }

    @Test
    void aStartDuringADrainExcusesOnlyUntilItsAnswerOrTheSixSeconds() {
        drains.begun("n1", 10_000);
        drains.answered("p0", List.of("n1"), 10_000);
        drains.started("p0", 12_000);
        timing.came("n1", "p0", "a", 13_000);
        drains.answered("p0", List.of("n1"), 13_100);
        timing.came("n1", "p0", "b", 13_100 + LATE);
        drains.started("p0", 17_000);
        timing.came("n1", "p0", "c", 17_001);
        drains.ended("n1", 20_000);
        assertEquals(2, late());
    }

    @Test
    void lateSendsOfAProcessThatStartsAreCountedAndToldApart() {
        drains.begun("n1", 10_000);
        drains.started("p0", 11_000);
        timing.poolerStarted("p0", 11_000);
        timing.came("n1", "p0", "a", 17_300);
        timing.came("n1", "p0", "b", 17_301);
        drains.ended("n1", 20_000);
        assertEquals(2, late());
        assertEquals(2, timing.verdict().lateUnanswered());
        assertEquals(0, timing.verdict().lateSilent());
        assertEquals(1, timing.verdict().lateStarting());
    }

    @Test
    void oneSendIsCountedOnce() {
        drains.begun("n1", 10_000);
        drains.started("p0", 17_000);
        timing.came("n1", "p0", "a", 16_500);
        drains.ended("n1", 20_000);
        assertEquals(1, late());
    }

    @Test
    void drainsOfOneDbNodeThatOverlapAreOne() {
        assertTrue(drains.begun("n1", 10_000));
        drains.answered("p0", List.of("n1"), 10_000);
        assertFalse(drains.begun("n1", 12_000));
        timing.came("n1", "p0", "a", 11_000);
        assertFalse(drains.ended("n1", 13_000));
        timing.came("n1", "p0", "b", 13_500);
        assertTrue(drains.ended("n1", 14_000));
        assertEquals(2, late());
    }

    @Test
    void aSilentWatchBindsSixSecondsAfterItFellSilentUntilAnotherIsAnswered() {
        drains.fellSilent("p0", 8_000);
        drains.fellSilent("p1", 8_000);
        drains.watched("p1");
        drains.begun("n1", 10_000);
        timing.came("n1", "p0", "a", 14_000 + LATE);
        timing.came("n1", "p1", "b", 14_000 + LATE);
        drains.ended("n1", 20_000);
        assertEquals(1, late());
        assertEquals(1, timing.verdict().lateSilent());
    }
}
