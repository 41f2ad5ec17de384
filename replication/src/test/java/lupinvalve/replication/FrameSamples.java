package lupinvalve.replication;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import lupinvalve.audit.AuditEntry;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.LogPosition;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.statemachine.SnapshotCodec;
import lupinvalve.subscription.DocumentDelta;
import lupinvalve.subscription.WatchRequest;
import lupinvalve.subscription.WatchResponse;

/** Samples of each kind of message between members, by the name of the recorded frame that each one encodes to. */
final class FrameSamples {
    private static final long AT_MICROS = 1_796_169_600_000_000L;
    private static final int TERM = 7;
    private static final MemberId MEMBER_A = new MemberId("a", "00112233445566778899aabbccddeeff");
    private static final MemberId MEMBER_B = new MemberId("b", "disk-b");
    private static final MemberId MEMBER_C = new MemberId("c-\u00e4", "disk-c");
    private static final RaftEndpoint SENDER = new MemberEndpoint(MEMBER_A);
    private static final List<RaftEndpoint> MEMBERS =
            List.of(new MemberEndpoint(MEMBER_A), new MemberEndpoint(MEMBER_B), new MemberEndpoint(MEMBER_C));
    private static final List<RaftEndpoint> VOTERS = MEMBERS.subList(0, 2);
    private static final byte[] PREVIOUS_DOCUMENT = bytes("{\"pg\":{\"user\":\"x\"}}");
    private static final byte[] DOCUMENT = bytes("{\"pg\":{\"user\":\"y\",\"password\":\"\u00fc\"}}");

    private FrameSamples() {}

    /** A command that a member forwards to the leader. */
    record Proposal(long id, Command command) {}

    /** A subscriber's watch request. */
    record SubscriberRequest(long id, WatchRequest request) {}

    /** A member's response to a watch request. */
    record SubscriberResponse(long id, WatchResponse watchResponse) {}

    /** A heartbeat, which has no content. */
    record Heartbeat() {}

