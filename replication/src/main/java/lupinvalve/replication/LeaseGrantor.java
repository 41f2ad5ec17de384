package lupinvalve.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinvalve.audit.Lease;
import lupinvalve.audit.LeaseManager;

/**
 * The leader's side of the leases: has a majority confirm that this member still leads, and grants leases within that.
 * On the group's thread.
 */
final class LeaseGrantor {
    /** How often the leader has a majority confirm that it still leads. */
    static final long CONFIRM_INTERVAL_MICROS = 100_000;

    /** Null where this member does not lead, or no majority has confirmed yet that it does. */
    private LeaseManager leases;

    private long confirmRequestedMicros;
    private long confirmedMicros;
    private boolean confirming;

    /** Called ten times a second; {@code replica} may be null where this member does not lead. */
    void tick(boolean leads, RaftReplica replica, long nowMicros) {
        if (!leads) {
            leases = null;
        } else if (!confirming && nowMicros - confirmRequestedMicros >= CONFIRM_INTERVAL_MICROS) {
            confirming = true;
            confirmRequestedMicros = nowMicros;
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
            // All that earlier leaders reported as done is in the state by now.
            leases = new LeaseManager(
                    LeaseHolder.monotonicMicros(), replica.state().appliedIndex());
        }
    }

    /**
     * The response to a request for a lease. Nothing is granted past what the leader could be sure of when a majority
     * last confirmed it: a later leader counts its own wait from its election, which came after that.
     *
     * @param servedIndex up to which log index the pooler serves
     * @param objection why the pooler can't serve on the committed configuration, or empty
     * @param followersIndex up to which log index all subscribers of that member serve
     */
    LeaseManager.Renewal grant(String pooler, long servedIndex, String objection, long followersIndex) {
        long nowMicros = LeaseHolder.monotonicMicros();
        long leftMicros = leases == null ? 0 : confirmedMicros + Lease.DURATION_MICROS - nowMicros;
        if (leftMicros <= 0) {
            return new LeaseManager.Renewal(0, "");
        }
        LeaseManager.Renewal renewal = leases.renew(pooler, servedIndex, objection, followersIndex, nowMicros);
        return renewal.durationMicros() == 0
                ? renewal
                : new LeaseManager.Renewal(Math.min(leftMicros, renewal.durationMicros()), "");
    }

    /** A strict change has been committed: from now on leases are for those alone that serve on it. */
    void requireIndex(long index) {
        if (leases != null) {
            leases.requireIndex(index, LeaseHolder.monotonicMicros());
        }
    }

    /**
     * Who may still serve on what held before a change; empty where this member leads no more. A lease counts as ended
     * only where it had when a majority last confirmed this leader: one that has stood still does not know what others
     * have granted since.
     */
    Optional<List<String>> pendingPoolers(long index, List<String> poolers) {
        return Optional.ofNullable(leases).map(granted -> granted.pendingPoolers(index, poolers, confirmedMicros));
    }

    /** Who has no lease, with reasons. */
    Map<String, String> excludedPoolers(List<String> poolers) {
        return leases == null ? Map.of() : leases.excludedPoolers(poolers, LeaseHolder.monotonicMicros());
    }
}
