package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lupinvalve.drills.CallQueue.Ending;
import lupinvalve.drills.CallQueue.Outcome;
import org.junit.jupiter.api.Test;

/**
 * An overloaded discovery answers slowly, ends calls in each way there is, and fails at most three in a row for a
 * pooler.
 */
class CallQueueTest {
    private static boolean fails(Outcome outcome, long calledAt) {
        return outcome.ending() != Ending.ANSWERED || outcome.at() > calledAt + 1_000;
    }

    @Test
    void withoutOverloadEachCallIsAnsweredAtOnce() {
        CallQueue queue = new CallQueue(7);
        assertEquals(new Outcome(5_000, Ending.ANSWERED), queue.outcome("p0", 5_000));
        queue.setOverloaded(true);
        queue.outcome("p0", 5_000);
        queue.setOverloaded(false);
        assertEquals(new Outcome(5_001, Ending.ANSWERED), queue.outcome("p0", 5_001));
        assertEquals(1, queue.counts().calls());
    }

    @Test
    void threeCallsInARowFailAndNeverFour() {
        int longest = 0;
        for (int seed = 0; seed < 200; seed++) {
            CallQueue queue = new CallQueue(seed);
            queue.setOverloaded(true);
            Map<String, Integer> failed = new HashMap<>();
            for (int i = 0; i < 200; i++) {
                String pooler = "p" + i % 4;
                long at = 1_000 + i * 97L;
                boolean fails = fails(queue.outcome(pooler, at), at);
                int inARow = fails ? failed.merge(pooler, 1, Integer::sum) : 0;
                if (!fails) {
                    failed.remove(pooler);
                }
                longest = Math.max(longest, inARow);
            }
        }
        assertEquals(3, longest);
    }

    @Test
    void callsWaitForAllEarlierCalls() {
        int waited = 0;
        for (int seed = 0; seed < 50; seed++) {
            CallQueue queue = new CallQueue(seed);
            queue.setOverloaded(true);
            long last = 1_000;
            int before = 0;
            for (int i = 0; i < 8; i++) {
                before++;
                Outcome outcome = queue.outcome("p" + i, 1_000);
                // Calls that end by TORN or RESET always go through the queue.
                if (outcome.ending() == Ending.TORN || outcome.ending() == Ending.RESET) {
                    assertTrue(outcome.at() == 3_500 || outcome.at() >= last + 80 * before, outcome + " after " + last);
                    last = outcome.at();
                    before = 0;
                    waited++;
                }
            }
        }
        assertTrue(waited > 50, waited + " calls waited");
    }

    @Test
    void callsEndInEachWay() {
        Set<Ending> endings = EnumSet.noneOf(Ending.class);
        int late = 0;
        int crossing = 0;
        int answered = 0;
        CallQueue queue = new CallQueue(7);
        queue.setOverloaded(true);
        for (int i = 0; i < 1_000; i++) {
            long at = i * 400L;
            Outcome outcome = queue.outcome("p" + i % 4, at);
            endings.add(outcome.ending());
            long took = outcome.at() - at;
            if (outcome.ending() == Ending.ANSWERED) {
                answered += took <= 1_000 ? 1 : 0;
                crossing += Math.abs(took - 1_200) <= 15 ? 1 : 0;
                late += took > 1_215 ? 1 : 0;
            }
        }
        assertEquals(EnumSet.allOf(Ending.class), endings);
        assertTrue(
                answered > 200 && crossing > 50 && late > 50,
                answered + " in time, " + crossing + " crossing, " + late + " late");
        assertEquals(1_000, queue.counts().calls());
        assertEquals(1_000 - answered, queue.counts().failed());
    }
}
