package lupinvalve.replication;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.Lease;
import lupinvalve.audit.LeaseManager;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/**
 * The lease that allows this member's pooler to serve: renews it, and records in the audit log which configuration the
 * pooler serves with and when it is fenced. On the group's thread, except {@link #mayServe}.
 */
final class LeaseHolder {
    /** Interval between requests after a denial, or while less than half of the lease's duration is left. */
    private static final long RETRY_INTERVAL_MICROS = 100_000;

    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    /** The member that the lease belongs to. */
    interface Host {
        /** This member's replica, or null until the member's bootstrap is over. */
        RaftReplica replica();

        /** The leader according to this member's Raft state, or null if it knows none. */
        MemberId leader();

        /** Runs {@code callback} on the group's thread when the pooler has applied all earlier notifications. */
        void runAfterApplied(Runnable callback);

        /** Why the pooler can't apply the committed configuration, or empty. */
        String cannotServeReason();

        /** Sends a request to another member; there is always a response, at the latest after the timeout. */
        void call(
                MemberId member,
                String name,
                List<byte[]> arguments,
                long timeoutMicros,
                Consumer<WireMessages.Response> callback);

        /** Proposes a command; {@code callback} gets whether it is known to be committed. */
        void propose(Command command, Consumer<Boolean> callback);

        /** Log index of the last change of configuration or drains applied here. */
        long lastChangeIndex();

        /** Log index up to which all subscribers with a lease of this member have applied all changes. */
        long subscribersIndex();

        /**
         * This member was granted a lease.
         *
         * @param untilMicros when the lease ends, by {@link LeaseHolder#monotonicMicros}
         * @param leaderLastChangeIndex log index of the last change of configuration or drains that the leader had
         *     applied when it granted the lease
         */
        void onLeaseGranted(long untilMicros, long leaderLastChangeIndex);
    }

    private final Host host;
    private final String name;
    private final boolean fencingEnabled;
    private final AuditLog auditLog;
    private final AuditDelivery delivery;
    private final LeaseGrantor grantor = new LeaseGrantor();
    private final Lease lease;
    private long servedIndex;
    private long lastRequestMicros;
    private boolean fenced;
    /** The leader whose response to a lease request is awaited, or null. */
    private MemberId awaitedLeader;

    private String version = "";
    private String denialReason = "";

    LeaseHolder(Host host, String name, boolean fencingEnabled, Disk disk, long incarnationMicros) throws IOException {
        this.host = host;
        this.name = name;
        this.fencingEnabled = fencingEnabled;
        auditLog = new AuditLog(disk, name, incarnationMicros);
        delivery = new AuditDelivery(auditLog, host::propose);
        lease = new Lease(monotonicMicros());
        fenced = fencingEnabled;
        auditLog.append(AuditEntry.Event.STARTED, "", 0, incarnationMicros, "");
        if (fencingEnabled) {
            auditLog.append(AuditEntry.Event.FENCED, "", 0, incarnationMicros, "no lease yet");
        }
    }

    /** The time of a monotonic clock, in microseconds; all lease times are of this clock. */
    static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** The name of a configuration in audit entries: its revision and digest. */
    static String versionOf(ReplicatedState.Document document) {
        return document.revision() + "-" + document.digest();
    }

    /** Whether the pooler may serve now; from any thread. */
    boolean mayServe() {
        return !fencingEnabled || lease.isValid(monotonicMicros());
    }

    /** Grants the leases while this member leads. */
    LeaseGrantor grantor() {
        return grantor;
    }

    /** Remaining time of the lease in microseconds; 0 if it has ended. */
    long remainingMicros() {
        return Math.max(0, lease.untilMicros() - monotonicMicros());
    }

    /** Why the leader has denied a lease; empty after a grant. */
    String denialReason() {
        return denialReason;
    }

    /** Log index up to which the pooler has applied all changes. */
    long servedIndex() {
        return servedIndex;
    }

    // ---- audit entries; times are Unix times in microseconds ----

    /** Records durably that a version is about to be applied; if false, the disk failed and it must not be applied. */
    boolean onAdopting(String newVersion, long index, long nowMicros) {
        recordFencing(nowMicros);
        return recordEvent(AuditEntry.Event.ADOPTED, newVersion, index, nowMicros, "");
    }

    /** Records that the pooler now serves with this version only. */
    void onAdopted(String newVersion, long index, long nowMicros) {
        recordFencing(nowMicros);
        version = newVersion;
        recordEvent(AuditEntry.Event.CEASED_OTHERS, newVersion, index, nowMicros, "");
    }

    /** Records that the pooler can't apply a committed version. */
    void onRejected(String newVersion, long index, long nowMicros, String reason) {
        recordEvent(AuditEntry.Event.REFUSED, newVersion, index, nowMicros, reason);
    }

