package lupinvalve.statemachine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjLongConsumer;

/**
 * Sessions' last commits, by age. A commit older than {@link #AGE} binds nothing: no db node that serves is so far
 * behind. Of more than {@link #MOST} the oldest go first.
 */
public final class Sessions {
    public static final long AGE = 600_000_000;
    public static final int MOST = 50_000;

    private record Aged(long position, String session) implements Comparable<Aged> {
        @Override
        public int compareTo(Aged other) {
            int order = Long.compare(position, other.position);
            return order != 0 ? order : session.compareTo(other.session);
        }
    }

    private final Map<String, Long> last = new HashMap<>();
    private final TreeSet<Aged> byAge = new TreeSet<>();
    private long latest;

    /** Position of the session's last commit, or 0. */
    public long last(String session) {
        return last.getOrDefault(session, 0L);
    }

    public int size() {
        return last.size();
    }

    /** Takes commits as of a time; what has grown too old by the latest time taken so far goes. */
    public void take(long atMicros, Map<String, Long> positions) {
        latest = Math.max(latest, atMicros);
        positions.forEach(this::put);
        long oldest = latest - AGE;
        while (!byAge.isEmpty() && (byAge.size() > MOST || byAge.first().position() < oldest)) {
            last.remove(byAge.pollFirst().session());
        }
    }

    private void put(String session, long position) {
        Long before = last.get(session);
        if (before != null && before >= position || position < latest - AGE) {
            return;
        }
        if (before != null) {
            byAge.remove(new Aged(before, session));
        }
        last.put(session, position);
        byAge.add(new Aged(position, session));
    }

    long latest() {
        return latest;
    }

    /** All that is held, the oldest first: the same order wherever the same is held. */
    void each(ObjLongConsumer<String> to) {
        byAge.forEach(aged -> to.accept(aged.session(), aged.position()));
    }

    void clear() {
        last.clear();
        byAge.clear();
        latest = 0;
    }
}