    static Map<String, Object> samples() {
        Map<String, Object> samples = new LinkedHashMap<>();
        hellos(samples);
        appendEntries(samples);
        snapshots(samples);
        elections(samples);
        proposals(samples);
        requests(samples);
        responses(samples);
        subscriptions(samples);
        samples.put("heartbeat", new Heartbeat());
        return samples;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void hellos(Map<String, Object> samples) {
        for (ClusterBootstrap.Phase phase : ClusterBootstrap.Phase.values()) {
            Set<MemberId> founders =
                    phase.equals(ClusterBootstrap.Phase.values()[0]) ? Set.of() : Set.of(MEMBER_A, MEMBER_B, MEMBER_C);
            samples.put(
                    "hello-phase-" + phase.ordinal(),
                    new WireMessages.Hello(
                            "plant",
                            "a",
                            "127.0.0.1:7001",
                            new ClusterBootstrap.Announcement(MEMBER_A, phase, founders)));
        }
        samples.put("hello-operator", new WireMessages.Hello("plant", "operator", "", null));
    }

    private static LogEntry entry(long index, Object operation) {
        return RaftCodec.FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(TERM - 1)
                .setOperation(operation)
                .build();
    }

    private static RaftMessage appendEntriesRequest(List<LogEntry> entries) {
        var builder = RaftCodec.FACTORY.createAppendEntriesRequestBuilder();
        builder.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        return builder.setPreviousLogTerm(TERM - 1)
                .setPreviousLogIndex(1_250_000)
                .setCommitIndex(1_249_998)
                .setQuerySequenceNumber(3_400_000)
                .setFlowControlSequenceNumber(12)
                .setLogEntries(entries)
                .build();
    }

    private static Object membershipOperation(MembershipChangeMode mode) {
        return RaftCodec.FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(MEMBERS)
                .setVotingMembers(VOTERS)
                .setEndpoint(new MemberEndpoint(MEMBER_C))
                .setMode(mode)
                .build();
    }

    private static void appendEntries(Map<String, Object> samples) {
        samples.put("raft-append-entries-empty", appendEntriesRequest(List.of()));
        samples.put(
                "raft-append-entries",
                appendEntriesRequest(List.of(
                        entry(1_250_001, CommandCodec.encode(new Command.NoOp())),
                        entry(1_250_002, CommandCodec.encode(new Command.PutDocument(1, DOCUMENT))))));
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            samples.put(
                    "raft-append-entries-" + mode.name().toLowerCase(Locale.ROOT),
                    appendEntriesRequest(List.of(entry(1_250_001, membershipOperation(mode)))));
        }
        var success = RaftCodec.FACTORY.createAppendEntriesSuccessResponseBuilder();
        success.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-append-entries-success",
                success.setLastLogIndex(1_250_002)
                        .setQuerySequenceNumber(3_400_000)
                        .setFlowControlSequenceNumber(12)
                        .build());
        var failure = RaftCodec.FACTORY.createAppendEntriesFailureResponseBuilder();
        failure.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-append-entries-failure",
                failure.setExpectedNextIndex(1_250_001)
                        .setQuerySequenceNumber(3_400_000)
                        .setFlowControlSequenceNumber(12)
                        .build());
    }

    private static RaftGroupMembersView view() {
        return RaftCodec.FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(900)
                .setMembers(MEMBERS)
                .setVotingMembers(VOTERS)
                .build();
    }

    private static SnapshotChunk chunk() {
        ReplicatedState state = new ReplicatedState();
        state.apply(1, new Command.PutDocument(0, DOCUMENT));
        state.apply(
                2, new Command.StartDrain(new Command.DrainTarget(Command.TargetKind.NODE, "db-7"), "disk", AT_MICROS));
        state.apply(3, new Command.SetMemberAddress("d", "127.0.0.1:7004"));
        state.apply(4, endpointList());
        return RaftCodec.FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(1_000)
                .setTerm(TERM - 2)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(2)
                .setGroupMembersView(view())
                .setOperation(SnapshotCodec.encode(state).get(0))
                .build();
    }

    private static RaftMessage installSnapshotRequest(SnapshotChunk chunk) {
        var builder = RaftCodec.FACTORY.createInstallSnapshotRequestBuilder();
        builder.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        return builder.setSenderLeader(chunk != null)
                .setSnapshotTerm(TERM - 2)
                .setSnapshotIndex(1_000)
                .setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(VOTERS)
                .setGroupMembersView(view())
                .setQuerySequenceNumber(3_400_001)
                .setFlowControlSequenceNumber(13)
                .build();
    }

    private static void snapshots(Map<String, Object> samples) {
        samples.put("raft-install-snapshot", installSnapshotRequest(chunk()));
        samples.put("raft-install-snapshot-without-chunk", installSnapshotRequest(null));
        var response = RaftCodec.FACTORY.createInstallSnapshotResponseBuilder();
        response.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-install-snapshot-response",
                response.setSnapshotIndex(1_000)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(3_400_001)
                        .setFlowControlSequenceNumber(13)
                        .build());
    }

    private static void elections(Map<String, Object> samples) {
        var preVote = RaftCodec.FACTORY.createPreVoteRequestBuilder();
        preVote.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-pre-vote",
                preVote.setLastLogTerm(TERM - 1).setLastLogIndex(1_250_002).build());
        var vote = RaftCodec.FACTORY.createVoteRequestBuilder();
        vote.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-vote",
                vote.setLastLogTerm(TERM - 1)
                        .setLastLogIndex(1_250_002)
                        .setSticky(true)
                        .build());
        for (boolean granted : List.of(true, false)) {
            String suffix = granted ? "granted" : "denied";
            var preVoteResponse = RaftCodec.FACTORY.createPreVoteResponseBuilder();
            preVoteResponse.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
            samples.put(
                    "raft-pre-vote-" + suffix,
                    preVoteResponse.setGranted(granted).build());
            var voteResponse = RaftCodec.FACTORY.createVoteResponseBuilder();
            voteResponse.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
            samples.put("raft-vote-" + suffix, voteResponse.setGranted(granted).build());
        }
        var trigger = RaftCodec.FACTORY.createTriggerLeaderElectionRequestBuilder();
        trigger.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        samples.put(
                "raft-trigger-election",
                trigger.setLastLogTerm(TERM).setLastLogIndex(1_250_002).build());
    }

    private static Command.EndpointList endpointList() {
        Endpoint primary = new Endpoint("db-0", 0, 1, EndpointState.values()[0], true, AT_MICROS);
        Endpoint replica = new Endpoint("db-1", 0, 2, EndpointState.values()[1], false, AT_MICROS + 1);
        return new Command.EndpointList(
                AT_MICROS,
                List.of(
                        new Command.KnownEndpoint(primary, Map.of("pg", "10.0.0.1:5432", "mysql", "10.0.0.1:3306"), 42),
                        new Command.KnownEndpoint(replica, Map.of(), LogPosition.UNKNOWN)));
    }

    private static byte[] auditEntry() {
        return new AuditEntry(
                        "a",
                        AT_MICROS,
                        17,
                        AuditEntry.Event.values()[1],
                        "2-0011223344556677",
                        1_250_002,
                        AT_MICROS,
                        20_000,
                        "",
                        "00112233445566778899aabbccddeeff")
                .encode();
    }

    private static void proposals(Map<String, Object> samples) {
        Command.DrainTarget node = new Command.DrainTarget(Command.TargetKind.NODE, "db-7");
        Command.DrainTarget pooler = new Command.DrainTarget(Command.TargetKind.POOLER, "p-1");
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("nothing", new Command.NoOp());
        commands.put("put", new Command.PutDocument(3, DOCUMENT));
        commands.put("hold-node", new Command.StartDrain(node, "disk", AT_MICROS));
        commands.put("hold-pooler", new Command.StartDrain(pooler, "", AT_MICROS));
        commands.put("release-node", new Command.EndDrain(node));
        commands.put("release-pooler", new Command.EndDrain(pooler));
        commands.put(
                "commits", new Command.SessionCommits(AT_MICROS, Map.of("session-1", AT_MICROS - 5, "session-2", 0L)));
        commands.put("listing", endpointList());
        commands.put("noted", new Command.AppendAudit("a", AT_MICROS, 17, List.of(auditEntry(), new byte[] {1})));
        commands.put("place", new Command.SetMemberAddress("d", "127.0.0.1:7004"));
        commands.forEach(
                (name, command) -> samples.put("propose-" + name, new Proposal(300 + commands.size(), command)));
    }

    private static void request(Map<String, Object> samples, String name, byte[]... arguments) {
        String sampleName = "request-" + name.replace(">", "forwarded-") + "-" + arguments.length;
        samples.put(sampleName, new WireMessages.Request(70_000, name, List.of(arguments)));
    }

    private static void requests(Map<String, Object> samples) {
        byte[] strict = bytes("strict");
        request(samples, "lease", bytes("a"), bytes("1250002"), bytes(""));
        request(samples, "lease", bytes("a"), bytes("1250002"), bytes("it can't"), bytes("1250001"));
        request(samples, "status");
        for (String prefix : List.of("", ">")) {
            request(samples, prefix + "get", bytes("bare"));
            request(samples, prefix + "put", bytes("3"), DOCUMENT);
            request(samples, prefix + "put", bytes("3"), DOCUMENT, strict);
            request(samples, prefix + "hold", bytes("node"), bytes("db-7"), bytes("disk"), strict);
            request(samples, prefix + "release", bytes("pooler"), bytes("p-1"));
            request(samples, prefix + "holds");
            request(samples, prefix + "members");
            request(samples, prefix + "add", bytes("d"));
            request(samples, prefix + "remove", bytes("d"));
            request(samples, prefix + "snapshot");
            request(samples, prefix + "audit", bytes("between"), bytes("1"), bytes("2"));
        }
    }

    private static void responses(Map<String, Object> samples) {
        for (WireMessages.Status status : WireMessages.Status.values()) {
            samples.put("response-status-" + status.ordinal(), new WireMessages.Response(70_000, status, "{}"));
        }
        samples.put(
                "response-lease",
                new WireMessages.Response(
                        70_000,
                        WireMessages.Status.OK,
                        "2000000",
                        new Cbor.Writer().number(1_250_002).toByteArray()));
    }

    private static WatchResponse watchResponse(
            WatchResponse.Event event, Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        return new WatchResponse(2_000_000, 500_000, "", 1_250_002, 20, event, drains);
    }

    private static void subscriptions(Map<String, Object> samples) {
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = Map.of(
                new Command.DrainTarget(Command.TargetKind.NODE, "db-7"), new ReplicatedState.Drain("disk", AT_MICROS),
                new Command.DrainTarget(Command.TargetKind.POOLER, "p-1"), new ReplicatedState.Drain("", 0));
        samples.put("follow-first", new SubscriberRequest(1, new WatchRequest(1, 0, 0, "", "", false, false, "")));
        samples.put(
                "follow",
                new SubscriberRequest(
                        2, new WatchRequest(1, 1_250_002, 3, "0011", "2233", true, true, "it can't be read")));
        samples.put(
                "followed-none", new SubscriberResponse(1, watchResponse(new WatchResponse.Event.Unchanged(), null)));
        samples.put(
                "followed-refused",
                new SubscriberResponse(
                        1, new WatchResponse(0, 0, "cut off", 0, 0, new WatchResponse.Event.Unchanged(), Map.of())));
        ReplicatedState.Document document = new ReplicatedState.Document(4, 1_250_002, "0011", DOCUMENT);
        samples.put(
                "followed-whole",
                new SubscriberResponse(2, watchResponse(new WatchResponse.Event.FullDocument(document), drains)));
        WatchResponse.Event differences = new WatchResponse.Event.Deltas(
                4, 1_250_002, "0011", List.of(DocumentDelta.between(PREVIOUS_DOCUMENT, DOCUMENT)));
        samples.put("followed-differences", new SubscriberResponse(3, watchResponse(differences, null)));
    }
}
