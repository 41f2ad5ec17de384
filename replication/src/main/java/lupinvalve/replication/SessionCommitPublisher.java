package lupinvalve.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lupinvalve.core.EventLoop;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.SessionCommitBatcher;

/**
 * Proposes this pooler's session commits to the group in batches, and runs callbacks once a majority has them. On the
 * group's thread.
 */
final class SessionCommitPublisher {
    /** Limit of waiting callbacks; any beyond it is dropped, and the wait ends with the caller's own timeout. */
    private static final int MAX_WAITING_CALLBACKS = 10_000;

    private final EventLoop loop;
    private final BooleanSupplier canPropose;
    private final BiConsumer<Command, Consumer<Boolean>> proposer;
    private final SessionCommitBatcher batcher = new SessionCommitBatcher();
    /** By the number of the batch that they wait for. */
    private final TreeMap<Long, List<Runnable>> callbacksByBatch = new TreeMap<>();

    private int waitingCallbackCount;
    private boolean timerSet;
    private boolean stopped;

    /**
     * @param canPropose whether this member's replica is running and knows a leader
     * @param proposer proposes a command and passes to the callback whether it was committed
     */
    SessionCommitPublisher(
            EventLoop loop, BooleanSupplier canPropose, BiConsumer<Command, Consumer<Boolean>> proposer) {
        this.loop = loop;
        this.canPropose = canPropose;
        this.proposer = proposer;
    }

    /** Stops proposing. */
    void stop() {
        stopped = true;
    }

    /** Adds a session's commit to the next batch, and returns the batch's number. */
    long add(String session, long position) {
        return batcher.add(session, position, loop.now());
    }

    /** Adds a session's commit; {@code onCommitted}, if not null, runs once a majority has it. */
    void publish(String session, long position, Runnable onCommitted) {
        long batch = add(session, position);
        if (onCommitted != null && waitingCallbackCount < MAX_WAITING_CALLBACKS) {
            waitingCallbackCount++;
            callbacksByBatch.computeIfAbsent(batch, key -> new ArrayList<>()).add(onCommitted);
        }
        proposeDueBatch();
    }

    /** Proposes the next batch if it is due, or sets a timer for when it is. */
    void proposeDueBatch() {
        long dueMicros = batcher.nextBatchMicros();
        if (dueMicros == Long.MAX_VALUE || stopped) {
            return;
        }
        if (dueMicros > loop.now()) {
            setTimer(dueMicros - loop.now());
            return;
        }
        if (!canPropose.getAsBoolean()) {
            return;
        }
        proposer.accept(batcher.nextBatch(loop.now()), committed -> {
            long lastCommittedBatch = batcher.onBatchAnswered(committed, loop.now());
            runCallbacks(lastCommittedBatch);
            proposeDueBatch();
        });
    }

    private void setTimer(long delayMicros) {
        if (!timerSet) {
            timerSet = true;
            loop.after(delayMicros, () -> {
                timerSet = false;
                proposeDueBatch();
            });
        }
    }

    private void runCallbacks(long lastCommittedBatch) {
        Map<Long, List<Runnable>> due = callbacksByBatch.headMap(lastCommittedBatch, true);
        due.values().forEach(callbacks -> {
            waitingCallbackCount -= callbacks.size();
            callbacks.forEach(Runnable::run);
        });
        due.clear();
    }
}
