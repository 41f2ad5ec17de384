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
import lupinvalve.audit.Entry;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.LogPosition;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Change;
import lupinvalve.statemachine.Encoding;
import lupinvalve.statemachine.Founding;
import lupinvalve.statemachine.Identity;
import lupinvalve.statemachine.Ledger;
import lupinvalve.subscription.DocumentDelta;
import lupinvalve.subscription.FollowAnswer;
import lupinvalve.subscription.FollowRequest;

/** One message of each kind that goes between members, by the name under which its recorded frame is stored. */
final class FrameSamples {
    private static final long AT_MICROS = 1_796_169_600_000_000L;
    private static final int TERM = 7;
    private static final Identity ONE = new Identity("a", "00112233445566778899aabbccddeeff");
    private static final Identity TWO = new Identity("b", "disk-b");
    private static final Identity THREE = new Identity("c-\u00e4", "disk-c");
    private static final RaftEndpoint SENDER = new MemberEndpoint(ONE);
    private static final List<RaftEndpoint> MEMBERS =
            List.of(new MemberEndpoint(ONE), new MemberEndpoint(TWO), new MemberEndpoint(THREE));
    private static final List<RaftEndpoint> VOTERS = MEMBERS.subList(0, 2);
    private static final byte[] BEFORE = bytes("{\"pg\":{\"user\":\"x\"}}");
    private static final byte[] DOCUMENT = bytes("{\"pg\":{\"user\":\"y\",\"password\":\"\u00fc\"}}");

    private FrameSamples() {}

    /** A change on its way to the leader. */
    record Proposal(long id, Change change) {}

    /** A subscriber's request. */
    record Follow(long id, FollowRequest request) {}

    /** What a member answers a subscriber. */
    record Followed(long id, FollowAnswer answer) {}

    /** A sign of life without content. */
    record Heartbeat() {}

