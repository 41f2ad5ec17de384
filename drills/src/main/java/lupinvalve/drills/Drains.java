package lupinvalve.drills;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records all drains of a drill and when each pooler was notified of them, and passes each drain to {@link Timing} once
 * it has ended. Overlapping drains of one db node count as one. Does no I/O; times are in milliseconds of one clock.
 * Safe for concurrent use.
 */
final class Drains {
    private final Collection<String> poolers;
    private final Timing timing;
    /** How many steps of the scenario drain a db node now, by db node. */
    private final Map<String, Integer> activeSteps = new HashMap<>();
    /** Notices of the drains that have not ended, by db node, then by pooler. */
    private final Map<String, Map<String, DrainNotice>> openNotices = new TreeMap<>();

    private final Map<String, Long> silentSince = new HashMap<>();

    /** @param poolers names of all poolers, read whenever a drain begins */
    Drains(Collection<String> poolers, Timing timing) {
        this.poolers = poolers;
        this.timing = timing;
    }

    /** A step begins to drain a db node; returns whether it was not draining before. */
    synchronized boolean drainBegan(String node, long at) {
        boolean first = activeSteps.merge(node, 1, Integer::sum) == 1;
        if (first) {
            Map<String, DrainNotice> notices = new TreeMap<>();
            poolers.forEach(pooler ->
                    notices.put(pooler, new DrainNotice(at, silentSince.getOrDefault(pooler, DrainNotice.NEVER))));
            openNotices.put(node, notices);
        }
        return first;
    }

    /** A step that drained a db node is over; returns whether it was the last one, so that the drain has ended. */
    synchronized boolean drainEnded(String node, long at) {
        boolean last = activeSteps.merge(node, -1, Integer::sum) == 0;
        if (last) {
            openNotices.remove(node).forEach((pooler, notice) -> notice.ended(at)
                    .forEach(period -> timing.drained(pooler, node, period)));
        }
        return last;
    }

    /** Discovery wrote to a pooler that these db nodes drain, on a call that the pooler had not closed. */
    synchronized void answered(String pooler, List<String> draining, long at) {
        for (String node : draining) {
            Map<String, DrainNotice> notices = openNotices.get(node);
            if (notices != null) {
                notices.get(pooler).answered(at);
            }
        }
    }

    /** A new watch of the pooler was answered and replaces one that fell silent before. */
    synchronized void watchAnswered(String pooler) {
        silentSince.remove(pooler);
    }

    /** From now on nothing more is written to the pooler's open watches. */
    synchronized void watchFellSilent(String pooler, long at) {
        silentSince.putIfAbsent(pooler, at);
    }

    /** A pooler's process was started; a silent watch of the previous process has ended with it. */
    synchronized void poolerStarted(String pooler, long at) {
        silentSince.remove(pooler);
        openNotices.values().forEach(notices -> notices.get(pooler).started(at));
    }
}
