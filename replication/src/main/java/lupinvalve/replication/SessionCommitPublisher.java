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
 * Brings this pooler's session commits to the group in batches, and runs what waits for a majority to hold them. On the
 * group's thread.
 */
final class SessionCommitPublisher {
    /**
     * Callbacks that wait at once; those beyond are dropped, and the caller's own time limit ends what they wait for.
     */
    private static final int MAX_WAITING_CALLBACKS = 10_000;

    private final EventLoop loop;
    private final BooleanSupplier canPropose;
    private final BiConsumer<Command, Consumer<Boolean>> proposer;
    private final SessionCommitBatcher batcher = new SessionCommitBatcher();
    /** By the batch that each waits for. */
    private final TreeMap<Long, List<Runnable>> waiting = new TreeMap<>();

    private int waitingCount;
    private boolean timerSet;
    private boolean stopped;

    /**
     * @param canPropose whether this member takes part and knows a leader
     * @param proposer proposes a command, and tells whether it was committed
     */
    SessionCommitPublisher(
            EventLoop loop, BooleanSupplier canPropose, BiConsumer<Command, Consumer<Boolean>> proposer) {
        this.loop = loop;
        this.canPropose = canPropose;
        this.proposer = proposer;
    }

    /** Nothing is proposed any more. */
    void stop() {
        stopped = true;
    }

    /** Adds a session's commit to the next batch; gives the batch's number. */
    long add(String session, long position) {
        return batcher.add(session, position, loop.now());
    }

    /** Adds a session's commit; {@code onCommitted}, if any, runs once a majority holds it. */
    void publish(String session, long position, Runnable onCommitted) {
        long batch = add(session, position);
        if (onCommitted != null && waitingCount < MAX_WAITING_CALLBACKS) {
            waitingCount++;
            waiting.computeIfAbsent(batch, key -> new ArrayList<>()).add(onCommitted);
        }
        proposeDueBatch();
    }

    /** Proposes the next batch if its time has come, or sets a timer for it. */
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
            long upTo = batcher.onBatchAnswered(committed, loop.now());
            runWaiting(upTo);
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

    private void runWaiting(long upToBatch) {
        Map<Long, List<Runnable>> done = waiting.headMap(upToBatch, true);
        done.values().forEach(callbacks -> {
            waitingCount -= callbacks.size();
            callbacks.forEach(Runnable::run);
        });
        done.clear();
    }
}
