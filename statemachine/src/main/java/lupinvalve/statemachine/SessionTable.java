package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjLongConsumer;

/**
 * The last commit of each session, for causal reads. A log position is a time in microseconds: a commit older than
 * {@link #MAX_AGE_MICROS} is evicted, since no db node that serves requests lags that far. Beyond {@link #MAX_SESSIONS}
 * the oldest commits are evicted first. Not thread-safe.
 */
public final class SessionTable {
    /** Maximum age of a commit. */
    public static final long MAX_AGE_MICROS = 600_000_000;
    /** Maximum number of sessions. */
    public static final int MAX_SESSIONS = 50_000;

    private record SessionPosition(long position, String session) implements Comparable<SessionPosition> {
        @Override
        public int compareTo(SessionPosition other) {
            int order = Long.compare(position, other.position);
            return order != 0 ? order : session.compareTo(other.session);
        }
    }

    private final Map<String, Long> lastCommits = new HashMap<>();
    private final TreeSet<SessionPosition> oldestFirst = new TreeSet<>();
    private long latestMicros;

    /** Log position of the session's last commit, or 0 if there is none. */
    public long lastCommit(String session) {
        return lastCommits.getOrDefault(session, 0L);
    }

    /** Number of sessions in the table. */
    public int size() {
        return lastCommits.size();
    }

    /** Adds the commits of a batch made at {@code atMicros}; evicts commits too old by the latest such time. */
    public void apply(long atMicros, Map<String, Long> positions) {
        latestMicros = Math.max(latestMicros, atMicros);
        positions.forEach(this::put);
        long oldestPosition = latestMicros - MAX_AGE_MICROS;
        while (!oldestFirst.isEmpty()
                && (oldestFirst.size() > MAX_SESSIONS || oldestFirst.first().position() < oldestPosition)) {
            lastCommits.remove(oldestFirst.pollFirst().session());
        }
    }

    private void put(String session, long position) {
        Long previous = lastCommits.get(session);
        if (previous != null && previous >= position || position < latestMicros - MAX_AGE_MICROS) {
            return;
        }
        if (previous != null) {
            oldestFirst.remove(new SessionPosition(previous, session));
        }
        lastCommits.put(session, position);
        oldestFirst.add(new SessionPosition(position, session));
    }

    long latestMicros() {
        return latestMicros;
    }

    /** Visits all commits, oldest first, in the same order at all members. */
    void forEachOldestFirst(ObjLongConsumer<String> consumer) {
        oldestFirst.forEach(commit -> consumer.accept(commit.session(), commit.position()));
    }

    void clear() {
        lastCommits.clear();
        oldestFirst.clear();
        latestMicros = 0;
    }
}