    /** Records that contact with a majority was lost, or is established again. */
    void onQuorumContact(boolean inContact, long nowMicros) {
        recordEvent(inContact ? AuditEntry.Event.BACK : AuditEntry.Event.CUT_OFF, version, servedIndex, nowMicros, "");
    }

    /** Records the end of the process and closes the audit log; nothing may be recorded afterwards. */
    void close(long nowMicros) {
        recordEvent(AuditEntry.Event.ENDED, version, servedIndex, nowMicros, "");
        auditLog.close();
    }

    private boolean recordEvent(
            AuditEntry.Event event, String entryVersion, long index, long nowMicros, String reason) {
        try {
            auditLog.append(event, entryVersion, index, nowMicros, reason);
            return true;
        } catch (IOException e) {
            Log.error("store: cannot write audit entry %s, change %s: %s", event.text(), index, e.getMessage());
            return false;
        }
    }

    /**
     * Records that the lease has ended, with the time at which it did, or that it is valid again. Called before other
     * entries are recorded, since a process that was paused handles many events at once when it resumes.
     */
    private void recordFencing(long nowMicros) {
        long monotonicMicros = monotonicMicros();
        if (fencingEnabled && fenced == lease.isValid(monotonicMicros)) {
            fenced = !fenced;
            recordEvent(
                    fenced ? AuditEntry.Event.FENCED : AuditEntry.Event.RETURNED,
                    version,
                    servedIndex,
                    fenced ? nowMicros - (monotonicMicros - lease.untilMicros()) : nowMicros,
                    fenced ? denialReason : "");
        }
    }

    // ---- the lease ----

    /** To be called every 100 ms. */
    void tick(boolean isLeader, long nowMicros) {
        long monotonicMicros = monotonicMicros();
        RaftReplica replica = host.replica();
        grantor.tick(isLeader, replica, monotonicMicros);
        if (replica != null) {
            long appliedIndex = replica.state().appliedIndex();
            host.runAfterApplied(() -> servedIndex = Math.max(servedIndex, appliedIndex));
        }
        renew(isLeader, monotonicMicros);
        recordFencing(nowMicros);
        delivery.tick(host.leader() != null, monotonicMicros);
    }

    private boolean renewalDue(long nowMicros) {
        boolean hasHalfLeft = lease.untilMicros() - nowMicros > Lease.DURATION_MICROS / 2;
        return nowMicros - lastRequestMicros >= (hasHalfLeft ? Lease.RENEW_INTERVAL_MICROS : RETRY_INTERVAL_MICROS);
    }

    private void renew(boolean isLeader, long nowMicros) {
        MemberId leader = host.leader();
        if (leader == null || leader.equals(awaitedLeader) || !renewalDue(nowMicros)) {
            return;
        }
        lastRequestMicros = nowMicros;
        if (isLeader) {
            LeaseManager.Renewal renewal =
                    grantor.grant(name, servedIndex, host.cannotServeReason(), host.subscribersIndex());
            onRenewal(renewal, nowMicros, OptionalLong.of(host.lastChangeIndex()));
            return;
        }
        awaitedLeader = leader;
        List<byte[]> arguments = List.of(
                bytes(name),
                bytes(Long.toString(servedIndex)),
                bytes(host.cannotServeReason()),
                bytes(Long.toString(host.subscribersIndex())));
        host.call(leader, RequestHandler.LEASE, arguments, REQUEST_TIMEOUT_MICROS, response -> {
            // May be late, from a member that no longer leads; a lease that it granted still counts from the request.
            awaitedLeader = leader.equals(awaitedLeader) ? null : awaitedLeader;
            onResponse(response, nowMicros);
        });
    }

    private void onResponse(WireMessages.Response response, long requestMicros) {
        if (response.status() == WireMessages.Status.OK) {
            long durationMicros = Long.parseLong(response.text());
            onRenewal(new LeaseManager.Renewal(durationMicros, ""), requestMicros, leaderLastChangeIndex(response));
        } else if (response.status() == WireMessages.Status.REJECTED) {
            onRenewal(new LeaseManager.Renewal(0, response.text()), requestMicros, OptionalLong.empty());
        }
    }

    /** Empty from a leader of an earlier version, which does not send it: subscribers then get no leases. */
    private static OptionalLong leaderLastChangeIndex(WireMessages.Response response) {
        if (response.content().length == 0) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(new Cbor.Reader(response.content()).number());
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    private void onRenewal(LeaseManager.Renewal renewal, long requestMicros, OptionalLong leaderLastChangeIndex) {
        if (renewal.durationMicros() > 0) {
            lease.onGranted(requestMicros, renewal.durationMicros());
            if (leaderLastChangeIndex.isPresent()) {
                host.onLeaseGranted(
                        Lease.endMicros(requestMicros, renewal.durationMicros()), leaderLastChangeIndex.getAsLong());
            }
            denialReason = "";
        } else if (!renewal.reason().isEmpty()) {
            denialReason = renewal.reason();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
