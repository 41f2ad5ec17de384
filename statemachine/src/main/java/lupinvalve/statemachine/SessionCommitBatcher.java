package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;

/**
 * Batches the last commits of one pooler's sessions for the log, with one batch in flight at a time: each batch costs
 * the group an fsync on its disks, whatever its size. Holds no more sessions than the {@link SessionTable}. Not
 * thread-safe; times are of one monotonic clock.
 */
public final class SessionCommitBatcher {
    /** Time that the first commit of a batch waits for further commits. */
    static final long BATCH_DELAY_MICROS = 5_000;
    /** Backoff after a rejected batch. */
    static final long RETRY_BACKOFF_MICROS = 200_000;

    private static final int MAX_BATCH_SESSIONS = 4000;

    private Map<String, Long> waiting = new HashMap<>();
    private Command.SessionCommits batchInFlight;
    private long batchNumber;
    private long batchInFlightNumber;
    private long waitingSinceMicros;
    private long notBeforeMicros;

    /**
     * Adds a commit, unless so many other sessions are waiting that the {@link SessionTable} would evict it.
     *
     * @return the number of the commit's batch; {@link #onBatchAnswered} returns this number or a higher one once a
     *     quorum has the batch
     */
    public long add(String session, long position, long nowMicros) {
        if (waiting.isEmpty()) {
            waitingSinceMicros = nowMicros;
        }
        if (waiting.size() < SessionTable.MAX_SESSIONS || waiting.containsKey(session)) {
            waiting.merge(session, position, Math::max);
        }
        return batchNumber + 1;
    }

    /** When the next batch is due, or {@link Long#MAX_VALUE} if no commit is waiting or a batch is in flight. */
    public long nextBatchMicros() {
        return batchInFlight != null || waiting.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(
                        notBeforeMicros,
                        waiting.size() >= MAX_BATCH_SESSIONS ? 0 : waitingSinceMicros + BATCH_DELAY_MICROS);
    }

    /** The next batch to send, or null if none is due. */
    public Command.SessionCommits nextBatch(long nowMicros) {
        if (nowMicros < nextBatchMicros()) {
            return null;
        }
        Map<String, Long> batch = waiting;
        waiting = new HashMap<>();
        if (batch.size() > MAX_BATCH_SESSIONS) {
            Map<String, Long> limited = new HashMap<>();
            for (Map.Entry<String, Long> commit : batch.entrySet()) {
                (limited.size() < MAX_BATCH_SESSIONS ? limited : waiting).put(commit.getKey(), commit.getValue());
            }
            batch = limited;
            waitingSinceMicros = nowMicros;
        }
        batchInFlight = new Command.SessionCommits(nowMicros, batch);
        if (waiting.isEmpty()) {
            batchNumber++;
        }
        batchInFlightNumber = batchNumber;
        return batchInFlight;
    }

    /**
     * Handles the answer to the batch in flight. The commits of a rejected batch are queued again and merged with those
     * added since it was sent.
     *
     * @return the batch number up to which a quorum has all commits, or 0 if that has not changed
     */
    public long onBatchAnswered(boolean committed, long nowMicros) {
        if (batchInFlight == null) {
            return 0;
        }
        if (!committed) {
            batchInFlight.positions().forEach((session, position) -> waiting.merge(session, position, Math::max));
            notBeforeMicros = nowMicros + RETRY_BACKOFF_MICROS;
            waitingSinceMicros = Math.min(waitingSinceMicros, nowMicros);
        }
        batchInFlight = null;
        return committed ? batchInFlightNumber : 0;
    }

    /** Number of sessions waiting plus number of sessions in flight. */
    public int size() {
        return waiting.size()
                + (batchInFlight == null ? 0 : batchInFlight.positions().size());
    }
}
