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
 * For how long this member may serve: renews its lease, and notes in the audit log what it serves on and when it may
 * not. On the group's thread but for {@link #mayServe}.
 */
final class LeaseHolder {
    /** How soon a lease is requested again that was not granted, or has less than half of its time left. */
    private static final long RETRY_INTERVAL_MICROS = 100_000;

    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    /** What it needs of the member that it belongs to. */
    interface Host {
        /** This member's part in the group, or null. */
        RaftReplica replica();

        /** The leader as far as is known here, or null. */
        MemberId leader();

        /** Runs work, on the group's thread, once the pooler has applied all that it was notified of so far. */
        void runAfterApplied(Runnable then);

        /** Why the pooler can't serve on the committed configuration, or empty. */
        String objection();

        /** Sends a request to another member; there is a response within the time in any case. */
        void call(
                MemberId member,
                String name,
                List<byte[]> arguments,
                long timeoutMicros,
                Consumer<WireMessages.Response> then);

        /** Proposes a command; {@code then} is told whether it was committed. */
        void propose(Command command, Consumer<Boolean> then);

        /** The last log index that matters to poolers, as applied here. */
        long relevantIndex();

        /** Up to which log index those serve that follow this member with leases of its own. */
        long followersIndex();

        /** This member holds a lease; at its grant the leader had applied a relevant change at that index. */
        void onLeaseGranted(long untilMicros, long leaderRelevantIndex);
    }

    private final Host host;
    private final String name;
    private final boolean fencingEnabled;
    private final AuditLog auditLog;
    private final AuditDelivery delivery;
    private final LeaseGrantor grantor = new LeaseGrantor();
    private final Lease lease;
    private long servedIndex;
    private long requestedMicros;
    private boolean fenced;
    /** The member whose response is awaited, or null. */
    private MemberId awaited;

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

    /** A clock that never jumps; leases are counted by it alone. */
    static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** How a document is named as a version. */
    static String versionOf(ReplicatedState.Document document) {
        return document.revision() + "-" + document.digest();
    }

    /** Whether the pooler may serve now; from any thread. */
    boolean mayServe() {
        return !fencingEnabled || lease.isValid(monotonicMicros());
    }

    /** The leases that this member grants while it leads. */
    LeaseGrantor grantor() {
        return grantor;
    }

    /** How much time the lease has left. */
    long remainingMicros() {
        return Math.max(0, lease.untilMicros() - monotonicMicros());
    }

    /** What the leader said where it last denied a lease, or empty. */
    String denialReason() {
        return denialReason;
    }

    /** Up to which log index the pooler serves. */
    long servedIndex() {
        return servedIndex;
    }

    // ---- audit entries; times are Unix times ----

    /** A version is about to be applied: noted and forced first. False where the disk failed: then it must not be. */
    boolean onAdopting(String next, long index, long nowMicros) {
        noteFencing(nowMicros);
        return note(AuditEntry.Event.ADOPTED, next, index, nowMicros, "");
    }

    /** The pooler serves on nothing but this version from now on. */
    void onAdopted(String next, long index, long nowMicros) {
        noteFencing(nowMicros);
        version = next;
        note(AuditEntry.Event.CEASED_OTHERS, next, index, nowMicros, "");
    }

    /** The pooler can't serve on a committed version. */
    void onRejected(String next, long index, long nowMicros, String reason) {
        note(AuditEntry.Event.REFUSED, next, index, nowMicros, reason);
    }

    /** Contact with a majority is lost, or there again. */
    void onQuorumContact(boolean inTouch, long nowMicros) {
        note(inTouch ? AuditEntry.Event.BACK : AuditEntry.Event.CUT_OFF, version, servedIndex, nowMicros, "");
    }

    /** The process ends; nothing may be noted afterwards. */
    void close(long nowMicros) {
        note(AuditEntry.Event.ENDED, version, servedIndex, nowMicros, "");
        auditLog.close();
    }

