package lupinvalve.subscription;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import lupinvalve.audit.Lease;

/**
 * The leases that a member grants to its subscribers. A member grants no lease past the end of its own, and its own
 * lease comes with the log index that the leader had applied at the grant. So, at most one lease duration after a
 * majority has accepted a change, the member either knows the change or has no valid lease.
 *
 * <p>Times are of the member's monotonic clock, in microseconds. Confined to one thread.
 */
public final class SubscriberLeases {
    /**
     * Time that a subscriber with a lease may lag behind a change known to this member before its renewals are denied.
     */
    public static final long CATCH_UP_MICROS = 1_000_000;

    /**
     * The response to a request for a lease.
     *
     * @param durationMicros for which it is granted; 0 if it is denied
     * @param denial why it is denied, or empty
     */
    public record Grant(long durationMicros, String denial) {
        static Grant denied(String reason) {
            return new Grant(0, reason);
        }
    }

    /** A change that subscribers must apply, and the time since when this member knows it. */
    private record KnownChange(long index, long sinceMicros) {}

    private static final class SubscriberLease {
        private long untilMicros;
        private long appliedIndex;
    }

    private final Map<String, SubscriberLease> leases = new HashMap<>();
    /** Changes known to this member for less than {@link #CATCH_UP_MICROS}. */
    private final ArrayDeque<KnownChange> recentChanges = new ArrayDeque<>();

    /** Latest end of leases that this member granted before its start. */
    private final long previousIncarnationUntilMicros;

    private long newestIndex;
    /** Log index that a subscriber must have applied to renew a valid lease. */
    private long requiredIndex;

    private long ownLeaseUntilMicros = Long.MIN_VALUE;

    /**
     * Starts without leases.
     *
     * @param nowMicros the member's start; leases that it granted before are unknown, but may still be valid
     */
    public SubscriberLeases(long nowMicros) {
        previousIncarnationUntilMicros = nowMicros + (long) (Lease.DURATION_MICROS * (1 + Lease.MAX_CLOCK_DRIFT_RATIO));
    }

    /** Records a change that subscribers must apply: this member has applied it, or knows it from the leader. */
    public void onChange(long index, long nowMicros) {
        if (index > newestIndex) {
            newestIndex = index;
            recentChanges.addLast(new KnownChange(index, nowMicros));
        }
        advanceRequiredIndex(nowMicros);
    }

    /**
     * Handles that the member's own lease was granted.
     *
     * @param untilMicros end of the lease
     * @param leaderIndex the last change for subscribers that the leader had applied when it granted the lease
     */
    public void onOwnLease(long untilMicros, long leaderIndex, long nowMicros) {
        onChange(leaderIndex, nowMicros);
        ownLeaseUntilMicros = Math.max(ownLeaseUntilMicros, untilMicros);
    }

    /** Remaining time of the member's own lease; zero or negative if it has ended. */
    public long ownLeaseLeftMicros(long nowMicros) {
        return ownLeaseUntilMicros == Long.MIN_VALUE ? 0 : ownLeaseUntilMicros - nowMicros;
    }

    private void advanceRequiredIndex(long nowMicros) {
        while (!recentChanges.isEmpty() && nowMicros - recentChanges.peekFirst().sinceMicros() >= CATCH_UP_MICROS) {
            requiredIndex = Math.max(requiredIndex, recentChanges.removeFirst().index());
        }
    }

    /**
     * Handles a subscriber's request for a lease or its renewal.
     *
     * @param appliedIndex the log index up to which it has applied all changes
     * @param objection why it can't apply more, or empty
     */
    public Grant renew(String subscriber, long appliedIndex, String objection, long nowMicros) {
        long ownLeaseLeftMicros = ownLeaseLeftMicros(nowMicros);
        if (ownLeaseLeftMicros <= 0) {
            return Grant.denied("this member has no lease itself");
        }
        SubscriberLease lease = leases.computeIfAbsent(subscriber, name -> new SubscriberLease());
        // A strict change does not wait for a subscriber that has no lease here or whose restart lost applied changes.
        boolean renewal = nowMicros < lease.untilMicros && appliedIndex >= lease.appliedIndex;
        lease.appliedIndex = appliedIndex;
        if (renewal) {
            advanceRequiredIndex(nowMicros);
        }
        long minIndex = renewal ? requiredIndex : newestIndex;
        if (appliedIndex < minIndex) {
            return Grant.denied(
                    objection.isEmpty()
                            ? "acts on change " + appliedIndex + ", " + minIndex + " is wanted"
                            : objection);
        }
        long durationMicros = Math.min(Lease.DURATION_MICROS, ownLeaseLeftMicros);
        lease.untilMicros = Math.max(lease.untilMicros, nowMicros + durationMicros);
        return new Grant(durationMicros, "");
    }

    /** Whether a subscriber has no lease of this member and would be granted one now. */
    public boolean canAdmit(String subscriber, long appliedIndex, long nowMicros) {
        SubscriberLease lease = leases.get(subscriber);
        boolean hasLease = lease != null && nowMicros < lease.untilMicros;
        return !hasLease && ownLeaseLeftMicros(nowMicros) > 0 && appliedIndex >= newestIndex;
    }

    /**
     * The log index up to which all subscribers with a lease of this member have applied all changes: a strict change
     * beyond it is not done. 0 until the leases granted before this member's start have ended.
     *
     * @param appliedIndex the log index that the member itself has applied: subscribers that are admitted later must
     *     have applied it
     */
    public long appliedFloor(long appliedIndex, long nowMicros) {
        leases.values().removeIf(lease -> nowMicros >= lease.untilMicros);
        long floor = nowMicros < previousIncarnationUntilMicros ? 0 : appliedIndex;
        for (SubscriberLease lease : leases.values()) {
            floor = Math.min(floor, lease.appliedIndex);
        }
        return floor;
    }

    /** Number of subscribers that hold a lease granted by this member. */
    public int activeCount(long nowMicros) {
        return (int) leases.values().stream()
                .filter(lease -> nowMicros < lease.untilMicros)
                .count();
    }
}
