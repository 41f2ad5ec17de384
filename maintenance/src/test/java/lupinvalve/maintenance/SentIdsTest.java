package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.junit.jupiter.api.Test;

/** An id is claimed once, by whichever process comes first. */
class SentIdsTest {
    private static final long START_MILLIS = 5_000_000;

    @Test
    void anIdIsClaimedOnceWhileItIsKept() {
        SentIds ids = new SentIds();
        assertTrue(ids.claim("a", START_MILLIS));
        assertFalse(ids.claim("a", START_MILLIS + SentIds.KEPT_MILLIS - 500));
        assertTrue(ids.claim("b", START_MILLIS));
        assertTrue(ids.claim("a", START_MILLIS + SentIds.KEPT_MILLIS + 1_000));
    }

    @Test
    void anIdThatIsGivenBackCanBeClaimedAgain() {
        SentIds ids = new SentIds();
        assertTrue(ids.claim("a", START_MILLIS));
        ids.release("a", START_MILLIS + 1_000);
        assertTrue(ids.claim("a", START_MILLIS + 1_000));
        assertFalse(ids.claim("a", START_MILLIS + 1_000));
    }

    @Test
    void twoProcessesThatShareMemoryClaimAnIdOnce() {
        AtomicLongArray shared = new AtomicLongArray(SentIds.WORDS_COUNT);
        SentIds first = new SentIds(words(shared));
        SentIds second = new SentIds(words(shared));
        assertTrue(first.claim("a", START_MILLIS));
        assertFalse(second.claim("a", START_MILLIS + 1));
        assertTrue(second.claim("b", START_MILLIS + 1));
        assertFalse(first.claim("b", START_MILLIS + 2));
    }

    private static SentIds.Words words(AtomicLongArray shared) {
        return new SentIds.Words() {
            @Override
            public long get(int index) {
                return shared.get(index);
            }

            @Override
            public boolean compareAndSet(int index, long expected, long replacement) {
                return shared.compareAndSet(index, expected, replacement);
            }
        };
    }

    /** Ever new ids take no more memory, and drop others only once there are more than the table holds. */
    @Test
    void manyIdsAreKeptAndTheOldestGiveWay() {
        SentIds ids = new SentIds();
        for (int i = 0; i < 20_000; i++) {
            assertTrue(ids.claim("id" + i, START_MILLIS + i / 10));
        }
        for (int i = 0; i < 20_000; i++) {
            assertFalse(ids.claim("id" + i, START_MILLIS + 2_000));
        }
        for (int i = 0; i < 300_000; i++) {
            ids.claim("new" + i, START_MILLIS + 3_000);
        }
        assertTrue(ids.claim("last", START_MILLIS + 3_000));
        assertFalse(ids.claim("last", START_MILLIS + 3_000));
    }

    @Test
    void threadsThatClaimOneIdAtOnceGetItOnce() throws Exception {
        SentIds ids = new SentIds();
        AtomicInteger claims = new AtomicInteger();
        CyclicBarrier barrier = new CyclicBarrier(4);
        Thread[] threads = new Thread[4];
        for (int i = 0; i < threads.length; i++) {
            threads[i] = new Thread(() -> {
                for (int id = 0; id < 2_000; id++) {
                    await(barrier);
                    claims.addAndGet(ids.claim("id" + id, START_MILLIS) ? 1 : 0);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(2_000, claims.get());
    }

    private static void await(CyclicBarrier barrier) {
        try {
            barrier.await();
        } catch (InterruptedException | java.util.concurrent.BrokenBarrierException e) {
            throw new IllegalStateException(e);
        }
    }
}
