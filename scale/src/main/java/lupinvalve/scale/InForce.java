package lupinvalve.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Judges how soon acknowledged changes were in force at each pooler, and whether whoever lacked one in time had lost
 * the right to act. Without I/O.
 */
final class InForce {
    private static final int FINDINGS_MOST = 20;

    /** A change that the group has acknowledged. */
    record Acknowledged(long revision, long atNanos) {}

    /**
     * What came out.
     *
     * @param latencies microseconds from acknowledged to in force, of pairs of a change and a pooler that ran and might
     *     act throughout
     * @param fenced pairs in which the pooler had lost the right to act before the change was in force
     * @param unfencedLate pairs in which it acted on an older version after the limit
     * @param unleasedOldNanos how long poolers did that, in all
     */
    record Verdict(Histogram latencies, long fenced, long unfencedLate, long unleasedOldNanos, List<String> findings) {}

    private final Histogram latencies = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
    private final List<String> findings = new ArrayList<>();
    private final long limitNanos;
    private long fenced;
    private long unfencedLate;
    private long unleasedOldNanos;

    private InForce(long limitMillis) {
        limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    /**
     * Judges all poolers by all changes.
     *
     * @param endNanos what comes later is not looked at
     */
    static Verdict judge(
            Collection<Acknowledged> changes, Map<String, PoolerCourse> poolers, long limitMillis, long endNanos) {
        InForce judge = new InForce(limitMillis);
        TreeMap<Long, Acknowledged> inOrder = new TreeMap<>();
        changes.forEach(one -> inOrder.put(one.atNanos(), one));
        poolers.forEach((name, course) -> {
            inOrder.values().forEach(change -> judge.pair(name, course.stretches(), change, endNanos));
            judge.old(course.stretches(), inOrder, endNanos);
        });
        return new Verdict(judge.latencies, judge.fenced, judge.unfencedLate, judge.unleasedOldNanos, judge.findings);
    }

    private void pair(String name, List<PoolerCourse.Stretch> stretches, Acknowledged change, long end) {
        long acknowledged = change.atNanos();
        boolean throughout = false;
        boolean mightThroughout = true;
        boolean late = false;
        long inForce = -1;
        for (PoolerCourse.Stretch one : stretches) {
            if (one.to() <= acknowledged || one.from() >= end) {
                continue;
            }
            throughout = one.from() <= acknowledged ? one.alive() : throughout && one.alive();
            boolean current = one.revision() >= change.revision();
            late = late || one.alive() && one.may() && !current && Math.min(one.to(), end) > acknowledged + limitNanos;
            mightThroughout = mightThroughout && (current || one.may());
            if (throughout && current) {
                inForce = Math.max(one.from(), acknowledged);
                break;
            }
        }
        if (late) {
            unfencedLate++;
            note(name + " acted on an older version than " + change.revision() + " after the limit");
        }
        if (throughout && !mightThroughout) {
            fenced++;
        } else if (throughout && inForce >= 0) {
            latencies.recordValue(TimeUnit.NANOSECONDS.toMicros(inForce - acknowledged));
        } else if (throughout && end - acknowledged > limitNanos) {
            note(name + " never came to " + change.revision() + " before the end");
        }
    }

    /** How long a pooler acted on what a change had replaced longer than the limit ago. */
    private void old(List<PoolerCourse.Stretch> stretches, TreeMap<Long, Acknowledged> changes, long end) {
        for (PoolerCourse.Stretch one : stretches) {
            if (one.alive() && one.may()) {
                Acknowledged replaced = changes.values().stream()
                        .filter(c -> c.revision() > one.revision())
                        .findFirst()
                        .orElse(null);
                long from = replaced == null ? end : Math.max(one.from(), replaced.atNanos() + limitNanos);
                unleasedOldNanos += Math.max(0, Math.min(one.to(), end) - from);
            }
        }
    }

    private void note(String what) {
        if (findings.size() < FINDINGS_MOST) {
            findings.add(what);
        }
    }
}
