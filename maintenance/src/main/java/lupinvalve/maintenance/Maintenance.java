package lupinvalve.maintenance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;

/**
 * Which db nodes operators have taken out, and when they called back those that they had. It decides what the router
 * hears of a listed db node: one that is out is told as gone whatever discovery lists meanwhile, one that was called
 * back as started at that call, since operators restart what they take out and a cold one may be given only so much. No
 * I/O, no clock. Not safe for use by several threads.
 */
public final class Maintenance {
    /** Ids held at most; each comes from an operator's hand. */
    static final int MOST = 1000;
    /**
     * For how long an id that has left the list is still somebody's: a db node that restarts is off the list meanwhile.
     */
    static final long REMEMBERED = 600_000_000;

    private final long warmUpMicros;
    /** When ids left the list, the longest ago first. */
    private final LinkedHashMap<String, Long> left = new LinkedHashMap<>();

    private final Set<String> out = new TreeSet<>();
    private final Map<String, Long> back = new HashMap<>();

    /**
     * What two processes of one pooler share.
     *
     * @param out ids taken out
     * @param back when ids were called back, in Unix microseconds
     */
    public record Orders(Set<String> out, Map<String, Long> back) {
        public static final Orders NONE = new Orders(Set.of(), Map.of());

        public Orders {
            out = java.util.Collections.unmodifiableSet(new TreeSet<>(out));
            back = java.util.Collections.unmodifiableMap(new TreeMap<>(back));
        }

        /** These orders after one more. Calls are idempotent: one call back undoes any number of calls out. */
        public Orders with(boolean takeOut, String id, long nowMicros) {
            Set<String> nextOut = new TreeSet<>(out);
            Map<String, Long> nextBack = new TreeMap<>(back);
            if (takeOut) {
                nextOut.add(id);
                nextBack.remove(id);
            } else if (nextOut.remove(id)) {
                nextBack.put(id, nowMicros);
            }
            return new Orders(nextOut, nextBack);
        }

        /** These orders without calls back that were made before the time given: their db nodes are warm. */
        public Orders since(long micros) {
            Map<String, Long> recent = new TreeMap<>(back);
            recent.values().removeIf(at -> at < micros);
            return recent.size() == back.size() ? this : new Orders(out, recent);
        }

        /** What is out by either. */
        public Orders and(Orders other) {
            Set<String> all = new TreeSet<>(out);
            all.addAll(other.out);
            Map<String, Long> returned = new TreeMap<>(back);
            other.back.forEach((id, at) -> returned.merge(id, at, Math::max));
            returned.keySet().removeAll(all);
            return new Orders(all, returned);
        }
    }

    /** @param warmUpMicros for how long a db node that started is cold */
    public Maintenance(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /** A db node has left the list. */
    public void left(String id, long nowMicros) {
        left.remove(id);
        left.put(id, nowMicros);
        Iterator<Long> eldest = left.values().iterator();
        if (left.size() > MOST || eldest.next() < nowMicros - REMEMBERED) {
            left.remove(left.keySet().iterator().next());
        }
    }

    /** Why a call can't be taken, or null. */
    public String objection(boolean takeOut, String id, boolean listed, long nowMicros) {
        // Guards the call for a db node that operators are just restarting: it is off the list, and yet no stranger.
        boolean known = listed || out.contains(id) || left.getOrDefault(id, Long.MIN_VALUE) >= nowMicros - REMEMBERED;
        if (!known) {
            return "nobody has the id " + id;
        }
        return takeOut && !out.contains(id) && out.size() >= MOST ? "already " + MOST + " ids are out" : null;
    }

    /** Takes over the orders as they now stand; gives the ids of which the router is to hear anew. */
    public Set<String> take(Orders orders, long nowMicros) {
        Set<String> changed = new TreeSet<>(out);
        changed.addAll(orders.out());
        changed.removeIf(id -> out.contains(id) && orders.out().contains(id));
        out.clear();
        out.addAll(orders.out());
        back.clear();
        back.putAll(orders.since(nowMicros - warmUpMicros).back());
        return changed;
    }

    public Orders orders() {
        return new Orders(out, back);
    }

    public boolean isOut(String id) {
        return out.contains(id);
    }

    /** What the router is told of a listed db node. */
    public Endpoint told(Endpoint m) {
        if (out.contains(m.node())) {
            return new Endpoint(
                    m.node(), m.group(), m.zone(), EndpointState.DEPARTED, m.listedPrimary(), m.startedAtMicros());
        }
        Long at = back.get(m.node());
        return at == null || at <= m.startedAtMicros()
                ? m
                : new Endpoint(m.node(), m.group(), m.zone(), m.state(), m.listedPrimary(), at);
    }
}
