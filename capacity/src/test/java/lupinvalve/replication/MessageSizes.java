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
 * Sizes of messages from the program's own encoders, with values typical of a group of hundreds, in bytes of TCP
 * payload without TLS.
 */
public final class MessageSizes {
    private static final String NAME = "pooler-0417";
    private static final long TIME_MICROS = 1_796_169_600_000_000L;
    private static final long LOG_INDEX = 1_250_000;
    private static final long QUERY_SEQUENCE_NUMBER = 3_400_000;
    private static final long REVISION = 3800;
    private static final int TERM = 7;
    private static final int BATCH_ENTRIES = 1000;

    private MessageSizes() {}

    private static MemberEndpoint sender() {
        return new MemberEndpoint(new MemberId(NAME, SegmentedLog.newDiskId()));
    }

    private static int encodedBytes(RaftMessage message) {
        return WireMessages.message(WireMessages.Kind.RAFT, RaftCodec.write(message)).length;
    }

    /** An append request of the leader without entries. */
    public static int heartbeat() {
        var message = RaftCodec.FACTORY.createAppendEntriesRequestBuilder();
        message.setGroupId(RaftReplica.GROUP).setSender(sender()).setTerm(TERM);
        message.setPreviousLogTerm(TERM)
                .setPreviousLogIndex(LOG_INDEX)
                .setCommitIndex(LOG_INDEX)
                .setQuerySequenceNumber(QUERY_SEQUENCE_NUMBER)
                .setFlowControlSequenceNumber(QUERY_SEQUENCE_NUMBER)
                .setLogEntries(List.of());
        return encodedBytes(message.build());
    }

    /** A follower's response to a heartbeat. */
    public static int heartbeatResponse() {
        var message = RaftCodec.FACTORY.createAppendEntriesSuccessResponseBuilder();
        message.setGroupId(RaftReplica.GROUP).setSender(sender()).setTerm(TERM);
        return encodedBytes(message.setLastLogIndex(LOG_INDEX)
                .setQuerySequenceNumber(QUERY_SEQUENCE_NUMBER)
                .setFlowControlSequenceNumber(QUERY_SEQUENCE_NUMBER)
                .build());
    }

    /** A request for a lease. */
    public static int leaseRequest() {
        return new WireMessages.Request(
                        LOG_INDEX,
                        "lease",
                        List.of(NAME.getBytes(UTF_8), Long.toString(LOG_INDEX).getBytes(UTF_8), new byte[0]))
                .write()
                .length;
    }

    /** The response to a request for a lease. */
    public static int leaseResponse() {
        return new WireMessages.Response(LOG_INDEX, WireMessages.Status.OK, "2000000").write().length;
    }

    /** The request of a subscriber that is up to date. */
    public static int watchRequest() {
        String digest = "0011223344556677";
        byte[] request =
                new WatchRequest(WatchRequest.VERSION, LOG_INDEX, REVISION, digest, digest, true, false, "").write();
        return new WireMessages.Request(LOG_INDEX, SubscriptionServer.CALL, List.of(request)).write().length;
    }

    /** The response to an up-to-date subscriber: a lease without a change. */
    public static int watchResponse() {
        byte[] content = new WatchResponse(
                        2_000_000, 500_000, "", LOG_INDEX, 0, new WatchResponse.Event.Unchanged(), null)
                .write();
        return new WireMessages.Response(LOG_INDEX, WireMessages.Status.OK, "", content).write().length;
    }

    /** One session's commit, as the average of a batch of 1,000. */
    public static int sessionCommit() {
        Map<String, Long> positions = new HashMap<>();
        for (int i = 0; i < BATCH_ENTRIES; i++) {
            positions.put("session-" + (1_000_000 + i), TIME_MICROS + i);
        }
        return CommandCodec.encode(new Command.SessionCommits(TIME_MICROS, positions)).length / BATCH_ENTRIES;
    }

    /** The two audit entries that a member records for one configuration. */
    public static int auditEntries() {
        String version = "3800-0011223344556677";
        AuditEntry adopted = new AuditEntry(
                NAME,
                TIME_MICROS,
                17,
                AuditEntry.Event.ADOPTED,
                version,
                LOG_INDEX,
                TIME_MICROS,
                20_000,
                "",
                "00112233445566778899aabbccddeeff");
        AuditEntry ceased = new AuditEntry(
                NAME,
                TIME_MICROS,
                18,
                AuditEntry.Event.CEASED_OTHERS,
                version,
                LOG_INDEX,
                TIME_MICROS,
                20_000,
                "",
                adopted.digest());
        return CommandCodec.encode(
                        new Command.AppendAudit(NAME, TIME_MICROS, 17, List.of(adopted.encode(), ceased.encode())))
                .length;
    }

    /** One db node in the group's list, as the average of 1,000. */
    public static int groupListEntry() {
        List<Command.KnownEndpoint> nodes = new ArrayList<>();
        for (int i = 0; i < BATCH_ENTRIES; i++) {
            lupinvalve.routing.Endpoint member = new lupinvalve.routing.Endpoint(
                    "node-" + (1000 + i), i / 6, i % 7, EndpointState.LIVE, i % 6 == 0, TIME_MICROS);
            nodes.add(new Command.KnownEndpoint(member, Map.of("pg", "10.17.3." + i % 250 + ":5432"), TIME_MICROS));
        }
        return CommandCodec.encode(new Command.EndpointList(TIME_MICROS, nodes)).length / BATCH_ENTRIES;
    }

    /** A message that only shows that the connection is alive. */
    public static int connectionHeartbeat() {
        return WireMessages.message(WireMessages.Kind.HEARTBEAT, new byte[0]).length;
    }
}
