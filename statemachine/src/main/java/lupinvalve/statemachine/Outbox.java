package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;

/**
 * Sessions' commits of one pooler on their way to the group: they go in bundles, one at a time, since each one costs
 * the group a force of its disks however much it carries. Bounded by what the ledger itself would keep.
 */
public final class Outbox {
    /** How long the first commit of a bundle waits for others. */
    static final long BUNDLE = 5_000;
    /** After a bundle was turned down. */
    static final long AGAIN = 200_000;

    private static final int MOST = 4000;
    private Map<String, Long> waiting = new HashMap<>();
    private Change.Commits out;
    private long bundle, bundleOut, sinceMicros, notBefore;

    /** Adds a commit; gives the number of its bundle, which {@link #done} passes once a majority holds it. */
    public long add(String session, long position, long nowMicros) {
        if (waiting.isEmpty()) {
            sinceMicros = nowMicros;
        }
        if (waiting.size() < Sessions.MOST || waiting.containsKey(session)) {
            waiting.merge(session, position, Math::max);
        }
        return bundle + 1;
    }

    /** When {@link #next} should be asked, or {@link Long#MAX_VALUE} where nothing waits or one is out. */
    public long dueAt() {
        return out != null || waiting.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(notBefore, waiting.size() >= MOST ? 0 : sinceMicros + BUNDLE);
    }

    /** The next bundle to send, or null. */
    public Change.Commits next(long nowMicros) {
        if (nowMicros < dueAt()) {
            return null;
        }
        Map<String, Long> some = waiting;
        waiting = new HashMap<>();
        if (some.size() > MOST) {
            Map<String, Long> first = new HashMap<>();
            for (Map.Entry<String, Long> entry : some.entrySet()) {
                (first.size() < MOST ? first : waiting).put(entry.getKey(), entry.getValue());
            }
            some = first;
            sinceMicros = nowMicros;
        }
        out = new Change.Commits(nowMicros, some);
        if (waiting.isEmpty()) {
            bundle++;
        }
        bundleOut = bundle;
        return out;
    }

    /** The bundle that is out has been accepted, or has not; gives up to which number all is held by a majority. */
    public long answered(boolean accepted, long nowMicros) {
        if (out == null) {
            return 0;
        }
        if (!accepted) {
            out.positions().forEach((session, position) -> waiting.merge(session, position, Math::max));
            notBefore = nowMicros + AGAIN;
            sinceMicros = Math.min(sinceMicros, nowMicros);
            // What was in it and what has come meanwhile go together now.
        }
        out = null;
        return accepted ? bundleOut : 0;
    }

    public int size() {
        return waiting.size() + (out == null ? 0 : out.positions().size());
    }
}
