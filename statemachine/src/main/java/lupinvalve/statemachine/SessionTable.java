package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjLongConsumer;

/**
 * Sessions' last commits, by age. A commit older than {@link #AGE} binds nothing: no db node that serves is so far
 * behind. Of more than {@link #MOST} the oldest go first.
 */
public final class SessionTable {
    public static final long MAX_AGE_MICROS = 600_000_000;
    public static final int MAX_SESSIONS = 50_000;

    private record Aged(long position, String session) implements Comparable<Aged> {
        @Override
        public int compareTo(Aged other) {
            int order = Long.compare(position, other.position);
            return order != 0 ? order : session.compareTo(other.session);
        }
    }

    private final Map<String, Long> lastCommit = new HashMap<>();
    private final TreeSet<Aged> byAge = new TreeSet<>();
    private long latestMicros;

    /** Position of the session's last commit, or 0. */
    public long lastCommit(String session) {
        return lastCommit.getOrDefault(session, 0L);
    }

    public int size() {
        return lastCommit.size();
    }

    /** Takes commits as of a time; what has grown too old by the latest time taken so far goes. */
    public void apply(long atMicros, Map<String, Long> positions) {
        latestMicros = Math.max(latestMicros, atMicros);
        positions.forEach(this::put);
        long oldest = latestMicros - MAX_AGE_MICROS;
        while (!byAge.isEmpty() && (byAge.size() > MAX_SESSIONS || byAge.first().position() < oldest)) {
            lastCommit.remove(byAge.pollFirst().session());
        }
    }

    private void put(String session, long position) {
        Long before = lastCommit.get(session);
        if (before != null && before >= position || position < latestMicros - MAX_AGE_MICROS) {
            return;
        }
        if (before != null) {
            byAge.remove(new Aged(before, session));
        }
        lastCommit.put(session, position);
        byAge.add(new Aged(position, session));
    }

    long latestMicros() {
        return latestMicros;
    }

    /** All that is held, the oldest first: the same order wherever the same is held. */
    void forEachOldestFirst(ObjLongConsumer<String> to) {
        byAge.forEach(aged -> to.accept(aged.session(), aged.position()));
    }

    void clear() {
        lastCommit.clear();
        byAge.clear();
        latestMicros = 0;
    }
}
