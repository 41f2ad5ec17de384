package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import lupinvalve.config.OperatorConfig;
import lupinvalve.integration.World;
import lupinvalve.log.Log;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.RaftMember;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three members over real sockets with certificates, and the store subcommand against them. */
class GroupTest {
    private static final List<String> NAMES = List.of("a", "b", "c");

    @TempDir
    private static Path keys;

    @TempDir
    private Path folder;

    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, RaftMember> members = new HashMap<>();
    private final Map<String, ReplicatedState.Document> appliedDocuments = new ConcurrentHashMap<>();
    private final Map<String, Map<Command.DrainTarget, ReplicatedState.Drain>> holds = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Long>> tokens = new ConcurrentHashMap<>();

    private OperatorConfig.Audit audit = OperatorConfig.Audit.OFF;

    @BeforeAll
    static void generateKeys() throws Exception {
        Log.setOutput(new PrintStream(new ByteArrayOutputStream()));
        Keys.generate(keys.resolve("own"), NAMES);
        Keys.generate(keys.resolve("foreign"), List.of("c"));
        Keys.generate(keys.resolve("old"), List.of("c"), List.of("-startdate", "-10d", "-validity", "5"));
        // Certificates that have expired: members trust their authority, which is in both.pem, as well as the current
        // one.
        Files.copy(keys.resolve("old/authority.pem"), keys.resolve("both.pem"));
        Files.write(
                keys.resolve("both.pem"),
                Files.readAllBytes(keys.resolve("own/authority.pem")),
                java.nio.file.StandardOpenOption.APPEND);
    }

    @AfterAll
    static void restoreLog() {
        Log.setOutput(System.err);
    }

    @AfterEach
    void stopMembers() {
        members.values().forEach(RaftMember::stop);
    }

    private void reserveAddresses() throws IOException {
        List<ServerSocket> reserved = new ArrayList<>();
        for (String name : NAMES) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
    }

    private static OperatorConfig.Tls tls(String authority, String of, String name) {
        return new OperatorConfig.Tls(
                keys.resolve(authority),
                keys.resolve(of + "/" + name + ".pem"),
                keys.resolve(of + "/" + name + ".key"));
    }

    private OperatorConfig.Store config(String name, OperatorConfig.Tls tls) {
        return new OperatorConfig.Store(
                "plant", name, folder.resolve(name), addresses.get(name), addresses, tls, 0, audit);
    }

