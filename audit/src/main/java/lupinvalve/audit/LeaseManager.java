package lupinvalve.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's side of leases: which poolers may act, and which log index they must have applied. A strict change is
 * done once each pooler either has applied it or has no valid lease. A pooler that lags behind a strict change is
 * excluded: its requests are denied with the reason. At most a minority can be excluded, as a quorum has committed the
 * change. An instance serves for one term. No I/O, not thread-safe; times are of the leader's monotonic clock.
 */
public final class LeaseManager {
    /** Time that a pooler has to apply a strict change before its lease is no longer renewed. */
    public static final long CATCH_UP_MICROS = 500_000;
    /** An excluded pooler must keep up for this long before it gets a lease again; doubles with each exclusion. */
    private static final long READMISSION_MICROS = 300_000;

    private static final long MAX_READMISSION_MICROS = 5_000_000;
    private static final int MAX_READMISSION_DOUBLINGS = 10;

    /** Earlier than any time of the clock, but differences to it don't overflow. */
    private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 2;

    /** The state of one pooler. */
    private static final class Holder {
        long untilMicros;
        /** Log index up to which the pooler has applied changes. */
        long activeIndex;
        /** Log index up to which all holders of a lease granted by this pooler have applied changes. */
        long subscribersIndex;
        /** Why the pooler is excluded, or empty. */
        String excludedReason = "";

        int exclusionCount;
        boolean caughtUp;
        long caughtUpSinceMicros;

        boolean isExcluded() {
            return !excludedReason.isEmpty();
        }

        long readmissionMicros() {
            return Math.min(
                    MAX_READMISSION_MICROS, READMISSION_MICROS << Math.min(exclusionCount, MAX_READMISSION_DOUBLINGS));
        }
    }

    /**
     * The answer to a request for a lease.
     *
     * @param durationMicros for which it is granted; 0 if it is denied
     * @param reason why it is denied, or empty
     */
    public record Renewal(long durationMicros, String reason) {
        private static Renewal denied(String reason) {
            return new Renewal(0, reason);
        }
    }

    private final Map<String, Holder> holders = new HashMap<>();
    /** Latest end of leases that the previous leader may have granted; this leader has no record of them. */
    private final long earlierLeasesUntilMicros;

    private long requiredIndex;
    private long requiredSinceMicros = DISTANT_PAST_MICROS;

    /**
     * Creates the manager when this member becomes the leader.
     *
     * @param committedIndex the last change that a previous leader may have reported as done: a pooler that has not
     *     applied it gets no lease
     */
    public LeaseManager(long nowMicros, long committedIndex) {
        earlierLeasesUntilMicros = nowMicros + withMaxDrift(Lease.DURATION_MICROS);
        requiredIndex = committedIndex;
    }

    /** The longest time that a lease of this duration may last by the leader's clock. */
    private static long withMaxDrift(long durationMicros) {
        return (long) (durationMicros * (1 + Lease.MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /**
     * Records a committed strict change: a pooler that has not applied it within {@link #CATCH_UP_MICROS} gets no
     * lease.
     */
    public void requireIndex(long index, long nowMicros) {
        if (index > requiredIndex) {
            requiredIndex = index;
            requiredSinceMicros = nowMicros;
        }
    }

    /**
     * Handles a pooler's request for a lease.
     *
     * @param activeIndex log index up to which the pooler has applied changes
     * @param objection why it can't apply more, or empty
     */
    public Renewal renew(String pooler, long activeIndex, String objection, long nowMicros) {
        return renew(pooler, activeIndex, objection, Long.MAX_VALUE, nowMicros);
    }

    /**
     * Handles a request for a lease by a pooler that has subscribers.
     *
     * @param subscribersIndex log index up to which all holders of a lease granted by the pooler have applied changes;
     *     a strict change waits for them, but their lag does not exclude the pooler
     */
    public Renewal renew(String pooler, long activeIndex, String objection, long subscribersIndex, long nowMicros) {
        Holder holder = holders.computeIfAbsent(pooler, name -> new Holder());
        holder.activeIndex = activeIndex;
        holder.subscribersIndex = subscribersIndex;
        if (isBehind(holder, objection, nowMicros)) {
            return exclude(holder, objection, nowMicros);
        }
        if (holder.isExcluded()) {
            if (!isReadmissionDue(holder, nowMicros)) {
                return Renewal.denied("was shut out (" + holder.excludedReason + ") and is watched for a while");
            }
            holder.excludedReason = "";
        }
        holder.untilMicros = Math.max(holder.untilMicros, nowMicros + withMaxDrift(Lease.DURATION_MICROS));
        return new Renewal(Lease.DURATION_MICROS, "");
    }

    private boolean isBehind(Holder holder, String objection, long nowMicros) {
        // A pooler without a valid lease may already have been disregarded when the change was reported as done.
        return holder.activeIndex < requiredIndex
                && (nowMicros - requiredSinceMicros > CATCH_UP_MICROS
                        || !objection.isEmpty()
                        || nowMicros >= holder.untilMicros);
    }

    private Renewal exclude(Holder holder, String objection, long nowMicros) {
        // A pooler that has just started had no recent lease: it is catching up, which does not count as an exclusion.
        if (!holder.isExcluded() && holder.untilMicros > nowMicros - Lease.DURATION_MICROS) {
            holder.exclusionCount++;
        }
        holder.excludedReason = objection.isEmpty()
                ? "acts on change " + holder.activeIndex + ", " + requiredIndex + " is wanted"
                : objection;
        holder.caughtUp = false;
        return Renewal.denied(holder.excludedReason);
    }

    /** Keeps a pooler excluded that has repeatedly caught up for a short time only. */
    private static boolean isReadmissionDue(Holder holder, long nowMicros) {
        if (!holder.caughtUp) {
            holder.caughtUp = true;
            holder.caughtUpSinceMicros = nowMicros;
        }
        return holder.exclusionCount == 0 || nowMicros - holder.caughtUpSinceMicros >= holder.readmissionMicros();
    }

    private boolean mayAct(Holder holder, long nowMicros) {
        return nowMicros < Math.max(earlierLeasesUntilMicros, holder == null ? 0 : holder.untilMicros);
    }

    /** The poolers that a change waits for: those that may act and may not have applied it. */
    public List<String> pendingPoolers(long index, Collection<String> poolers, long nowMicros) {
        List<String> pending = new ArrayList<>();
        for (String pooler : poolers) {
            Holder holder = holders.get(pooler);
            if (mayAct(holder, nowMicros)
                    && (holder == null || Math.min(holder.activeIndex, holder.subscribersIndex) < index)) {
                pending.add(pooler);
            }
        }
        return pending;
    }

    /** The poolers that may not act now, with the reason for each. */
    public Map<String, String> excludedPoolers(Collection<String> poolers, long nowMicros) {
        Map<String, String> reasons = new TreeMap<>();
        for (String pooler : poolers) {
            Holder holder = holders.get(pooler);
            if (holder != null && holder.isExcluded()) {
                reasons.put(pooler, holder.excludedReason);
            } else if (!mayAct(holder, nowMicros)) {
                reasons.put(pooler, "not heard of, its lease has ended");
            }
        }
        return reasons;
    }
}
