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

/** Three members over real sockets with certificates, and what operators ask of them on the command line. */
class GroupTest {
    private static final List<String> NAMES = List.of("a", "b", "c");

    @TempDir
    private static Path keys;

    @TempDir
    private Path folder;

    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, RaftMember> groups = new HashMap<>();
    private final Map<String, ReplicatedState.Document> acting = new ConcurrentHashMap<>();
    private final Map<String, Map<Command.DrainTarget, ReplicatedState.Drain>> holds = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Long>> tokens = new ConcurrentHashMap<>();

    private OperatorConfig.Audit audit = OperatorConfig.Audit.OFF;

    @BeforeAll
    static void authorities() throws Exception {
        Log.setOutput(new PrintStream(new ByteArrayOutputStream()));
        Keys.make(keys.resolve("own"), NAMES);
        Keys.make(keys.resolve("foreign"), List.of("c"));
        Keys.make(keys.resolve("old"), List.of("c"), List.of("-startdate", "-10d", "-validity", "5"));
        // Signed by the right authority's name, but out of time: only the authority's file is shared.
        Files.copy(keys.resolve("old/authority.pem"), keys.resolve("both.pem"));
        Files.write(
                keys.resolve("both.pem"),
                Files.readAllBytes(keys.resolve("own/authority.pem")),
                java.nio.file.StandardOpenOption.APPEND);
    }

    @AfterAll
    static void loud() {
        Log.setOutput(System.err);
    }

    @AfterEach
    void end() {
        groups.values().forEach(RaftMember::stop);
    }

    private void places() throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        for (String name : NAMES) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
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
        RaftMember group = new RaftMember(config(name, tls));
        groups.put(name, group);
        group.start(new ControlPlane.Listener() {
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
                acting.put(name, document);
            }

            @Override
            public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> now) {
                holds.put(name, now);
            }