    private RaftMember start(String name, OperatorConfig.Tls tls) throws IOException {
        RaftMember member = new RaftMember(config(name, tls));
        members.put(name, member);
        member.start(new ControlPlane.Listener() {
            @Override
            public String validationError(byte[] document) {
                return OperatorConfig.validationError(document).orElse(null);
            }

            @Override
            public String transitionError(byte[] current, byte[] next) {
                return OperatorConfig.changeRejection(current, next).orElse(null);
            }

            @Override
            public void configurationAccepted(ReplicatedState.Document document) {
                appliedDocuments.put(name, document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> now) {
                holds.put(name, now);
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                tokens.computeIfAbsent(name, memberName -> new ConcurrentHashMap<>())
                        .putAll(commits.positions());
            }
        });
        return member;
    }

    private Path operatorFile(String name, OperatorConfig.Tls tls) throws IOException {
        StringBuilder members = new StringBuilder();
        addresses.forEach((memberName, at) ->
                members.append(members.isEmpty() ? "" : ",").append("\"" + memberName + "\":\"" + at + "\""));
        return Files.writeString(
                folder.resolve(name + ".json"),
                "{\"store\":{\"cluster\":\"plant\",\"name\":\"" + name + "\",\"folder\":\"" + folder.resolve(name)
                        + "\",\"listen\":\"" + addresses.get(name) + "\",\"members\":{" + members + "}"
                        + (tls == null
                                ? ""
                                : ",\"tls\":{\"authority\":\"" + tls.authority() + "\",\"certificate\":\""
                                        + tls.certificate() + "\",\"key\":\"" + tls.key() + "\"}")
                        + "}}");
    }

    private record CommandResult(int code, String out, String err) {}

    /** Runs the store subcommand with these arguments. */
    private static CommandResult store(Path operator, String... arguments) throws Exception {
        StoreCommand command = new StoreCommand();
        List<String> line = new ArrayList<>(List.of(arguments));
        if (operator != null) {
            line.addAll(List.of("--operator", operator.toString()));
        }
        new org.kohsuke.args4j.CmdLineParser(command).parseArgument(line);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        command.out = new PrintStream(out);
        command.err = new PrintStream(err);
        Log.Level before = Log.level();
        try {
            int code = command.run();
            return new CommandResult(
                    code,
                    out.toString(StandardCharsets.UTF_8).strip(),
                    err.toString(StandardCharsets.UTF_8).strip());
        } catch (IOException | IllegalArgumentException e) {
            return new CommandResult(1, "", e.getMessage());
        } finally {
            Log.setLevel(before);
        }
    }

    private Path document(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "document", ".json"), text);
    }

    private void startAll() throws IOException {
        reserveAddresses();
        for (String name : NAMES) {
            start(name, tls("own/authority.pem", "own", name));
        }
    }

    @Test
    void operatorsPutDrainAndReplaceAMemberWithoutItsFolder() throws Exception {
        startAll();
        Path memberA = operatorFile("a", tls("own/authority.pem", "own", "operator"));
        Path memberC = operatorFile("c", tls("own/authority.pem", "own", "c"));
        String document = document("{\"mysql\":{\"user\":\"portal\",\"password\":\"towel\"}}")
                .toString();
        assertEquals(
                new CommandResult(0, "changed: true\nrevision: 1", ""),
                store(memberC, "put", document, "--revision", "0"));
        assertEquals(
                new CommandResult(StoreCommand.EXIT_CONFLICT, "", "lupinvalve: revision 1 holds by now"),
                store(memberA, "put", document, "--revision", "0"));
        CommandResult invalid =
                store(memberA, "put", document("{\"mysql\":{\"usr\":1}}").toString(), "--revision", "1");
        assertTrue(invalid.code() == 1 && invalid.err().endsWith("mysql.usr is unknown"), invalid.err());
        World.await("all members apply the revision", () -> appliedDocuments.size() == 3);
        assertEquals(
                1,
                appliedDocuments.values().stream()
                        .map(ReplicatedState.Document::digest)
                        .distinct()
                        .count());
        assertTrue(store(memberA, "get").out().contains("document.mysql.password: ***"));
        assertTrue(store(memberA, "get", "--show-secrets").out().contains("document.mysql.password: towel"));
        assertEquals(
                0, store(memberA, "hold", "node", "db-7", "--why", "new disk").code());
        World.await(
                "all members apply the drain",
                () -> holds.values().stream()
                                .filter(drains -> drains.size() == 1)
                                .count()
                        == 3);
        assertTrue(store(memberC, "holds").out().contains("holds.0.why: new disk"));
        assertEquals(0, store(memberA, "release", "node", "db-7").code());

        members.remove("b").stop();
        assertTrue(store(null, "verify", folder.resolve("b").toString()).out().contains("revision: 1"));
        Files.move(folder.resolve("b"), folder.resolve("b-lost"));
        start("b", tls("own/authority.pem", "own", "b"));
        CommandResult added = store(memberA, "add", "b", "--json");
        assertEquals(0, added.code(), added.err());
        assertEquals(3, added.out().split("\"votes\"").length - 1);
        members.remove("a").stop();
        // A read instead of a put: a put that is in flight when the leader stops is indeterminate, while a read is
        // retried until the next leader answers.
        CommandResult next = store(memberC, "get", "--seconds", "30");
        assertTrue(next.out().contains("revision: 1"), "the replaced member counts towards the majority: " + next);
        assertEquals(0, store(memberC, "put", document, "--revision", "1").code());
        CommandResult removal = store(memberC, "remove", "c");
        assertTrue(removal.code() == 1 && removal.err().contains("no majority"), removal.err());
        assertTrue(store(memberC, "status").out().contains("phase: founded"));
    }

    @Test
    void strictChangeWaitsForLeasesAndAuditListsWhoApplied() throws Exception {
        audit = OperatorConfig.Audit.FENCE;
        reserveAddresses();
        for (String name : NAMES) {
            start(name, null);
        }
        Path memberA = operatorFile("a", null);
        World.await("all members have a lease", () -> members.values().stream().allMatch(RaftMember::mayServe));
        String first = document("{\"mysql\":{\"user\":\"one\"}}").toString();
        CommandResult put = store(memberA, "put", first, "--revision", "0", "--strict");
        assertEquals(0, put.code(), put.err());
        assertEquals(3, appliedDocuments.size(), "all members have applied it when the answer arrives");
        CommandResult rejected = store(
                memberA,
                "put",
                document("{\"dns_sd\":{\"resolver\":\"127.0.0.1:53\",\"service\":\"_x._tcp.example.org\"}}")
                        .toString(),
                "--revision",
                "1");
        assertTrue(
                rejected.code() == 1 && rejected.err().contains("dns_sd: members that run can't turn to DNS-SD"),
                rejected.err());

        RaftMember stoppedMember = members.remove("c");
        stoppedMember.stop();
        long start = System.nanoTime();
        CommandResult drain = store(memberA, "hold", "node", "db-7", "--strict", "--seconds", "20");
        assertEquals(0, drain.code(), drain.err());
        long tookMillis = (System.nanoTime() - start) / 1_000_000;
        assertTrue(
                drain.out().contains("waited_for: c") && tookMillis > 500, drain.out() + " in " + tookMillis + " ms");
        assertTrue(!stoppedMember.mayServe(), "its lease has expired when the answer arrives");
        World.await("its expired lease is audited", () -> {
            try {
                return store(memberA, "audit", "stragglers").out().contains("stragglers.0.pooler: c");
            } catch (Exception e) {
                return false;
            }
        });
        String appliedBy = store(memberA, "audit", "version", "1").out();
        for (String name : List.of("a", "b")) {
            assertTrue(appliedBy.contains("pooler: " + name), appliedBy);
        }
        assertTrue(store(memberA, "audit", "at", Long.toString(System.currentTimeMillis() * 1000))
                .out()
                .contains("acted_on: 1-"));
        assertEquals(1, store(memberA, "audit", "who").code());
        // The stopped member's own audit entries arrive after its restart; a member without a majority loses its lease.
        members.remove("b").stop();
        World.await(
                "a member without a majority is fenced", () -> !members.get("a").mayServe());
        String verification =
                store(null, "audit", "verify", folder.resolve("b").toString()).out();
        assertTrue(verification.contains("lives: 1") && verification.contains("acted.0: 1-"), verification);
        start("b", null);
        start("c", null);
        World.await("all members have a lease again", () -> members.values().stream()
                .allMatch(RaftMember::mayServe));
        World.await("late audit entries complete the chain", () -> {
            try {
                String of = store(memberA, "audit", "pooler", "c").out();
                return of.contains("why: ended") && !of.contains("chain_breaks.0");
            } catch (Exception e) {
                return false;
            }
        });
    }

    @Test
    void foreignExpiredAndMismatchedCertificatesAreRejected() throws Exception {
        reserveAddresses();
        start("a", tls("both.pem", "own", "a"));
        start("b", tls("both.pem", "own", "b"));
        start("c", tls("both.pem", "old", "c"));
        Path foreign = operatorFile(
                "c",
                new OperatorConfig.Tls(
                        keys.resolve("both.pem"), keys.resolve("foreign/c.pem"), keys.resolve("foreign/c.key")));
        assertTrue(store(foreign, "members", "--seconds", "1").code() != 0);
        Thread.sleep(500);
        assertEquals(
                0,
                members.values().stream().filter(RaftMember::isLeader).count(),
                "no group is founded without the third member");
        // With a valid certificate, the member is accepted.
        members.remove("c").stop();
        start("c", tls("both.pem", "own", "c"));
        World.await("the group is founded", () -> members.values().stream().anyMatch(RaftMember::isLeader));
        for (RaftMember member : members.values()) {
            member.reloadCertificates();
        }
        assertEquals(
                0,
                store(
                                operatorFile("b", tls("both.pem", "own", "b")),
                                "put",
                                document("{}").toString(),
                                "--revision",
                                "0")
                        .code());
    }

    @Test
    void restartedMemberServesLastDocumentWithoutMajority() throws Exception {
        startAll();
        Path memberA = operatorFile("a", tls("own/authority.pem", "own", "a"));
        assertEquals(
                0,
                store(memberA, "put", document("{\"mysql\":{\"user\":\"x\"}}").toString(), "--revision", "0")
                        .code());
        AtomicInteger acknowledged = new AtomicInteger();
        members.get("b").publishCommit("session-1", 4_000_000_000_000_000L, acknowledged::incrementAndGet);
        World.await("a majority has stored the token", () -> acknowledged.get() == 1);
        World.await("all members apply the revision", () -> appliedDocuments.size() == 3);
        for (String name : NAMES) {
            members.remove(name).stop();
        }
        appliedDocuments.clear();
        RaftMember restarted = start("a", tls("own/authority.pem", "own", "a"));
        World.await("applied", () -> appliedDocuments.containsKey("a"));
        assertEquals(1, appliedDocuments.get("a").revision());
        assertEquals(1, restarted.initialReplicatedState().revision());
        assertFalse(restarted.isLeader());
        CommandResult put = store(memberA, "put", document("{}").toString(), "--revision", "1", "--seconds", "1");
        assertEquals(StoreCommand.EXIT_UNAVAILABLE, put.code(), put.err());
        World.await("reported in the status", () -> {
            try {
                return store(memberA, "status").out().contains("cut_off: true");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(store(memberA, "status").out().contains("acting: serving with revision 1"));
    }

    /** Copies a member's folder as it is on the disk now, which is what a process that is killed now leaves. */
    private void copyFolder(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.filter(path -> !path.endsWith("lock")).toList()) {
                Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.COPY_ATTRIBUTES);
            }
        }
    }

    /** Guards against a drained db node that gets requests of a member which was killed and starts alone. */
    @Test
    void aMemberThatIsKilledAndStartsAloneKnowsTheDrainsThatItActedOn() throws Exception {
        startAll();
        Path memberA = operatorFile("a", tls("own/authority.pem", "own", "a"));
        Command.DrainTarget n2 = new Command.DrainTarget(Command.TargetKind.NODE, "n2");
        Command.DrainTarget n3 = new Command.DrainTarget(Command.TargetKind.NODE, "n3");
        for (String node : List.of("n2", "n3")) {
            assertEquals(
                    0, store(memberA, "hold", "node", node, "--why", "kernel").code());
        }
        assertEquals(0, store(memberA, "release", "node", "n3").code());
        for (String name : NAMES) {
            World.await(
                    name + " acts on them",
                    () -> holds.getOrDefault(name, Map.of()).containsKey(n2)
                            && !holds.get(name).containsKey(n3));
            copyFolder(folder.resolve(name), folder.resolve("killed-" + name));
        }
        for (String name : NAMES) {
            members.remove(name).stop();
        }
        holds.clear();
        for (String name : NAMES) {
            try (Stream<Path> files = Files.list(folder.resolve(name))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            copyFolder(folder.resolve("killed-" + name), folder.resolve(name));
            RaftMember alone = start(name, tls("own/authority.pem", "own", name));
            World.await("told", () -> holds.containsKey(name));
            assertEquals(java.util.Set.of(n2), holds.get(name).keySet(), name);
            assertFalse(alone.isLeader());
            members.remove(name).stop();
        }
    }

    @Test
    void earlierStoreFormatIsImportedOnce() throws Exception {
        reserveAddresses();
        addresses.keySet().retainAll(List.of("a"));
        Path earlierFolder = folder.resolve("a");
        Files.createDirectories(earlierFolder);
        String content = java.util.Base64.getEncoder().encodeToString("{\"mysql\":{\"user\":\"old\"}}".getBytes());
        String text = "{\"key\":\"document/operator\",\"revision\":7,\"by\":\"p\",\"content\":\"" + content + "\"}\n"
                + "{\"key\":\"session/s1\",\"commit\":4000000000000000}\n";
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(text.getBytes());
        Files.writeString(earlierFolder.resolve("store.jsonl"), text + "{\"crc\":" + crc.getValue() + "}\n");
        start("a", null);
        World.await(
                "imported",
                () -> Files.exists(earlierFolder.resolve("store.jsonl.imported")) && appliedDocuments.containsKey("a"));
        assertEquals(
                "{\"mysql\":{\"user\":\"old\"}}",
                new String(appliedDocuments.get("a").content()));
        World.await("session tokens", () -> tokens.getOrDefault("a", Map.of()).containsKey("s1"));
        members.remove("a").stop();
        start("a", null);
        World.await("elected", () -> members.get("a").isLeader());
        assertTrue(store(operatorFile("a", null), "status").out().contains("revision: 1"));
    }

    @Test
    void filesAreOwnerOnlyAndFolderIsExclusive() throws Exception {
        reserveAddresses();
        start("a", tls("own/authority.pem", "own", "a"));
        assertThrows(IOException.class, () -> new RaftMember(config("a", tls("own/authority.pem", "own", "a"))));
        try (Stream<Path> files = Stream.of(Files.list(keys.resolve("own")), Files.list(folder.resolve("a")))
                .flatMap(stream -> stream)) {
            for (Path file : files.filter(path -> !path.endsWith("lock")).toList()) {
                assertEquals(
                        "rw-------",
                        PosixFilePermissions.toString(Files.getPosixFilePermissions(file)),
                        file.toString());
            }
        }
        OperatorConfig.Store open =
                new OperatorConfig.Store("plant", "z", folder.resolve("z"), "0.0.0.0:1", addresses, null, 0);
        assertTrue(assertThrows(IOException.class, () -> new RaftMember(open))
                .getMessage()
                .startsWith("store.tls is missing"));
        assertNull(appliedDocuments.get("a"));
    }
}
