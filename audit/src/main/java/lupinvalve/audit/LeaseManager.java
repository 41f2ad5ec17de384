package lupinvalve.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's side of leases: who may act, and on which log entries. A strict change is done once each pooler acts on
 * it or its lease has ended. A pooler that stays behind one is excluded: it gets no lease, with the reason; a minority
 * at most, as a quorum has committed the change. Lasts for one term. No I/O, not thread-safe; times are of the leader's
 * monotonic clock.
 */
public final class LeaseManager {
    /** How long a pooler may take to act on a strict change before it gets no further lease. */
    public static final long CATCH_UP_MICROS = 500_000;
    /** An excluded pooler gets a lease again once it has kept up for so long; doubled with each exclusion. */
    private static final long READMISSION_MICROS = 300_000;

    private static final long MAX_READMISSION_MICROS = 5_000_000;
    private static final int MAX_READMISSION_DOUBLINGS = 10;

    /** Before any time of the clock; differences to it don't overflow. */
    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    /** What is known of one pooler. */
    private static final class Holder {
        long untilMicros;
        /** Up to which log entry it acts. */
        long activeIndex;
        /** Up to which those act that hold a lease of it. */
        long followersIndex;
        /** Why it is excluded, or empty. */
        String excludedReason = "";

        int exclusionCount;
        boolean keepsUp;
        long keepsUpSinceMicros;

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
     * @param durationMicros 0 where it was not granted
     * @param reason why it was not granted, or empty
     */
    public record Renewal(long durationMicros, String reason) {
        private static Renewal rejected(String reason) {
            return new Renewal(0, reason);
        }
    }

    private final Map<String, Holder> holders = new HashMap<>();
    /** Until when leases of the leader before may be valid, which nobody here knows of. */
    private final long earlierLeasesUntilMicros;

    private long requiredIndex;
    private long requiredSinceMicros = LONG_AGO_MICROS;

    /**
     * From when this member leads on.
     *
     * @param committedIndex the last change that a leader before may have called done: nobody gets a lease for less
     */
    public LeaseManager(long nowMicros, long committedIndex) {
        earlierLeasesUntilMicros = nowMicros + withDrift(Lease.DURATION_MICROS);
        requiredIndex = committedIndex;
    }

    /** How long a lease may last by this clock. */
    private static long withDrift(long durationMicros) {
        return (long) (durationMicros * (1 + Lease.MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /** A strict change was committed: a pooler that acts on less gets no lease once it had time to catch up. */
    public void requireIndex(long index, long nowMicros) {
        if (index > requiredIndex) {
            requiredIndex = index;
            requiredSinceMicros = nowMicros;
        }
    }

    /**
     * A pooler requests a lease.
     *
     * @param activeIndex up to which log entry it acts
     * @param objection why it can't act on more, or empty
     */
    public Renewal renew(String pooler, long activeIndex, String objection, long nowMicros) {
        return renew(pooler, activeIndex, objection, Long.MAX_VALUE, nowMicros);
    }

    /**
     * The same for a pooler that has subscribers.
     *
     * @param followersIndex up to which log entry those act that hold a lease of its own; they are waited for, and
     *     don't exclude it
     */
    public Renewal renew(String pooler, long activeIndex, String objection, long followersIndex, long nowMicros) {
        Holder holder = holders.computeIfAbsent(pooler, name -> new Holder());
        holder.activeIndex = activeIndex;
        holder.followersIndex = followersIndex;
        if (isBehind(holder, objection, nowMicros)) {
            return exclude(holder, objection, nowMicros);
        }
        if (holder.isExcluded()) {
            if (!mayReturn(holder, nowMicros)) {
                return Renewal.rejected("was shut out (" + holder.excludedReason + ") and is watched for a while");
            }
            holder.excludedReason = "";
        }
        holder.untilMicros = Math.max(holder.untilMicros, nowMicros + withDrift(Lease.DURATION_MICROS));
        return new Renewal(Lease.DURATION_MICROS, "");
    }

    private boolean isBehind(Holder holder, String objection, long nowMicros) {
        // One without a lease may have been left out already when the change was called done.
        return holder.activeIndex < requiredIndex
                && (nowMicros - requiredSinceMicros > CATCH_UP_MICROS
                        || !objection.isEmpty()
                        || nowMicros >= holder.untilMicros);
    }

    private Renewal exclude(Holder holder, String objection, long nowMicros) {
        // One that has just started had no lease of late: it comes up to date, which is no exclusion to count.
        if (!holder.isExcluded() && holder.untilMicros > nowMicros - Lease.DURATION_MICROS) {
            holder.exclusionCount++;
        }
        holder.excludedReason = objection.isEmpty()
                ? "acts on change " + holder.activeIndex + ", " + requiredIndex + " is wanted"
                : objection;
        holder.keepsUp = false;
        return Renewal.rejected(holder.excludedReason);
    }

    /** Guards against a pooler that keeps up for a moment again and again. */
    private static boolean mayReturn(Holder holder, long nowMicros) {
        if (!holder.keepsUp) {
            holder.keepsUp = true;
            holder.keepsUpSinceMicros = nowMicros;
        }
        return holder.exclusionCount == 0 || nowMicros - holder.keepsUpSinceMicros >= holder.readmissionMicros();
    }

    private boolean mayAct(Holder holder, long nowMicros) {
        return nowMicros < Math.max(earlierLeasesUntilMicros, holder == null ? 0 : holder.untilMicros);
    }

    /** The poolers that must be waited for before a change is done: those that may act on less. */
    public List<String> pendingPoolers(long index, Collection<String> poolers, long nowMicros) {
        List<String> pending = new ArrayList<>();
        for (String pooler : poolers) {
            Holder holder = holders.get(pooler);
            if (mayAct(holder, nowMicros)
                    && (holder == null || Math.min(holder.activeIndex, holder.followersIndex) < index)) {
                pending.add(pooler);
            }
        }
        return pending;
    }

    /** The poolers that may not act now, each with the reason. */
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
