package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjLongConsumer;

/**
 * The last commit of each session, for causal reads. A log position is a time in microseconds: a commit older than
 * {@link #MAX_AGE_MICROS} is dropped, since no db node that serves lags so far. Beyond {@link #MAX_SESSIONS} the oldest
 * go first. Not thread-safe.
 */
public final class SessionTable {
    /** Age of a commit at most. */
    public static final long MAX_AGE_MICROS = 600_000_000;
    /** Sessions at most. */
    public static final int MAX_SESSIONS = 50_000;

    private record ByPosition(long position, String session) implements Comparable<ByPosition> {
        @Override
        public int compareTo(ByPosition other) {
            int order = Long.compare(position, other.position);
            return order != 0 ? order : session.compareTo(other.session);
        }
    }

    private final Map<String, Long> lastCommits = new HashMap<>();
    private final TreeSet<ByPosition> oldestFirst = new TreeSet<>();
    private long latestMicros;

    /** Log position of the session's last commit, or 0. */
    public long lastCommit(String session) {
        return lastCommits.getOrDefault(session, 0L);
    }

    /** How many sessions are in the table. */
    public int size() {
        return lastCommits.size();
    }

    /** Adds commits as of a time; drops what is too old by the latest time so far. */
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
        Long before = lastCommits.get(session);
        if (before != null && before >= position || position < latestMicros - MAX_AGE_MICROS) {
            return;
        }
        if (before != null) {
            oldestFirst.remove(new ByPosition(before, session));
        }
        lastCommits.put(session, position);
        oldestFirst.add(new ByPosition(position, session));
    }

    long latestMicros() {
        return latestMicros;
    }

    /** All commits, the oldest first: the same order at all members. */
    void forEachOldestFirst(ObjLongConsumer<String> consumer) {
        oldestFirst.forEach(commit -> consumer.accept(commit.session(), commit.position()));
    }

    void clear() {
        lastCommits.clear();
        oldestFirst.clear();
        latestMicros = 0;
    }
}