    private boolean note(AuditEntry.Event event, String of, long index, long nowMicros, String reason) {
        try {
            auditLog.append(event, of, index, nowMicros, reason);
            return true;
        } catch (IOException e) {
            Log.error("store: an audit entry can't be written: %s", e.getMessage());
            return false;
        }
    }

    /**
     * Notes that the lease has ended, at the time when it did, or that there is one again. Before anything else is
     * noted, as a process that stood still hears of many things at once when it wakes.
     */
    private void noteFencing(long nowMicros) {
        long monotonicMicros = monotonicMicros();
        if (fencingEnabled && fenced == lease.isValid(monotonicMicros)) {
            fenced = !fenced;
            note(
                    fenced ? AuditEntry.Event.FENCED : AuditEntry.Event.RETURNED,
                    version,
                    servedIndex,
                    fenced ? nowMicros - (monotonicMicros - lease.untilMicros()) : nowMicros,
                    fenced ? denialReason : "");
        }
    }

    // ---- the lease ----

    /** Called ten times a second. */
    void tick(boolean leads, long nowMicros) {
        long monotonicMicros = monotonicMicros();
        RaftReplica replica = host.replica();
        grantor.tick(leads, replica, monotonicMicros);
        if (replica != null) {
            long appliedIndex = replica.state().appliedIndex();
            host.runAfterApplied(() -> servedIndex = Math.max(servedIndex, appliedIndex));
        }
        renew(leads, monotonicMicros);
        noteFencing(nowMicros);
        delivery.tick(host.leader() != null, monotonicMicros);
    }

    private boolean renewalDue(long nowMicros) {
        boolean fresh = lease.untilMicros() - nowMicros > Lease.DURATION_MICROS / 2;
        return nowMicros - requestedMicros >= (fresh ? Lease.RENEW_INTERVAL_MICROS : RETRY_INTERVAL_MICROS);
    }

    private void renew(boolean leads, long nowMicros) {
        MemberId leader = host.leader();
        if (leader == null || leader.equals(awaited) || !renewalDue(nowMicros)) {
            return;
        }
        requestedMicros = nowMicros;
        if (leads) {
            LeaseManager.Renewal renewal = grantor.grant(name, servedIndex, host.objection(), host.followersIndex());
            onRenewal(renewal, nowMicros, OptionalLong.of(host.relevantIndex()));
            return;
        }
        awaited = leader;
        List<byte[]> arguments = List.of(
                bytes(name),
                bytes(Long.toString(servedIndex)),
                bytes(host.objection()),
                bytes(Long.toString(host.followersIndex())));
        host.call(leader, RequestHandler.LEASE, arguments, REQUEST_TIMEOUT_MICROS, response -> {
            // One who leads no more may answer late; what it granted still counts from the request.
            awaited = leader.equals(awaited) ? null : awaited;
            onResponse(response, nowMicros);
        });
    }

    private void onResponse(WireMessages.Response response, long requestMicros) {
        if (response.status() == WireMessages.Status.OK) {
            long durationMicros = Long.parseLong(response.text());
            onRenewal(new LeaseManager.Renewal(durationMicros, ""), requestMicros, leaderRelevantIndex(response));
        } else if (response.status() == WireMessages.Status.REJECTED) {
            onRenewal(new LeaseManager.Renewal(0, response.text()), requestMicros, OptionalLong.empty());
        }
    }

    /** A leader of an earlier version does not tell: then nothing can be granted to subscribers. */
    private static OptionalLong leaderRelevantIndex(WireMessages.Response response) {
        if (response.content().length == 0) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(new Cbor.Reader(response.content()).number());
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    private void onRenewal(LeaseManager.Renewal renewal, long requestMicros, OptionalLong leaderRelevantIndex) {
        if (renewal.durationMicros() > 0) {
            lease.onGranted(requestMicros, renewal.durationMicros());
            if (leaderRelevantIndex.isPresent()) {
                host.onLeaseGranted(
                        Lease.endMicros(requestMicros, renewal.durationMicros()), leaderRelevantIndex.getAsLong());
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
