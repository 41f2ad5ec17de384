package lupinvalve.maintenance;

import java.util.ArrayDeque;

/**
 * Orders the tasks of many flows for one thread, so that none waits for what another one sends: deficit round robin in
 * which the cost of a task is the time that it took, with priority for sparse flows (compare RFC 8290). A flow that has
 * had its quantum waits until the others have had theirs, and what it took beyond its quantum it owes. A flow without
 * debt, such as one that sends little, goes first, for {@link #SPARSE_BURST_MICROS} in a row while others wait. Debts
 * are forgiven at a fraction of the time that passes while a flow has no task.
 *
 * <p>No I/O; the time is an argument. Not thread-safe.
 *
 * @param <T> type of the tasks
 */
public final class FairQueue<T> {
    /** The time that a flow may take before the others get their turn; one task may take longer. */
    public static final long QUANTUM_MICROS = 200;

    /** The time that sparse flows may take in a row while other flows wait. */
    public static final long SPARSE_BURST_MICROS = 2_000;

    /** Of the time that a flow has no task, the part of which is forgiven is one in this many. */
    private static final int FORGIVENESS_DIVISOR = 8;

    /** Time that is charged for a task at least: the clock does not resolve shorter ones. */
    private static final long MIN_COST_MICROS = 1;

    private final ArrayDeque<Flow<T>> sparse = new ArrayDeque<>();
    private final ArrayDeque<Flow<T>> backlogged = new ArrayDeque<>();
    private Flow<T> current;
    private boolean isCurrentSparse;
    /** Time that sparse flows have taken since a backlogged one had its turn. */
    private long sparseMicros;

    private int size;

    /**
     * Tasks of one origin, in the order in which they were added.
     *
     * @param <T> type of the tasks
     */
    public static final class Flow<T> {
        private final ArrayDeque<T> tasks = new ArrayDeque<>(0);
        /** The time that the flow may still take in its turn; negative if it took more. */
        private long creditMicros = QUANTUM_MICROS;

        private long chargedAtMicros;
        /** Whether the flow waits in one of the lists. */
        private boolean isListed;
    }

    /** Adds a task behind those of its flow. */
    public void add(Flow<T> flow, T task, long nowMicros) {
        size++;
        flow.tasks.add(task);
        if (flow.isListed) {
            return;
        }
        flow.isListed = true;
        flow.creditMicros = Math.min(
                QUANTUM_MICROS,
                flow.creditMicros + Math.max(0, nowMicros - flow.chargedAtMicros) / FORGIVENESS_DIVISOR);
        (flow.creditMicros > 0 ? sparse : backlogged).add(flow);
    }

    /** Adds the rest of the task that {@link #poll} returned last, ahead of the others of its flow. */
    public void addRest(T task) {
        size++;
        current.tasks.addFirst(task);
    }

    /** Removes the next task, for whose time the caller then calls {@link #charge}; null if there is none. */
    public T poll() {
        while (true) {
            boolean isSparseNext = !sparse.isEmpty() && (backlogged.isEmpty() || sparseMicros < SPARSE_BURST_MICROS);
            ArrayDeque<Flow<T>> list = isSparseNext ? sparse : backlogged;
            Flow<T> flow = list.peek();
            if (flow == null) {
                return null;
            }
            if (flow.tasks.isEmpty()) {
                list.poll();
                flow.isListed = false;
                continue;
            }
            if (flow.creditMicros <= 0) {
                list.poll();
                flow.creditMicros += QUANTUM_MICROS;
                backlogged.add(flow);
                // A debtor's turn has come, though all it does with it is to pay.
                sparseMicros = isSparseNext ? sparseMicros : 0;
                continue;
            }
            size--;
            current = flow;
            isCurrentSparse = isSparseNext;
            return flow.tasks.poll();
        }
    }

    /** Charges the flow of the task that {@link #poll} returned last with the time that it took. */
    public void charge(long micros, long nowMicros) {
        long cost = Math.max(MIN_COST_MICROS, micros);
        current.creditMicros -= cost;
        current.chargedAtMicros = nowMicros;
        sparseMicros = isCurrentSparse && !backlogged.isEmpty() ? sparseMicros + cost : 0;
    }

    /** Whether a task of a flow waits that has not used up its quantum. */
    public boolean hasSparse() {
        return !sparse.isEmpty();
    }

    /** Tasks in the queue. */
    public int size() {
        return size;
    }
}
