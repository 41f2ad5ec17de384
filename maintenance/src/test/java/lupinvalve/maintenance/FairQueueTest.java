package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The order in which flows get a thread's time, in virtual time. */
class FairQueueTest {
    private static final int SEEDS = 200;
    private static final long PLAY_MICROS = 2_000_000;

    /** A task of a flow that takes some time of the thread. */
    private record Task(int flow, long costMicros, long addedAtMicros) {}

    private final FairQueue<Task> queue = new FairQueue<>();
    private long nowMicros;

    private FairQueue.Flow<Task> add(FairQueue.Flow<Task> flow, int name, long costMicros) {
        queue.add(flow, new Task(name, costMicros, nowMicros), nowMicros);
        return flow;
    }

    private Task runNext() {
        Task task = queue.poll();
        if (task != null) {
            nowMicros += task.costMicros();
            queue.charge(task.costMicros(), nowMicros);
        }
        return task;
    }

    private List<Integer> runAll() {
        List<Integer> order = new ArrayList<>();
        for (Task task = runNext(); task != null; task = runNext()) {
            order.add(task.flow());
        }
        return order;
    }

    @Test
    void flowsThatUseLittleAreServedInTheOrderOfTheirArrival() {
        add(new FairQueue.Flow<>(), 1, 10);
        add(new FairQueue.Flow<>(), 2, 10);
        add(new FairQueue.Flow<>(), 3, 10);
        assertEquals(3, queue.size());
        assertEquals(List.of(1, 2, 3), runAll());
        assertNull(queue.poll());
        assertEquals(0, queue.size());
    }

    @Test
    void tasksOfOneFlowKeepTheirOrderAndAnotherFlowWaitsForOneQuantumAtMost() {
        FairQueue.Flow<Task> flood = new FairQueue.Flow<>();
        for (int i = 0; i < 100; i++) {
            add(flood, 1, 50);
        }
        add(new FairQueue.Flow<>(), 2, 10);
        List<Integer> order = runAll();
        assertEquals(FairQueue.QUANTUM_MICROS / 50, order.indexOf(2));
        assertEquals(101, order.size());
    }

    @Test
    void timeBeyondTheQuantumIsOwedAlsoAfterAPause() {
        FairQueue.Flow<Task> large = add(new FairQueue.Flow<>(), 1, 20_000);
        assertEquals(List.of(1), runAll());
        FairQueue.Flow<Task> steady = new FairQueue.Flow<>();
        for (int i = 0; i < 150; i++) {
            add(steady, 2, 100);
        }
        nowMicros += 8_000;
        add(large, 1, 20_000);
        List<Integer> order = runAll();
        assertTrue(
                order.indexOf(1) * 100L >= 15_000 || order.indexOf(1) == 150, "after " + order.indexOf(1) + " tasks");
        nowMicros += 200_000;
        add(large, 1, 10);
        add(steady, 2, 100);
        assertEquals(List.of(1, 2), runAll());
    }

    @Test
    void everNewFlowsDoNotStarveOneThatHasUsedItsQuantum() {
        FairQueue.Flow<Task> backlogged = new FairQueue.Flow<>();
        for (int i = 0; i < 50; i++) {
            add(backlogged, 1, FairQueue.QUANTUM_MICROS);
        }
        int served = 0;
        for (int i = 0; i < 5_000; i++) {
            add(new FairQueue.Flow<>(), 2, 100);
            served += runNext().flow() == 1 ? 1 : 0;
        }
        assertEquals(50, served);
    }

    /**
     * Floods of any cost, on few or ever new flows, beside steady flows: a steady flow's task waits no longer than a
     * few turns of all others and the longest single task.
     */
    @Test
    void noFloodDelaysAnotherFlowBeyondATurnOfAll() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            Flood flood = new Flood(random);
            long worst = flood.play();
            assertTrue(
                    worst <= flood.boundMicros(), "seed " + seed + ": " + worst + " of " + flood.boundMicros() + " us");
        }
    }

    /** Flooding flows that always have tasks, and steady ones that add one now and then. */
    private static final class Flood {
        private final FairQueueTest test = new FairQueueTest();
        private final Random random;
        private final int floods;
        private final long costMicros;
        private final boolean comesAnew;
        private final int steady;
        private final List<FairQueue.Flow<Task>> flows = new ArrayList<>();

        Flood(Random random) {
            this.random = random;
            floods = 1 + random.nextInt(200);
            costMicros = 1 + random.nextInt(random.nextBoolean() ? 100 : 5_000);
            comesAnew = random.nextInt(3) == 0;
            steady = 1 + random.nextInt(20);
            for (int i = 0; i < floods + steady; i++) {
                flows.add(new FairQueue.Flow<>());
            }
        }

        long boundMicros() {
            long turnMicros = Math.max(FairQueue.QUANTUM_MICROS, costMicros) + costMicros;
            return (comesAnew ? floods * costMicros : 0) + 2 * turnMicros + 10_000;
        }

        long play() {
            long worst = 0;
            int[] queued = new int[floods + steady];
            long[] restUntil = new long[floods + steady];
            while (test.nowMicros < PLAY_MICROS) {
                for (int i = 0; i < floods; i++) {
                    if (comesAnew && queued[i] == 0) {
                        flows.set(i, new FairQueue.Flow<>());
                    }
                    while (queued[i] < (comesAnew ? 1 : 20)) {
                        test.add(flows.get(i), i, costMicros);
                        queued[i]++;
                    }
                }
                for (int i = floods; i < floods + steady; i++) {
                    if (queued[i] == 0 && test.nowMicros >= restUntil[i]) {
                        test.add(flows.get(i), i, 50);
                        queued[i]++;
                    }
                }
                Task task = test.runNext();
                queued[task.flow()]--;
                if (task.flow() >= floods) {
                    boolean isFloodNew = task.addedAtMicros() < floods * costMicros;
                    worst = isFloodNew ? worst : Math.max(worst, test.nowMicros - task.addedAtMicros());
                    restUntil[task.flow()] = test.nowMicros + 5_000 + random.nextInt(20_000);
                }
            }
            return worst;
        }
    }
}
