package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import lupinvalve.audit.AuditEntry;
import lupinvalve.config.OperatorConfig;
import lupinvalve.hotrestart.DrainCommandsFile;
import lupinvalve.integration.World;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.statemachine.SnapshotCodec;
import lupinvalve.subscription.SubscriberState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens the folders that the code of 0927aa4 wrote, and reads each value that was put into them. */
class StoredFolderTest {
    private static final String CLUSTER = "plant";
    /** The time of what was put, in Unix microseconds. */
    private static final long PUT_MICROS = 1_796_169_600_000_000L;

    private static final long LAST_INDEX = 37;
    private static final long SNAPSHOT_INDEX = 16;
    private static final int TERM = 2;
    private static final Map<String, String> DISK_BY_MEMBER =
            new TreeMap<>(Map.of("a", "c876e5246182ce42", "b", "a8fbc8210afc91b7", "c", "f15e070c7b571e53"));
    private static final Command.DrainTarget DB_1 = new Command.DrainTarget(Command.TargetKind.NODE, "db-1");
    private static final Command.DrainTarget DB_2 = new Command.DrainTarget(Command.TargetKind.NODE, "db-2");
    private static final Command.DrainTarget DB_3 = new Command.DrainTarget(Command.TargetKind.NODE, "db-3");
    private static final Command.DrainTarget POOLER_7 = new Command.DrainTarget(Command.TargetKind.POOLER, "pooler-7");
    private static final Command.DrainTarget POOLER_8 = new Command.DrainTarget(Command.TargetKind.POOLER, "pooler-8");

    /** What was put before the leader's snapshot. */
    private static final List<Command> BEFORE_SNAPSHOT = List.of(
            put(0, "first"),
            put(1, "second"),
            // Turned down, as revision 2 held by then.
            put(1, "conflicting"),
            new Command.StartDrain(DB_1, "disk", PUT_MICROS + 1),
            new Command.StartDrain(POOLER_7, "upgrade", PUT_MICROS + 2),
            new Command.StartDrain(DB_2, "mistake", PUT_MICROS + 3),
            new Command.EndDrain(DB_2),
            commits(PUT_MICROS, 0, 300),
            listing(10, 3),
            notes(1, 3),
            new Command.SetMemberAddress("d", "127.0.0.1:4004"),
            new Command.SetMemberAddress("e", "127.0.0.1:4005"));

    /** What was put after it, and after the restart of all members. */
    private static final List<Command> AFTER_SNAPSHOT = List.of(
            put(2, "third"),
            new Command.StartDrain(POOLER_8, "", PUT_MICROS + 4),
            commits(PUT_MICROS + 1_000, 250, 350),
            listing(11, 5),
            notes(4, 2),
            new Command.SetMemberAddress("e", ""),
            put(3, "fourth"),
            new Command.EndDrain(DB_1),
            new Command.StartDrain(DB_3, "grüße", PUT_MICROS + 5));

    @TempDir
    private Path folder;