            @Override
            public void commitsAccepted(Command.SessionCommits commits) {
                tokens.computeIfAbsent(name, n -> new ConcurrentHashMap<>()).putAll(commits.positions());
            }
        });
        return group;
    }

    private Path file(String name, OperatorConfig.Tls tls) throws IOException {
        StringBuilder members = new StringBuilder();
        addresses.forEach(
                (n, at) -> members.append(members.isEmpty() ? "" : ",").append("\"" + n + "\":\"" + at + "\""));
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

    private record Said(int code, String out, String err) {}

    /** The command line, as operators have it. */
    private static Said store(Path operator, String... words) throws Exception {
        StoreCommand command = new StoreCommand();
        List<String> line = new ArrayList<>(List.of(words));
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
            return new Said(
                    code,
                    out.toString(StandardCharsets.UTF_8).strip(),
                    err.toString(StandardCharsets.UTF_8).strip());
        } catch (IOException | IllegalArgumentException e) {
            return new Said(1, "", e.getMessage());
        } finally {
            Log.setLevel(before);
        }
    }

    private Path document(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "document", ".json"), text);
    }

    private void all() throws IOException {
        places();
        for (String name : NAMES) {
            start(name, tls("own/authority.pem", "own", name));
        }
    }

    @Test
    void operatorsPutHoldAndReplaceAMemberThatLostItsDisk() throws Exception {
        all();
        Path a = file("a", tls("own/authority.pem", "own", "operator"));
        Path c = file("c", tls("own/authority.pem", "own", "c"));
        String document = document("{\"mysql\":{\"user\":\"portal\",\"password\":\"towel\"}}")
                .toString();
        assertEquals(new Said(0, "changed: true\nrevision: 1", ""), store(c, "put", document, "--revision", "0"));
        assertEquals(
                new Said(StoreCommand.CONFLICT, "", "lupinvalve: revision 1 holds by now"),
                store(a, "put", document, "--revision", "0"));
        Said bad = store(a, "put", document("{\"mysql\":{\"usr\":1}}").toString(), "--revision", "1");
        assertTrue(bad.code() == 1 && bad.err().endsWith("mysql.usr is unknown"), bad.err());
        World.await("adopted by all", () -> acting.size() == 3);
        assertEquals(
                1,
                acting.values().stream()
                        .map(ReplicatedState.Document::digest)
                        .distinct()
                        .count());
        assertTrue(store(a, "get").out().contains("document.mysql.password: ***"));
        assertTrue(store(a, "get", "--show-secrets").out().contains("document.mysql.password: towel"));
        assertEquals(0, store(a, "hold", "node", "db-7", "--why", "new disk").code());
        World.await(
                "held everywhere",
                () -> holds.values().stream().filter(h -> h.size() == 1).count() == 3);
        assertTrue(store(c, "holds").out().contains("holds.0.why: new disk"));
        assertEquals(0, store(a, "release", "node", "db-7").code());

        groups.remove("b").stop();
        assertTrue(store(null, "verify", folder.resolve("b").toString()).out().contains("revision: 1"));
        Files.move(folder.resolve("b"), folder.resolve("b-lost"));
        start("b", tls("own/authority.pem", "own", "b"));
        Said added = store(a, "add", "b", "--json");
        assertEquals(0, added.code(), added.err());
        assertEquals(3, added.out().split("\"votes\"").length - 1);
        groups.remove("a").stop();
        // A put that is under way as a leader goes may have happened; a read waits for the next one.
        Said next = store(c, "get", "--seconds", "30");
        assertTrue(next.out().contains("revision: 1"), "the new one counts: " + next);
        assertEquals(0, store(c, "put", document, "--revision", "1").code());
        Said again = store(c, "remove", "c");
        assertTrue(again.code() == 1 && again.err().contains("no majority"), again.err());
        assertTrue(store(c, "status").out().contains("phase: founded"));
    }

    @Test
    void aStrictChangeWaitsForThoseWhoMayStillActAndTheAuditTellsWhoDid() throws Exception {
        audit = OperatorConfig.Audit.FENCE;
        places();
        for (String name : NAMES) {
            start(name, null);
        }
        Path a = file("a", null);
        World.await("all may act", () -> groups.values().stream().allMatch(RaftMember::mayServe));
        String first = document("{\"mysql\":{\"user\":\"one\"}}").toString();
        Said put = store(a, "put", first, "--revision", "0", "--strict");
        assertEquals(0, put.code(), put.err());
        assertEquals(3, acting.size(), "all act on it by the time of the answer");
        Said turned = store(
                a,
                "put",
                document("{\"dns_sd\":{\"resolver\":\"127.0.0.1:53\",\"service\":\"_x._tcp.example.org\"}}")
                        .toString(),
                "--revision",
                "1");
        assertTrue(
                turned.code() == 1 && turned.err().contains("dns_sd: members that run can't turn to DNS-SD"),
                turned.err());

        RaftMember gone = groups.remove("c");
        gone.stop();
        long start = System.nanoTime();
        Said held = store(a, "hold", "node", "db-7", "--strict", "--seconds", "20");
        assertEquals(0, held.code(), held.err());
        long tookMillis = (System.nanoTime() - start) / 1_000_000;
        assertTrue(held.out().contains("waited_for: c") && tookMillis > 500, held.out() + " in " + tookMillis + " ms");
        assertTrue(!gone.mayServe(), "it may act no more by the time of the answer");
        World.await("its end is known as one", () -> {
            try {
                return store(a, "audit", "stragglers").out().contains("stragglers.0.pooler: c");
            } catch (Exception e) {
                return false;
            }
        });
        String acted = store(a, "audit", "version", "1").out();
        for (String name : List.of("a", "b")) {
            assertTrue(acted.contains("pooler: " + name), acted);
        }
        assertTrue(store(a, "audit", "at", Long.toString(System.currentTimeMillis() * 1000))
                .out()
                .contains("acted_on: 1-"));
        assertEquals(1, store(a, "audit", "who").code());
        // What it noted of its own end comes once it is back; without the others it may not act.
        groups.remove("b").stop();
        World.await("one alone is fenced", () -> !groups.get("a").mayServe());
        String kept =
                store(null, "audit", "verify", folder.resolve("b").toString()).out();
        assertTrue(kept.contains("lives: 1") && kept.contains("acted.0: 1-"), kept);
        start("b", null);
        start("c", null);
        World.await("all may act again", () -> groups.values().stream().allMatch(RaftMember::mayServe));
        World.await("late entries fit in", () -> {
            try {
                String of = store(a, "audit", "pooler", "c").out();
                return of.contains("why: ended") && !of.contains("chain_breaks.0");
            } catch (Exception e) {
                return false;
            }
        });
    }

    @Test
    void nobodyIsLetInByAForeignAnOldOrAnotherOnesCertificate() throws Exception {
        places();
        start("a", tls("both.pem", "own", "a"));
        start("b", tls("both.pem", "own", "b"));
        start("c", tls("both.pem", "old", "c"));
        Path foreign = file(
                "c",
                new OperatorConfig.Tls(
                        keys.resolve("both.pem"), keys.resolve("foreign/c.pem"), keys.resolve("foreign/c.key")));
        assertTrue(store(foreign, "members", "--seconds", "1").code() != 0);
        Thread.sleep(500);
        assertEquals(
                0,
                groups.values().stream().filter(RaftMember::isLeader).count(),
                "without the third nothing is founded");
        // With a certificate that is good by now, read anew, it is let in.
        groups.remove("c").stop();
        start("c", tls("both.pem", "own", "c"));
        World.await("founded", () -> groups.values().stream().anyMatch(RaftMember::isLeader));
        for (RaftMember group : groups.values()) {
            group.reloadCertificates();
        }
        assertEquals(
                0,
                store(
                                file("b", tls("both.pem", "own", "b")),
                                "put",
                                document("{}").toString(),
                                "--revision",
                                "0")
                        .code());
    }

    @Test
    void aRestartGoesOnWithWhatWasAcceptedThoughItIsAlone() throws Exception {
        all();
        Path a = file("a", tls("own/authority.pem", "own", "a"));
        assertEquals(
                0,
                store(a, "put", document("{\"mysql\":{\"user\":\"x\"}}").toString(), "--revision", "0")
                        .code());
        AtomicInteger held = new AtomicInteger();
        groups.get("b").publishCommit("session-1", 4_000_000_000_000_000L, held::incrementAndGet);
        World.await("a majority holds the token", () -> held.get() == 1);
        World.await("adopted by all", () -> acting.size() == 3);
        for (String name : NAMES) {
            groups.remove(name).stop();
        }
        acting.clear();
        RaftMember alone = start("a", tls("own/authority.pem", "own", "a"));
        World.await("acted on", () -> acting.containsKey("a"));
        assertEquals(1, acting.get("a").revision());
        assertEquals(1, alone.initialReplicatedState().revision());
        assertFalse(alone.isLeader());
        Said put = store(a, "put", document("{}").toString(), "--revision", "1", "--seconds", "1");
        assertEquals(StoreCommand.NOBODY, put.code(), put.err());
        World.await("says so", () -> {
            try {
                return store(a, "status").out().contains("cut_off: true");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(store(a, "status").out().contains("acting: serving with revision 1"));
    }

    @Test
    void whatTheEarlierStoreLeftIsTakenOverOnce() throws Exception {
        places();
        addresses.keySet().retainAll(List.of("a"));
        Path left = folder.resolve("a");
        Files.createDirectories(left);
        String content = java.util.Base64.getEncoder().encodeToString("{\"mysql\":{\"user\":\"old\"}}".getBytes());
        String text = "{\"key\":\"document/operator\",\"revision\":7,\"by\":\"p\",\"content\":\"" + content + "\"}\n"
                + "{\"key\":\"session/s1\",\"commit\":4000000000000000}\n";
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(text.getBytes());
        Files.writeString(left.resolve("store.jsonl"), text + "{\"crc\":" + crc.getValue() + "}\n");
        start("a", null);
        World.await("taken over", () -> Files.exists(left.resolve("store.jsonl.imported")) && acting.containsKey("a"));
        assertEquals(
                "{\"mysql\":{\"user\":\"old\"}}", new String(acting.get("a").content()));
        World.await("tokens", () -> tokens.getOrDefault("a", Map.of()).containsKey("s1"));
        groups.remove("a").stop();
        start("a", null);
        World.await("led", () -> groups.get("a").isLeader());
        assertTrue(store(file("a", null), "status").out().contains("revision: 1"));
    }

    @Test
    void filesAreForTheirOwnerAloneAndAFolderIsForOneProcess() throws Exception {
        places();
        start("a", tls("own/authority.pem", "own", "a"));
        assertThrows(IOException.class, () -> new RaftMember(config("a", tls("own/authority.pem", "own", "a"))));
        try (Stream<Path> files = Stream.of(Files.list(keys.resolve("own")), Files.list(folder.resolve("a")))
                .flatMap(s -> s)) {
            for (Path file : files.filter(f -> !f.endsWith("lock")).toList()) {
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
        assertNull(acting.get("a"));
    }
}
