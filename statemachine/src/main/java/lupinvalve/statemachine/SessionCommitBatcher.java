package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;

/**
 * Sessions' commits of one pooler on their way to the group: they go in bundles, one at a time, since each one costs
 * the group a force of its disks however much it carries. Bounded by what the ledger itself would keep.
 */
public final class SessionCommitBatcher {
    /** How long the first commit of a bundle waits for others. */
    static final long BATCH_DELAY_MICROS = 5_000;
    /** After a bundle was turned down. */
    static final long RETRY_BACKOFF_MICROS = 200_000;

    private static final int MAX_BATCH_SESSIONS = 4000;
    private Map<String, Long> waiting = new HashMap<>();
    private Command.SessionCommits batchInFlight;
    private long batchNumber, batchInFlightNumber, sinceMicros, notBefore;

    /** Adds a commit; gives the number of its bundle, which {@link #done} passes once a majority holds it. */
    public long add(String session, long position, long nowMicros) {
        if (waiting.isEmpty()) {
            sinceMicros = nowMicros;
        }
        if (waiting.size() < SessionTable.MAX_SESSIONS || waiting.containsKey(session)) {
            waiting.merge(session, position, Math::max);
        }
        return batchNumber + 1;
    }

    /** When {@link #next} should be asked, or {@link Long#MAX_VALUE} where nothing waits or one is out. */
    public long nextBatchMicros() {
        return batchInFlight != null || waiting.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(notBefore, waiting.size() >= MAX_BATCH_SESSIONS ? 0 : sinceMicros + BATCH_DELAY_MICROS);
    }

    /** The next bundle to send, or null. */
    public Command.SessionCommits nextBatch(long nowMicros) {
        if (nowMicros < nextBatchMicros()) {
            return null;
        }
        Map<String, Long> some = waiting;
        waiting = new HashMap<>();
        if (some.size() > MAX_BATCH_SESSIONS) {
            Map<String, Long> first = new HashMap<>();
            for (Map.Entry<String, Long> entry : some.entrySet()) {
                (first.size() < MAX_BATCH_SESSIONS ? first : waiting).put(entry.getKey(), entry.getValue());
            }
            some = first;
            sinceMicros = nowMicros;
        }
        batchInFlight = new Command.SessionCommits(nowMicros, some);
        if (waiting.isEmpty()) {
            batchNumber++;
        }
        batchInFlightNumber = batchNumber;
        return batchInFlight;
    }

    /** The bundle that is out has been accepted, or has not; gives up to which number all is held by a majority. */
    public long onBatchAnswered(boolean accepted, long nowMicros) {
        if (batchInFlight == null) {
            return 0;
        }
        if (!accepted) {
            batchInFlight.positions().forEach((session, position) -> waiting.merge(session, position, Math::max));
            notBefore = nowMicros + RETRY_BACKOFF_MICROS;
            sinceMicros = Math.min(sinceMicros, nowMicros);
            // What was in it and what has come meanwhile go together now.
        }
        batchInFlight = null;
        return accepted ? batchInFlightNumber : 0;
    }

    public int size() {
        return waiting.size()
                + (batchInFlight == null ? 0 : batchInFlight.positions().size());
    }
}
