package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;

/**
 * Batches the sessions' commits of one pooler for the log, one batch in flight at a time: each costs the group a force
 * of its disks however much it carries. Holds no more sessions than the {@link SessionTable}. Not thread-safe; times
 * are of one monotonic clock.
 */
public final class SessionCommitBatcher {
    /** How long the first commit of a batch waits for others. */
    static final long BATCH_DELAY_MICROS = 5_000;
    /** Pause after a batch was rejected. */
    static final long RETRY_BACKOFF_MICROS = 200_000;

    private static final int MAX_BATCH_SESSIONS = 4000;

    private Map<String, Long> waiting = new HashMap<>();
    private Command.SessionCommits batchInFlight;
    private long batchNumber;
    private long batchInFlightNumber;
    private long waitingSinceMicros;
    private long notBeforeMicros;

    /**
     * Adds a commit, unless so many other sessions wait that the table would drop it. Returns its batch's number, which
     * {@link #onBatchAnswered} reaches once a quorum has the batch.
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

    /** When {@link #nextBatch} has one, or {@link Long#MAX_VALUE} where nothing waits or one is in flight. */
    public long nextBatchMicros() {
        return batchInFlight != null || waiting.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(
                        notBeforeMicros,
                        waiting.size() >= MAX_BATCH_SESSIONS ? 0 : waitingSinceMicros + BATCH_DELAY_MICROS);
    }

    /** The next batch to send, or null where none is due. */
    public Command.SessionCommits nextBatch(long nowMicros) {
        if (nowMicros < nextBatchMicros()) {
            return null;
        }
        Map<String, Long> batch = waiting;
        waiting = new HashMap<>();
        if (batch.size() > MAX_BATCH_SESSIONS) {
            Map<String, Long> first = new HashMap<>();
            for (Map.Entry<String, Long> commit : batch.entrySet()) {
                (first.size() < MAX_BATCH_SESSIONS ? first : waiting).put(commit.getKey(), commit.getValue());
            }
            batch = first;
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
     * The batch in flight has been committed, or rejected; its commits then wait again, with those that came meanwhile.
     *
     * @return up to which batch number a quorum has all commits, or 0 where that has not changed
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

    /** Sessions that wait or are in flight. */
    public int size() {
        return waiting.size()
                + (batchInFlight == null ? 0 : batchInFlight.positions().size());
    }
}
