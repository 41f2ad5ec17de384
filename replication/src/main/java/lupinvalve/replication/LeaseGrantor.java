package lupinvalve.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinvalve.audit.Lease;
import lupinvalve.audit.LeaseManager;

/**
 * Grants leases while this member leads: has a majority confirm the leadership periodically, and grants no lease that
 * lasts longer than the last confirmation allows. On the group's thread.
 */
final class LeaseGrantor {
    /** Interval at which the leader has a majority confirm that it still leads. */
    static final long CONFIRM_INTERVAL_MICROS = 100_000;

    /** Null if this member does not lead, or no majority has confirmed yet that it does. */
    private LeaseManager leases;

    private long lastConfirmRequestMicros;
    private long confirmedMicros;
    private boolean confirming;

    /** To be called every 100 ms; {@code replica} may be null if this member does not lead. */
    void tick(boolean isLeader, RaftReplica replica, long nowMicros) {
        if (!isLeader) {
            leases = null;
        } else if (!confirming && nowMicros - lastConfirmRequestMicros >= CONFIRM_INTERVAL_MICROS) {
            confirming = true;
            lastConfirmRequestMicros = nowMicros;
            replica.readBarrier((completion, ignored) -> {
                confirming = false;
                if (completion == RaftReplica.Completion.DONE) {
                    onConfirmed(replica, nowMicros);
                }
            });
        }
    }

    private void onConfirmed(RaftReplica replica, long requestedMicros) {
        confirmedMicros = requestedMicros;
        if (leases == null) {
            // The state now includes all changes that earlier leaders reported as completed.
            leases = new LeaseManager(
                    LeaseHolder.monotonicMicros(), replica.state().appliedIndex());
        }
    }

    /**
     * The response to a request for a lease. No lease outlasts {@link Lease#DURATION_MICROS} from the last confirmation
     * by a majority. A later leader waits for the longest time that such a lease can last by the later leader's clock,
     * counted from its own first confirmation; that follows its election, and so the last confirmation of this leader.
     *
     * @param servedIndex log index up to which the pooler has applied all changes
     * @param cannotServeReason why the pooler can't apply the committed configuration, or empty
     * @param subscribersIndex log index up to which all subscribers with a lease of that member have applied all
     *     changes
     */
    LeaseManager.Renewal grant(String pooler, long servedIndex, String cannotServeReason, long subscribersIndex) {
        long nowMicros = LeaseHolder.monotonicMicros();
        long remainingMicros = leases == null ? 0 : confirmedMicros + Lease.DURATION_MICROS - nowMicros;
        if (remainingMicros <= 0) {
            return new LeaseManager.Renewal(0, "");
        }
        LeaseManager.Renewal renewal =
                leases.renew(pooler, servedIndex, cannotServeReason, subscribersIndex, nowMicros);
        return renewal.durationMicros() == 0
                ? renewal
                : new LeaseManager.Renewal(Math.min(remainingMicros, renewal.durationMicros()), "");
    }

    /**
     * A strict change was committed at a log index: a pooler that has not applied it gets no lease once
     * {@link LeaseManager#CATCH_UP_MICROS} have passed, and none from now on if it cannot apply it or has no valid
     * lease.
     */
    void requireIndex(long index) {
        if (leases != null) {
            leases.requireIndex(index, LeaseHolder.monotonicMicros());
        }
    }

    /**
     * The poolers that may still serve with the configuration before a change; empty if this member no longer leads. A
     * lease counts as ended only if it had ended when a majority last confirmed this leader: a leader whose process was
     * paused does not know which leases a later leader has granted since.
     */
    Optional<List<String>> pendingPoolers(long index, List<String> poolers) {
        return Optional.ofNullable(leases).map(manager -> manager.pendingPoolers(index, poolers, confirmedMicros));
    }

    /** The poolers without a lease, each with the reason. */
    Map<String, String> excludedPoolers(List<String> poolers) {
        return leases == null ? Map.of() : leases.excludedPoolers(poolers, LeaseHolder.monotonicMicros());
    }
}
