package lupinvalve.drills;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All drains of a drill, and what each pooler was told of them by when: each goes to {@link Timing} once it has ended.
 * Drains of one db node that overlap are one. Without I/O; times are in milliseconds of one clock.
 */
final class Drains {
    private final Collection<String> poolers;
    private final Timing timing;
    /** How many steps hold a db node in its drain. */
    private final Map<String, Integer> depths = new HashMap<>();
    /** By db node, then by pooler. */
    private final Map<String, Map<String, DrainNotice>> open = new TreeMap<>();

    private final Map<String, Long> silentSince = new HashMap<>();

    /** @param poolers names of all, which may still grow */
    Drains(Collection<String> poolers, Timing timing) {
        this.poolers = poolers;
        this.timing = timing;
    }

    /** Discovery has been told that a db node drains; whether that is news. */
    synchronized boolean begun(String node, long at) {
        boolean first = depths.merge(node, 1, Integer::sum) == 1;
        if (first) {
            Map<String, DrainNotice> notices = new TreeMap<>();
            poolers.forEach(p -> notices.put(p, new DrainNotice(at, silentSince.getOrDefault(p, DrainNotice.NEVER))));
            open.put(node, notices);
        }
        return first;
    }

    /** A step that held a db node in its drain is over; whether that was the last one, so that the drain has ended. */
    synchronized boolean ended(String node, long at) {
        boolean last = depths.merge(node, -1, Integer::sum) == 0;
        if (last) {
            open.remove(node)
                    .forEach((pooler, notice) -> notice.ended(at).forEach(told -> timing.drained(pooler, node, told)));
        }
        return last;
    }

    /** Discovery wrote to a pooler that these db nodes drain, on a call that was open. */
    synchronized void answered(String pooler, List<String> draining, long at) {
        for (String node : draining) {
            Map<String, DrainNotice> notices = open.get(node);
            if (notices != null) {
                notices.get(pooler).answered(at);
            }
        }
    }

    /** A pooler's watch was answered: one that fell silent before has its successor. */
    synchronized void watched(String pooler) {
        silentSince.remove(pooler);
    }

    /** A pooler's open watches say nothing more. */
    synchronized void fellSilent(String pooler, long at) {
        silentSince.putIfAbsent(pooler, at);
    }

    /** A pooler's process was started; a watch that had fallen silent ended with the one before. */
    synchronized void started(String pooler, long at) {
        silentSince.remove(pooler);
        open.values().forEach(notices -> notices.get(pooler).started(at));
    }
}
