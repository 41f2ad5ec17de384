package lupinvalve.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Computes how soon acknowledged changes were in force at each pooler, and checks that each pooler without a change
 * after the time limit had lost the right to act. Without I/O.
 */
final class InForce {
    private static final int MAX_FINDINGS = 20;

    /** A change that the group acknowledged, and when, in nanoseconds of the monotonic clock. */
    record Acknowledged(long revision, long atNanos) {}

    /**
     * Result over all poolers and changes.
     *
     * @param latencyMicros microseconds from acknowledgement to in force, over the pairs of a change and a pooler that
     *     ran and had the right to act during that time
     * @param fenced pairs in which the pooler had lost the right to act before the change was in force
     * @param unfencedLate pairs in which the pooler acted on an older version after the limit
     * @param unleasedOldNanos total time in which poolers acted on an older version after the limit
     */
    record Verdict(
            Histogram latencyMicros, long fenced, long unfencedLate, long unleasedOldNanos, List<String> findings) {}

    private final Histogram latencyMicros = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
    private final List<String> findings = new ArrayList<>();
    private final long limitNanos;
    private long fenced;
    private long unfencedLate;
    private long unleasedOldNanos;

    private InForce(long limitMillis) {
        limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    /**
     * Checks every pooler against every change.
     *
     * @param endNanos end of the observation; later times are ignored
     */
    static Verdict evaluate(
            Collection<Acknowledged> changes, Map<String, PoolerTimeline> poolers, long limitMillis, long endNanos) {
        InForce evaluator = new InForce(limitMillis);
        TreeMap<Long, Acknowledged> changesByTime = new TreeMap<>();
        changes.forEach(change -> changesByTime.put(change.atNanos(), change));
        poolers.forEach((name, timeline) -> {
            changesByTime.values().forEach(change -> evaluator.checkPair(name, timeline.intervals(), change, endNanos));
            evaluator.addTimeOnOldVersion(timeline.intervals(), changesByTime, endNanos);
        });
        return new Verdict(
                evaluator.latencyMicros,
                evaluator.fenced,
                evaluator.unfencedLate,
                evaluator.unleasedOldNanos,
                evaluator.findings);
    }

    private void checkPair(String name, List<PoolerTimeline.Interval> intervals, Acknowledged change, long endNanos) {
        long acknowledgedNanos = change.atNanos();
        boolean ranThroughout = false;
        boolean hadRightThroughout = true;
        boolean late = false;
        long inForceNanos = -1;
        for (PoolerTimeline.Interval interval : intervals) {
            if (interval.toNanos() <= acknowledgedNanos || interval.fromNanos() >= endNanos) {
                continue;
            }
            ranThroughout = interval.fromNanos() <= acknowledgedNanos
                    ? interval.running()
                    : ranThroughout && interval.running();
            boolean current = interval.revision() >= change.revision();
            late = late
                    || interval.running()
                            && interval.mayAct()
                            && !current
                            && Math.min(interval.toNanos(), endNanos) > acknowledgedNanos + limitNanos;
            hadRightThroughout = hadRightThroughout && (current || interval.mayAct());
            if (ranThroughout && current) {
                inForceNanos = Math.max(interval.fromNanos(), acknowledgedNanos);
                break;
            }
        }
        if (late) {
            unfencedLate++;
            addFinding(name + " acted on an older version than " + change.revision() + " after the limit");
        }
        if (ranThroughout && !hadRightThroughout) {
            fenced++;
        } else if (ranThroughout && inForceNanos >= 0) {
            latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(inForceNanos - acknowledgedNanos));
        } else if (ranThroughout && endNanos - acknowledgedNanos > limitNanos) {
            addFinding(name + " never came to " + change.revision() + " before the end");
        }
    }

    /** Adds the time in which a pooler acted on a version that a change had replaced longer ago than the limit. */
    private void addTimeOnOldVersion(
            List<PoolerTimeline.Interval> intervals, TreeMap<Long, Acknowledged> changes, long endNanos) {
        for (PoolerTimeline.Interval interval : intervals) {
            if (interval.running() && interval.mayAct()) {
                Acknowledged replaced = changes.values().stream()
                        .filter(change -> change.revision() > interval.revision())
                        .findFirst()
                        .orElse(null);
                long fromNanos =
                        replaced == null ? endNanos : Math.max(interval.fromNanos(), replaced.atNanos() + limitNanos);
                unleasedOldNanos += Math.max(0, Math.min(interval.toNanos(), endNanos) - fromNanos);
            }
        }
    }

    private void addFinding(String finding) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add(finding);
        }
    }
}
