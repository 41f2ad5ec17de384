package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lupinvalve.drills.CallQueue.Ending;
import lupinvalve.drills.CallQueue.Fate;
import org.junit.jupiter.api.Test;

/**
 * An overloaded discovery is slow, fails in each way there is, and never more than three calls in a row for one pooler.
 */
class CallQueueTest {
    private static boolean fails(Fate fate, long calledAt) {
        return fate.ending() != Ending.ANSWERED || fate.at() > calledAt + 1_000;
    }

    @Test
    void withoutOverloadEachCallIsAnsweredAtOnce() {
        CallQueue queue = new CallQueue(7);
        assertEquals(new Fate(5_000, Ending.ANSWERED), queue.fate("p0", 5_000));
        queue.overloaded(true);
        queue.fate("p0", 5_000);
        queue.overloaded(false);
        assertEquals(new Fate(5_001, Ending.ANSWERED), queue.fate("p0", 5_001));
        assertEquals(1, queue.counts().calls());
    }

    @Test
    void threeCallsInARowFailAndNeverFour() {
        int longest = 0;
        for (int seed = 0; seed < 200; seed++) {
            CallQueue queue = new CallQueue(seed);
            queue.overloaded(true);
            Map<String, Integer> failed = new HashMap<>();
            for (int i = 0; i < 200; i++) {
                String pooler = "p" + i % 4;
                long at = 1_000 + i * 97L;
                boolean fails = fails(queue.fate(pooler, at), at);
                int row = fails ? failed.merge(pooler, 1, Integer::sum) : 0;
                if (!fails) {
                    failed.remove(pooler);
                }
                longest = Math.max(longest, row);
            }
        }
        assertEquals(3, longest);
    }

    @Test
    void callsWaitForAllThatCameBeforeThem() {
        int waited = 0;
        for (int seed = 0; seed < 50; seed++) {
            CallQueue queue = new CallQueue(seed);
            queue.overloaded(true);
            long last = 1_000;
            int before = 0;
            for (int i = 0; i < 8; i++) {
                before++;
                Fate fate = queue.fate("p" + i, 1_000);
                // These two come out of the queue whatever the lot says besides.
                if (fate.ending() == Ending.TORN || fate.ending() == Ending.RESET) {
                    assertTrue(fate.at() == 3_500 || fate.at() >= last + 80 * before, fate + " after " + last);
                    last = fate.at();
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
        queue.overloaded(true);
        for (int i = 0; i < 1_000; i++) {
            long at = i * 400L;
            Fate fate = queue.fate("p" + i % 4, at);
            endings.add(fate.ending());
            long took = fate.at() - at;
            if (fate.ending() == Ending.ANSWERED) {
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