    static Map<String, Object> all() {
        Map<String, Object> all = new LinkedHashMap<>();
        greetings(all);
        appendEntries(all);
        snapshots(all);
        elections(all);
        proposals(all);
        requests(all);
        responses(all);
        subscriptions(all);
        all.put("heartbeat", new Heartbeat());
        return all;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void greetings(Map<String, Object> all) {
        for (Founding.Phase phase : Founding.Phase.values()) {
            Set<Identity> founders = phase.equals(Founding.Phase.values()[0]) ? Set.of() : Set.of(ONE, TWO, THREE);
            all.put(
                    "hello-phase-" + phase.ordinal(),
                    new WireMessages.Hello("plant", "a", "127.0.0.1:7001", new Founding.Word(ONE, phase, founders)));
        }
        all.put("hello-operator", new WireMessages.Hello("plant", "operator", "", null));
    }

    private static LogEntry entry(long index, Object operation) {
        return RaftCodec.FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(TERM - 1)
                .setOperation(operation)
                .build();
    }

    private static RaftMessage append(List<LogEntry> entries) {
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
                .setEndpoint(new MemberEndpoint(THREE))
                .setMode(mode)
                .build();
    }

    private static void appendEntries(Map<String, Object> all) {
        all.put("raft-append-entries-empty", append(List.of()));
        all.put(
                "raft-append-entries",
                append(List.of(
                        entry(1_250_001, Encoding.write(new Change.Nothing())),
                        entry(1_250_002, Encoding.write(new Change.Put(1, DOCUMENT))))));
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            all.put(
                    "raft-append-entries-" + mode.name().toLowerCase(Locale.ROOT),
                    append(List.of(entry(1_250_001, membershipOperation(mode)))));
        }
        var success = RaftCodec.FACTORY.createAppendEntriesSuccessResponseBuilder();
        success.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
                "raft-append-entries-success",
                success.setLastLogIndex(1_250_002)
                        .setQuerySequenceNumber(3_400_000)
                        .setFlowControlSequenceNumber(12)
                        .build());
        var failure = RaftCodec.FACTORY.createAppendEntriesFailureResponseBuilder();
        failure.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
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
        Ledger ledger = new Ledger();
        ledger.apply(1, new Change.Put(0, DOCUMENT));
        ledger.apply(2, new Change.Hold(new Change.Holding(Change.Kind.NODE, "db-7"), "disk", AT_MICROS));
        ledger.apply(3, new Change.Place("d", "127.0.0.1:7004"));
        ledger.apply(4, listing());
        return RaftCodec.FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(1_000)
                .setTerm(TERM - 2)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(2)
                .setGroupMembersView(view())
                .setOperation(Encoding.snapshot(ledger).get(0))
                .build();
    }

    private static RaftMessage install(SnapshotChunk chunk) {
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

    private static void snapshots(Map<String, Object> all) {
        all.put("raft-install-snapshot", install(chunk()));
        all.put("raft-install-snapshot-without-chunk", install(null));
        var response = RaftCodec.FACTORY.createInstallSnapshotResponseBuilder();
        response.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
                "raft-install-snapshot-response",
                response.setSnapshotIndex(1_000)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(3_400_001)
                        .setFlowControlSequenceNumber(13)
                        .build());
    }

    private static void elections(Map<String, Object> all) {
        var preVote = RaftCodec.FACTORY.createPreVoteRequestBuilder();
        preVote.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
                "raft-pre-vote",
                preVote.setLastLogTerm(TERM - 1).setLastLogIndex(1_250_002).build());
        var vote = RaftCodec.FACTORY.createVoteRequestBuilder();
        vote.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
                "raft-vote",
                vote.setLastLogTerm(TERM - 1)
                        .setLastLogIndex(1_250_002)
                        .setSticky(true)
                        .build());
        for (boolean granted : List.of(true, false)) {
            String suffix = granted ? "granted" : "denied";
            var preVoteResponse = RaftCodec.FACTORY.createPreVoteResponseBuilder();
            preVoteResponse.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
            all.put(
                    "raft-pre-vote-" + suffix,
                    preVoteResponse.setGranted(granted).build());
            var voteResponse = RaftCodec.FACTORY.createVoteResponseBuilder();
            voteResponse.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
            all.put("raft-vote-" + suffix, voteResponse.setGranted(granted).build());
        }
        var trigger = RaftCodec.FACTORY.createTriggerLeaderElectionRequestBuilder();
        trigger.setGroupId(RaftReplica.GROUP).setSender(SENDER).setTerm(TERM);
        all.put(
                "raft-trigger-election",
                trigger.setLastLogTerm(TERM).setLastLogIndex(1_250_002).build());
    }

    private static Change.Listing listing() {
        Endpoint primary = new Endpoint("db-0", 0, 1, EndpointState.values()[0], true, AT_MICROS);
        Endpoint replica = new Endpoint("db-1", 0, 2, EndpointState.values()[1], false, AT_MICROS + 1);
        return new Change.Listing(
                AT_MICROS,
                List.of(
                        new Change.Listed(primary, Map.of("pg", "10.0.0.1:5432", "mysql", "10.0.0.1:3306"), 42),
                        new Change.Listed(replica, Map.of(), LogPosition.UNKNOWN)));
    }

    private static byte[] auditEntry() {
        return new Entry(
                        "a",
                        AT_MICROS,
                        17,
                        Entry.What.values()[1],
                        "2-0011223344556677",
                        1_250_002,
                        AT_MICROS,
                        20_000,
                        "",
                        "00112233445566778899aabbccddeeff")
                .write();
    }

    private static void proposals(Map<String, Object> all) {
        Change.Holding node = new Change.Holding(Change.Kind.NODE, "db-7");
        Change.Holding pooler = new Change.Holding(Change.Kind.POOLER, "p-1");
        Map<String, Change> changes = new LinkedHashMap<>();
        changes.put("nothing", new Change.Nothing());
        changes.put("put", new Change.Put(3, DOCUMENT));
        changes.put("hold-node", new Change.Hold(node, "disk", AT_MICROS));
        changes.put("hold-pooler", new Change.Hold(pooler, "", AT_MICROS));
        changes.put("release-node", new Change.Release(node));
        changes.put("release-pooler", new Change.Release(pooler));
        changes.put("commits", new Change.Commits(AT_MICROS, Map.of("session-1", AT_MICROS - 5, "session-2", 0L)));
        changes.put("listing", listing());
        changes.put("noted", new Change.Noted("a", AT_MICROS, 17, List.of(auditEntry(), new byte[] {1})));
        changes.put("place", new Change.Place("d", "127.0.0.1:7004"));
        changes.forEach((name, change) -> all.put("propose-" + name, new Proposal(300 + changes.size(), change)));
    }

    private static void request(Map<String, Object> all, String name, byte[]... arguments) {
        String file = "request-" + name.replace(">", "forwarded-") + "-" + arguments.length;
        all.put(file, new WireMessages.Request(70_000, name, List.of(arguments)));
    }

    private static void requests(Map<String, Object> all) {
        byte[] strict = bytes("strict");
        request(all, "lease", bytes("a"), bytes("1250002"), bytes(""));
        request(all, "lease", bytes("a"), bytes("1250002"), bytes("it can't"), bytes("1250001"));
        request(all, "status");
        for (String prefix : List.of("", ">")) {
            request(all, prefix + "get", bytes("bare"));
            request(all, prefix + "put", bytes("3"), DOCUMENT);
            request(all, prefix + "put", bytes("3"), DOCUMENT, strict);
            request(all, prefix + "hold", bytes("node"), bytes("db-7"), bytes("disk"), strict);
            request(all, prefix + "release", bytes("pooler"), bytes("p-1"));
            request(all, prefix + "holds");
            request(all, prefix + "members");
            request(all, prefix + "add", bytes("d"));
            request(all, prefix + "remove", bytes("d"));
            request(all, prefix + "snapshot");
            request(all, prefix + "audit", bytes("between"), bytes("1"), bytes("2"));
        }
    }

    private static void responses(Map<String, Object> all) {
        for (WireMessages.Status status : WireMessages.Status.values()) {
            all.put("response-status-" + status.ordinal(), new WireMessages.Response(70_000, status, "{}"));
        }
        all.put(
                "response-lease",
                new WireMessages.Response(
                        70_000,
                        WireMessages.Status.OK,
                        "2000000",
                        new Cbor.Out().number(1_250_002).done()));
    }

    private static FollowAnswer answer(FollowAnswer.News news, Map<Change.Holding, Ledger.Held> holds) {
        return new FollowAnswer(2_000_000, 500_000, "", 1_250_002, 20, news, holds);
    }

    private static void subscriptions(Map<String, Object> all) {
        Map<Change.Holding, Ledger.Held> holds = Map.of(
                new Change.Holding(Change.Kind.NODE, "db-7"), new Ledger.Held("disk", AT_MICROS),
                new Change.Holding(Change.Kind.POOLER, "p-1"), new Ledger.Held("", 0));
        all.put("follow-first", new Follow(1, new FollowRequest(1, 0, 0, "", "", false, false, "")));
        all.put(
                "follow",
                new Follow(2, new FollowRequest(1, 1_250_002, 3, "0011", "2233", true, true, "it can't be read")));
        all.put("followed-none", new Followed(1, answer(new FollowAnswer.News.None(), null)));
        all.put(
                "followed-refused",
                new Followed(1, new FollowAnswer(0, 0, "cut off", 0, 0, new FollowAnswer.News.None(), Map.of())));
        Ledger.Document document = new Ledger.Document(4, 1_250_002, "0011", DOCUMENT);
        all.put("followed-whole", new Followed(2, answer(new FollowAnswer.News.Whole(document), holds)));
        FollowAnswer.News differences = new FollowAnswer.News.Differences(
                4, 1_250_002, "0011", List.of(DocumentDelta.between(BEFORE, DOCUMENT)));
        all.put("followed-differences", new Followed(3, answer(differences, null)));
    }
}
