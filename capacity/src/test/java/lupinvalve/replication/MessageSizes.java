package lupinvalve.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.audit.AuditEntry;
import lupinvalve.routing.EndpointState;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.subscription.WatchRequest;
import lupinvalve.subscription.WatchResponse;

/**
 * What the program's own encoders make of messages as a group of hundreds would send them, in bytes above TCP without
 * TLS.
 */
public final class MessageSizes {
    private static final String NAME = "pooler-0417";
    private static final long NOW = 1_796_169_600_000_000L;
    private static final long INDEX = 1_250_000;
    private static final long QUERY = 3_400_000;
    private static final long REVISION = 3800;
    private static final int TERM = 7;
    private static final int MANY = 1000;

    private MessageSizes() {}

    private static MemberEndpoint sender() {
        return new MemberEndpoint(new MemberId(NAME, SegmentedLog.newDiskId()));
    }

    private static int sent(RaftMessage message) {
        return WireMessages.message(WireMessages.Kind.RAFT, RaftCodec.write(message)).length;
    }

    /** A leader's word without changes. */
    public static int heartbeat() {
        var message = RaftCodec.FACTORY.createAppendEntriesRequestBuilder();
        message.setGroupId(RaftReplica.GROUP).setSender(sender()).setTerm(TERM);
        message.setPreviousLogTerm(TERM)
                .setPreviousLogIndex(INDEX)
                .setCommitIndex(INDEX)
                .setQuerySequenceNumber(QUERY)
                .setFlowControlSequenceNumber(QUERY)
                .setLogEntries(List.of());
        return sent(message.build());
    }

    /** A follower's answer to it. */
    public static int heartbeatAnswer() {
        var message = RaftCodec.FACTORY.createAppendEntriesSuccessResponseBuilder();
        message.setGroupId(RaftReplica.GROUP).setSender(sender()).setTerm(TERM);
        return sent(message.setLastLogIndex(INDEX)
                .setQuerySequenceNumber(QUERY)
                .setFlowControlSequenceNumber(QUERY)
                .build());
    }

    /** A call for a lease. */
    public static int leaseCall() {
        return new WireMessages.Request(
                        INDEX,
                        "lease",
                        List.of(NAME.getBytes(UTF_8), Long.toString(INDEX).getBytes(UTF_8), new byte[0]))
                .write()
                .length;
    }

    /** What a lease is answered. */
    public static int leaseAnswer() {
        return new WireMessages.Response(INDEX, WireMessages.Status.OK, "2000000").write().length;
    }

    /** A subscriber's request, where it has all. */
    public static int follow() {
        String digest = "0011223344556677";
        byte[] request =
                new WatchRequest(WatchRequest.VERSION, INDEX, REVISION, digest, digest, true, false, "").write();
        return new WireMessages.Request(INDEX, SubscriptionServer.CALL, List.of(request)).write().length;
    }

    /** What that is answered where there is nothing new: a lease. */
    public static int followAnswer() {
        byte[] content =
                new WatchResponse(2_000_000, 500_000, "", INDEX, 0, new WatchResponse.Event.Unchanged(), null).write();
        return new WireMessages.Response(INDEX, WireMessages.Status.OK, "", content).write().length;
    }

    /** One session's commit, by what a thousand of them take. */
    public static int commit() {
        Map<String, Long> positions = new HashMap<>();
        for (int i = 0; i < MANY; i++) {
            positions.put("session-" + (1_000_000 + i), NOW + i);
        }
        return CommandCodec.encode(new Command.SessionCommits(NOW, positions)).length / MANY;
    }

    /** The two entries that a member notes for one configuration. */
    public static int noted() {
        String version = "3800-0011223344556677";
        AuditEntry adopted = new AuditEntry(
                NAME,
                NOW,
                17,
                AuditEntry.Event.ADOPTED,
                version,
                INDEX,
                NOW,
                20_000,
                "",
                "00112233445566778899aabbccddeeff");
        AuditEntry ceased = new AuditEntry(
                NAME, NOW, 18, AuditEntry.Event.CEASED_OTHERS, version, INDEX, NOW, 20_000, "", adopted.digest());
        return CommandCodec.encode(new Command.AppendAudit(NAME, NOW, 17, List.of(adopted.encode(), ceased.encode())))
                .length;
    }

    /** One db node in the group's list, by what a thousand take. */
    public static int listed() {
        List<Command.KnownEndpoint> nodes = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            lupinvalve.routing.Endpoint member = new lupinvalve.routing.Endpoint(
                    "node-" + (1000 + i), i / 6, i % 7, EndpointState.LIVE, i % 6 == 0, NOW);
            nodes.add(new Command.KnownEndpoint(member, Map.of("pg", "10.17.3." + i % 250 + ":5432"), NOW));
        }
        return CommandCodec.encode(new Command.EndpointList(NOW, nodes)).length / MANY;
    }

    /** A word that only says that the connection stands. */
    public static int beat() {
        return WireMessages.message(WireMessages.Kind.HEARTBEAT, new byte[0]).length;
    }
}
