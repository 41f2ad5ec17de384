package lupinvalve.subscription;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import lupinvalve.audit.Lease;

/**
 * The leases that a member grants to its subscribers. A member grants nothing past the end of its own lease, and that
 * comes with what the leader had applied when it granted it; so each change is known here, or the own lease has ended,
 * at most a lease's length after a majority accepted it.
 *
 * <p>Times are of the member's monotonic clock, in microseconds. One thread uses it.
 */
public final class SubscriberLeases {
    /**
     * For how long a subscriber with a lease may lag behind a change that is known here before it gets no further one.
     */
    public static final long CATCH_UP_MICROS = 1_000_000;

    /**
     * The response to a request for a lease.
     *
     * @param lengthMicros for how long it is granted; 0 if it is denied
     * @param denial why it is denied, or empty
     */
    public record Grant(long lengthMicros, String denial) {
        static Grant denied(String reason) {
            return new Grant(0, reason);
        }
    }

    /** A change that subscribers must apply, and since when it is known here. */
    private record KnownChange(long index, long sinceMicros) {}

    private static final class SubscriberLease {
        private long untilMicros;
        private long appliedIndex;
    }

    private final Map<String, SubscriberLease> leases = new HashMap<>();
    /** Changes that are known here for less than the time to catch up. */
    private final ArrayDeque<KnownChange> recentChanges = new ArrayDeque<>();

    private final long previousIncarnationUntilMicros;
    private long newestIndex;
    /** Subscribers with a lease must have applied the log up to here to renew it. */
    private long requiredIndex;

    private long ownLeaseUntilMicros = Long.MIN_VALUE;

    /**
     * Starts without leases.
     *
     * @param nowMicros the member's start: leases that it granted before are not known here, and may last for a while
     */
    public SubscriberLeases(long nowMicros) {
        previousIncarnationUntilMicros = nowMicros + (long) (Lease.DURATION_MICROS * (1 + Lease.MAX_CLOCK_DRIFT_RATIO));
    }

    /** There is a change that subscribers must apply: applied here, or known from the leader. */
    public void onChange(long index, long nowMicros) {
        if (index > newestIndex) {
            newestIndex = index;
            recentChanges.addLast(new KnownChange(index, nowMicros));
        }
        advanceRequiredIndex(nowMicros);
    }

    /**
     * The member's own lease has been granted.
     *
     * @param untilMicros when it ends
     * @param leaderIndex the last change for subscribers that the leader had applied when it granted the lease
     */
    public void onOwnLease(long untilMicros, long leaderIndex, long nowMicros) {
        onChange(leaderIndex, nowMicros);
        ownLeaseUntilMicros = Math.max(ownLeaseUntilMicros, untilMicros);
    }

    /** How long the own lease still lasts, in microseconds; not above 0 if it has ended. */
    public long ownLeaseLeftMicros(long nowMicros) {
        return ownLeaseUntilMicros == Long.MIN_VALUE ? 0 : ownLeaseUntilMicros - nowMicros;
    }

    private void advanceRequiredIndex(long nowMicros) {
        while (!recentChanges.isEmpty() && nowMicros - recentChanges.peekFirst().sinceMicros() >= CATCH_UP_MICROS) {
            requiredIndex = Math.max(requiredIndex, recentChanges.removeFirst().index());
        }
    }

    /**
     * A subscriber requests a lease or its renewal.
     *
     * @param appliedIndex the log index up to which it has applied everything
     * @param objection why it can't apply more, or empty
     */
    public Grant renew(String subscriber, long appliedIndex, String objection, long nowMicros) {
        long ownLeftMicros = ownLeaseLeftMicros(nowMicros);
        if (ownLeftMicros <= 0) {
            return Grant.denied("this member has no lease itself");
        }
        SubscriberLease lease = leases.computeIfAbsent(subscriber, name -> new SubscriberLease());
        // A strict change does not wait for a subscriber without a lease here, or for one that went back by a restart.
        boolean renewal = nowMicros < lease.untilMicros && appliedIndex >= lease.appliedIndex;
        lease.appliedIndex = appliedIndex;
        if (renewal) {
            advanceRequiredIndex(nowMicros);
        }
        long leastIndex = renewal ? requiredIndex : newestIndex;
        if (appliedIndex < leastIndex) {
            return Grant.denied(
                    objection.isEmpty()
                            ? "acts on change " + appliedIndex + ", " + leastIndex + " is wanted"
                            : objection);
        }
        long lengthMicros = Math.min(Lease.DURATION_MICROS, ownLeftMicros);
        lease.untilMicros = Math.max(lease.untilMicros, nowMicros + lengthMicros);
        return new Grant(lengthMicros, "");
    }

    /** Whether a subscriber that has no lease here would be granted one now. */
    public boolean canAdmit(String subscriber, long appliedIndex, long nowMicros) {
        SubscriberLease lease = leases.get(subscriber);
        boolean hasLease = lease != null && nowMicros < lease.untilMicros;
        return !hasLease && ownLeaseLeftMicros(nowMicros) > 0 && appliedIndex >= newestIndex;
    }

    /**
     * The log index up to which all subscribers with a lease of this member have applied everything: a strict change
     * beyond it is not done. 0 until the leases have ended that were granted before this member's start.
     *
     * @param appliedIndex what the member has applied itself: subscribers that come later must have applied that
     */
    public long appliedFloor(long appliedIndex, long nowMicros) {
        leases.values().removeIf(lease -> nowMicros >= lease.untilMicros);
        long floor = nowMicros < previousIncarnationUntilMicros ? 0 : appliedIndex;
        for (SubscriberLease lease : leases.values()) {
            floor = Math.min(floor, lease.appliedIndex);
        }
        return floor;
    }

    /** How many subscribers have a lease of this member. */
    public int activeCount(long nowMicros) {
        return (int) leases.values().stream()
                .filter(lease -> nowMicros < lease.untilMicros)
                .count();
    }
}
