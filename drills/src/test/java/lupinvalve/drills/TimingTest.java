package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each counter rises for its violation, and for nothing else. */
class TimingTest {
    private final Timing timing = new Timing(new Timing.Rules(250, 0.2, 10_000, 3, 3_000));

    @Test
    void statementsInTimeHaveNoFindings() {
        timing.arrived("n0", "p0", "a", 1_000);
        timing.clientLeft("a", 990);
        timing.clientLeft("b", 1_000);
        timing.arrived("n0", "p0", "b", 1_150);
        timing.drained("p0", "n1", new DrainNotice.NoticePeriod(2_000, 4_000, DrainNotice.Basis.ANSWERED));
        timing.arrived("n1", "p0", "c", 2_300);
        timing.arrived("n1", "p0", "d", 4_001);
        timing.arrived("n1", "p1", "e", 3_000);
        timing.poolerReady(9_999);
        assertTrue(timing.verdict().good(), timing.verdict().findings().toString());
        assertEquals(0, timing.verdict().findings().size());
    }

    @Test
    void anAttemptLongAfterItsClientLeftIsFoundUnlessItsConnectionWasDisturbed() {
        timing.clientLeft("a", 1_000);
        timing.arrived("n0", "p0", "a", 1_151);
        assertEquals(1, timing.verdict().lateAfterDeparture());
        assertFalse(timing.verdict().good());
        timing.disturbed("p0", "n1", 900, 1_200);
        timing.disturbed("p1", null, 900, 1_200);
        assertEquals(1, timing.verdict().lateAfterDeparture());
        timing.disturbed("p0", null, 900, 1_200);
        assertEquals(0, timing.verdict().lateAfterDeparture());
    }

    @Test
    void aStatementToADrainingDbNodeIsFound() {
        timing.drained("p0", "n1", new DrainNotice.NoticePeriod(2_000, 4_000, DrainNotice.Basis.ANSWERED));
        timing.arrived("n1", "p0", "c", 2_301);
        assertEquals(1, timing.verdict().lateAfterDrain());
        assertEquals(0, timing.verdict().lateUnanswered());
        assertFalse(timing.verdict().good());
    }

    @Test
    void aColdDbNodeThatIsSentTooMuchIsFound() {
        timing.nodeStarted("n0", 10_000);
        for (int i = 0; i < 3_000; i++) {
            // The other db node takes 300 in 3 s. Cold, n0 has a capacity of 3 * 0.44 * 300 = 396 in its first 3 s, and
            // the
            // limit is that plus twice its square root plus 2: 437.
            if (i % 10 == 0) {
                timing.arrived("n1", "p" + i % 3, "w" + i, 10_000 + i);
            }
        }
        for (int i = 0; i < 431; i++) {
            timing.arrived("n0", "p" + i % 30, "c" + i, 10_000 + i * 3);
        }
        assertEquals(
                0, timing.verdict().coldOverrun(), timing.verdict().findings().toString());
        for (int i = 0; i < 40; i++) {
            timing.arrived("n0", "p" + i % 30, "d" + i, 11_000 + i * 3);
        }
        assertEquals(1, timing.verdict().coldOverrun());
        assertFalse(timing.verdict().good());
    }

    @Test
    void oneSlowStartInTenIsAllowedAndTwoAreNot() {
        for (int i = 0; i < 9; i++) {
            timing.poolerReady(1_000);
        }
        timing.poolerReady(10_001);
        assertTrue(timing.verdict().good());
        assertEquals(1, timing.verdict().notReady());
        timing.poolerReady(10_001);
        assertFalse(timing.verdict().good());
    }
}
