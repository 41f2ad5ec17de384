package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each counter rises on a planted fault, and on nothing else. */
class TimingTest {
    private final Timing timing = new Timing(new Timing.Rules(250, 0.2, 10_000, 3, 3_000));

    @Test
    void whatComesInTimeIsLeftAlone() {
        timing.came("n0", "p0", "a", 1_000);
        timing.left("a", 990);
        timing.left("b", 1_000);
        timing.came("n0", "p0", "b", 1_150);
        timing.drained("p0", "n1", new DrainNotice.Told(2_000, 4_000, DrainNotice.Basis.ANSWERED));
        timing.came("n1", "p0", "c", 2_300);
        timing.came("n1", "p0", "d", 4_001);
        timing.came("n1", "p1", "e", 3_000);
        timing.ready(9_999);
        assertTrue(timing.verdict().good(), timing.verdict().findings().toString());
        assertEquals(0, timing.verdict().findings().size());
    }

    @Test
    void anAttemptForAClientThatHasLongGoneIsSeenUnlessItsConnectionWasDisturbed() {
        timing.left("a", 1_000);
        timing.came("n0", "p0", "a", 1_151);
        assertEquals(1, timing.verdict().lateAfterDeparture());
        assertFalse(timing.verdict().good());
        timing.disturbed("p0", "n1", 900, 1_200);
        timing.disturbed("p1", null, 900, 1_200);
        assertEquals(1, timing.verdict().lateAfterDeparture());
        timing.disturbed("p0", null, 900, 1_200);
        assertEquals(0, timing.verdict().lateAfterDeparture());
    }

    @Test
    void aSendToOneThatDrainsIsSeen() {
        timing.drained("p0", "n1", new DrainNotice.Told(2_000, 4_000, DrainNotice.Basis.ANSWERED));
        timing.came("n1", "p0", "c", 2_301);
        assertEquals(1, timing.verdict().lateAfterDrain());
        assertEquals(0, timing.verdict().lateUnanswered());
        assertFalse(timing.verdict().good());
    }

    @Test
    void aColdDbNodeThatIsSentTooMuchIsSeen() {
        timing.started("n0", 10_000);
        for (int i = 0; i < 3_000; i++) {
            // Another takes 100/s, so a cold one bears 132 in the first 3 s: N and twice its root and two.
            if (i % 10 == 0) {
                timing.came("n1", "p" + i % 3, "w" + i, 10_000 + i);
            }
        }
        for (int i = 0; i < 431; i++) {
            timing.came("n0", "p" + i % 30, "c" + i, 10_000 + i * 3);
        }
        assertEquals(
                0, timing.verdict().coldOverrun(), timing.verdict().findings().toString());
        for (int i = 0; i < 40; i++) {
            timing.came("n0", "p" + i % 30, "d" + i, 11_000 + i * 3);
        }
        assertEquals(1, timing.verdict().coldOverrun());
        assertFalse(timing.verdict().good());
    }

    @Test
    void oneSlowStartInTenIsBorneAndTwoAreNot() {
        for (int i = 0; i < 9; i++) {
            timing.ready(1_000);
        }
        timing.ready(10_001);
        assertTrue(timing.verdict().good());
        assertEquals(1, timing.verdict().notReady());
        timing.ready(10_001);
        assertFalse(timing.verdict().good());
    }
}