    @BeforeEach
    void copy() throws IOException, URISyntaxException {
        Path stored =
                Path.of(StoredFolderTest.class.getResource("/store-0927aa4").toURI());
        try (Stream<Path> files = Files.walk(stored)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Path copy = folder.resolve(stored.relativize(file).toString());
                Files.createDirectories(copy.getParent());
                Files.copy(file, copy);
            }
        }
    }

    // ---- what was put ----

    private static byte[] document(String user) {
        return ("{\"mysql\":{\"user\":\"" + user + "\"}}").getBytes(StandardCharsets.UTF_8);
    }

    private static Command put(long expectedRevision, String user) {
        return new Command.PutDocument(expectedRevision, document(user));
    }

    private static Command.SessionCommits commits(long atMicros, int from, int to) {
        Map<String, Long> positions = new HashMap<>();
        for (int i = from; i < to; i++) {
            positions.put("session-" + i, atMicros + i);
        }
        return new Command.SessionCommits(atMicros, positions);
    }

    private static Command.EndpointList listing(long revision, int count) {
        List<Command.KnownEndpoint> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EndpointState state = i == 4 ? EndpointState.DRAINING : EndpointState.LIVE;
            Endpoint endpoint = new Endpoint("db-" + i, i / 3, i % 2, state, i % 3 == 0, PUT_MICROS + i);
            Map<String, String> addresses = Map.of("pg", "127.0.0.1:" + (5400 + i), "mysql", "127.0.0.1:" + (3300 + i));
            nodes.add(new Command.KnownEndpoint(endpoint, addresses, PUT_MICROS + 100L * i));
        }
        return new Command.EndpointList(revision, nodes);
    }

    private static AuditEntry note(long number) {
        return new AuditEntry(
                "pooler-x",
                PUT_MICROS,
                number,
                AuditEntry.Event.ADOPTED,
                "rev-" + number,
                number,
                PUT_MICROS + number,
                20_000,
                "note " + number,
                "00");
    }

    private static Command.AppendAudit notes(long first, int count) {
        List<byte[]> entries = new ArrayList<>();
        for (long number = first; number < first + count; number++) {
            entries.add(note(number).encode());
        }
        return new Command.AppendAudit("pooler-x", PUT_MICROS, first, entries);
    }

    private static Map<String, Long> lastCommits() {
        Map<String, Long> all = new TreeMap<>(commits(PUT_MICROS, 0, 300).positions());
        all.putAll(commits(PUT_MICROS + 1_000, 250, 350).positions());
        return all;
    }

    private static Set<MemberId> founders() {
        Set<MemberId> founders = new java.util.TreeSet<>();
        DISK_BY_MEMBER.forEach((name, disk) -> founders.add(new MemberId(name, disk)));
        return founders;
    }

    // ---- members ----

    private FolderDisk disk(String member) throws IOException {
        return new FolderDisk(folder.resolve("member-" + member), true);
    }

    @Test
    void eachMemberHasItsIdentityTermVoteAndFounders() throws IOException {
        for (Map.Entry<String, String> member : DISK_BY_MEMBER.entrySet()) {
            MemberId identity = new MemberId(member.getKey(), member.getValue());
            SegmentedLog log = SegmentedLog.open(disk(member.getKey()), CLUSTER, member.getKey(), "unused");
            assertEquals(
                    new ClusterBootstrap.Announcement(identity, ClusterBootstrap.Phase.BOOTSTRAPPED, founders()),
                    log.announcement());
            assertEquals(TERM, log.currentTerm());
            RestoredRaftState restored = log.restoredState();
            assertEquals(
                    identity,
                    MemberEndpoint.of(restored.getLocalEndpointPersistentState().getLocalEndpoint()));
            assertTrue(restored.getLocalEndpointPersistentState().isVoting());
            assertEquals(TERM, restored.getTermPersistentState().getTerm());
            assertEquals(
                    new MemberId("b", DISK_BY_MEMBER.get("b")),
                    MemberEndpoint.of(restored.getTermPersistentState().getVotedFor()));
            assertEquals(3, restored.getInitialGroupMembers().getMembers().size());
            log.close(true);
        }
    }

    @Test
    void eachMemberHasTheStateThatAllChangesLeadTo() throws IOException {
        for (String member : DISK_BY_MEMBER.keySet()) {
            SegmentedLog log = SegmentedLog.open(disk(member), CLUSTER, member, "unused");
            assertEquals(LAST_INDEX, log.lastIndex());
            assertState(RaftReplica.committedState(log));
            log.close(true);
        }
    }

    private static void assertState(ReplicatedState state) {
        assertEquals(LAST_INDEX, state.appliedIndex());
        assertEquals(4, state.revision());
        assertArrayEquals(document("fourth"), state.document().content());
        assertEquals("921e36fb7a3e3de3", state.document().digest());
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = new TreeMap<>();
        drains.put(POOLER_7, new ReplicatedState.Drain("upgrade", PUT_MICROS + 2));
        drains.put(POOLER_8, new ReplicatedState.Drain("", PUT_MICROS + 4));
        drains.put(DB_3, new ReplicatedState.Drain("grüße", PUT_MICROS + 5));
        assertEquals(drains, state.drains());
        assertEquals(lastCommits(), state.sessionCommits().positions());
        assertEquals(PUT_MICROS + 1_000, state.sessionCommits().atMicros());
        assertEquals(listing(11, 5), state.endpointList());
        assertEquals("127.0.0.1:4004", state.memberAddresses().get("d"));
        assertEquals(null, state.memberAddresses().get("e"));
        for (long number = 1; number <= 5; number++) {
            byte[] entry = state.auditEntries().get("pooler-x/" + PUT_MICROS + "/" + number);
            assertArrayEquals(note(number).encode(), entry, "note " + number);
        }
    }

    /** The changes of a log but for leaders' first entries and what members noted of themselves, as bytes. */
    private static List<String> changes(SegmentedLog log) throws IOException {
        List<String> changes = new ArrayList<>();
        for (LogEntry entry : log.restoredState().getLogEntries()) {
            if (entry.getOperation() instanceof byte[] bytes) {
                Command change = CommandCodec.decode(bytes);
                boolean ownNote =
                        change instanceof Command.AppendAudit noted && DISK_BY_MEMBER.containsKey(noted.pooler());
                if (!ownNote && !(change instanceof Command.NoOp)) {
                    changes.add(HexFormat.of().formatHex(CommandCodec.encode(change)));
                }
            }
        }
        return changes;
    }

    private static List<String> bytes(List<Command> changes) {
        return changes.stream()
                .map(change -> HexFormat.of().formatHex(CommandCodec.encode(change)))
                .toList();
    }

    @Test
    void membersWithoutASnapshotHaveEachChangeInOrder() throws IOException {
        List<Command> all = new ArrayList<>(BEFORE_SNAPSHOT);
        all.addAll(AFTER_SNAPSHOT);
        for (String member : List.of("b", "c")) {
            SegmentedLog log = SegmentedLog.open(disk(member), CLUSTER, member, "unused");
            assertEquals(0, log.snapshotBytes());
            assertEquals(bytes(all), changes(log));
            log.close(true);
        }
    }

    @Test
    void theMemberWithASnapshotHasItAndEachChangeAfterIt() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk("a"), CLUSTER, "a", "unused");
        assertEquals(SNAPSHOT_INDEX, log.restoredState().getSnapshotEntry().getIndex());
        assertEquals(bytes(AFTER_SNAPSHOT), changes(log));
        ReplicatedState state = new ReplicatedState();
        SnapshotCodec.restore(state, log.snapshotChunks());
        assertEquals(SNAPSHOT_INDEX, state.appliedIndex());
        assertEquals(2, state.revision());
        assertArrayEquals(document("second"), state.document().content());
        assertEquals(
                Map.of(
                        DB_1,
                        new ReplicatedState.Drain("disk", PUT_MICROS + 1),
                        POOLER_7,
                        new ReplicatedState.Drain("upgrade", PUT_MICROS + 2)),
                state.drains());
        assertEquals(
                commits(PUT_MICROS, 0, 300).positions(), state.sessionCommits().positions());
        assertEquals(listing(10, 3), state.endpointList());
        assertEquals("127.0.0.1:4004", state.memberAddresses().get("d"));
        assertEquals("127.0.0.1:4005", state.memberAddresses().get("e"));
        assertArrayEquals(note(3).encode(), state.auditEntries().get("pooler-x/" + PUT_MICROS + "/3"));
        log.close(true);
    }

    @Test
    void theCommandLineVerifiesEachMemberAndItsAuditEntries() throws IOException {
        for (Map.Entry<String, String> member : DISK_BY_MEMBER.entrySet()) {
            Path path = folder.resolve("member-" + member.getKey());
            String verified = FolderVerification.verify(path, true);
            assertTrue(
                    verified.startsWith("{\"member\":\"" + member.getKey() + "/" + member.getValue()
                            + "\",\"phase\":\"founded\",\"term\":2,\"last_change\":37,\"accepted_change\":37,"
                            + "\"revision\":4,\"digest\":\"921e36fb7a3e3de3\",\"sessions\":350,\"holds\":3,"),
                    verified);
            assertTrue(verified.endsWith("\"document\":{\"mysql\":{\"user\":\"fourth\"}}}"), verified);
            String audit = FolderVerification.verifyAudit(path);
            assertTrue(audit.startsWith("{\"entries\":14,\"lives\":2,\"acted\":[\"1-8f0f526f46bda7c6 from "), audit);
            assertTrue(audit.contains("\"4-921e36fb7a3e3de3 from ") && audit.endsWith("\"chain_breaks\":[]}"), audit);
        }
    }

    // ---- a subscriber and the orders file ----

    @Test
    void theSubscriberHasItsCachedDocumentAndDrains() throws IOException {
        try (FolderDisk disk = new FolderDisk(folder.resolve("subscriber"), true)) {
            SubscriberState.Cached cached = CachedDocumentFile.read(disk, CLUSTER);
            assertEquals(3, cached.document().revision());
            assertArrayEquals(document("third"), cached.document().content());
            assertEquals("74b992bccade1b13", cached.document().digest());
            Map<Command.DrainTarget, ReplicatedState.Drain> drains = new TreeMap<>();
            drains.put(DB_1, new ReplicatedState.Drain("disk", PUT_MICROS + 1));
            drains.put(POOLER_7, new ReplicatedState.Drain("upgrade", PUT_MICROS + 2));
            drains.put(POOLER_8, new ReplicatedState.Drain("", PUT_MICROS + 4));
            assertEquals(drains, cached.drains());
            assertTrue(cached.index() > SNAPSHOT_INDEX && cached.index() < LAST_INDEX, cached.index() + "");
        }
    }

    @Test
    void theDrainCommandsFileHasWhatWasDrainedAndRestored() {
        DrainCommands commands =
                new DrainCommandsFile(folder.resolve("orders/pooler")).readIfChanged(DrainCommands.NONE);
        assertEquals(new DrainCommands(Set.of("db-4"), Map.of("db-1", PUT_MICROS + 2)), commands);
    }

    // ---- all of it running ----

    private static ControlPlane.Listener pooler(Map<String, ReplicatedState.Document> documents, String name) {
        return new ControlPlane.Listener() {
            @Override
            public String validationError(byte[] document) {
                return OperatorConfig.validationError(document).orElse(null);
            }

            @Override
            public void configurationAccepted(ReplicatedState.Document document) {
                documents.put(name, document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds) {
                // The state has been looked at above.
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                // The state has been looked at above.
            }
        };
    }

    private static Map<String, String> freeAddresses() throws IOException {
        Map<String, String> addresses = new TreeMap<>();
        List<ServerSocket> reserved = new ArrayList<>();
        for (String name : DISK_BY_MEMBER.keySet()) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        return addresses;
    }

    @Test
    void theGroupGoesOnFromIt() throws Exception {
        Map<String, String> addresses = freeAddresses();
        Map<String, ReplicatedState.Document> documents = new ConcurrentHashMap<>();
        List<ControlPlane> running = new ArrayList<>();
        List<RaftMember> members = new ArrayList<>();
        try {
            for (String name : DISK_BY_MEMBER.keySet()) {
                RaftMember member = new RaftMember(new OperatorConfig.Store(
                        CLUSTER,
                        name,
                        folder.resolve("member-" + name),
                        addresses.get(name),
                        addresses,
                        null,
                        0,
                        OperatorConfig.Audit.SERVE));
                running.add(member);
                members.add(member);
                assertState(member.initialReplicatedState());
                member.start(pooler(documents, name));
            }
            Subscriber subscriber = new Subscriber(OperatorConfig.Store.subscriber(
                    CLUSTER, "follower", folder.resolve("subscriber"), addresses, null, OperatorConfig.Audit.OFF));
            running.add(subscriber);
            assertArrayEquals(
                    document("third"), subscriber.initialState().document().content());
            subscriber.start(pooler(documents, "follower"));
            World.await("led", () -> members.stream().anyMatch(RaftMember::isLeader));
            World.await("the subscriber has the last document", () -> subscriber.appliedRevision() == 4);
            assertArrayEquals(document("fourth"), documents.get("follower").content());
            GroupClient.Result result = new GroupClient(CLUSTER, addresses, null)
                    .call("put", List.of("4".getBytes(StandardCharsets.UTF_8), document("fifth")), false, 20_000);
            assertEquals(new GroupClient.Result(WireMessages.Status.OK, "{\"changed\":true,\"revision\":5}"), result);
            World.await(
                    "all have the new document",
                    () -> documents.size() == 4
                            && documents.values().stream().allMatch(document -> document.revision() == 5));
        } finally {
            running.forEach(ControlPlane::stop);
        }
        for (String name : DISK_BY_MEMBER.keySet()) {
            String verified = FolderVerification.verify(folder.resolve("member-" + name), true);
            assertTrue(verified.endsWith("\"document\":{\"mysql\":{\"user\":\"fifth\"}}}"), verified);
        }
    }
}
