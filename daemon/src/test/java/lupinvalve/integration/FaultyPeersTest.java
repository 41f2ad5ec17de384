package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static lupinvalve.integration.PlatformTest.booking;
import static lupinvalve.integration.PlatformTest.newWorld;
import static lupinvalve.integration.PlatformTest.queryOutcome;
import static lupinvalve.integration.PlatformTest.read;
import static lupinvalve.integration.PlatformTest.readMessages;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** Clients, db nodes and discovery that violate the protocol or their limits. */
class FaultyPeersTest {
    @Test
    void idleConnectionsAreClosedToMakeRoom() throws Exception {
        // 64 sockets are the minimum that the pooler assumes; each of these clients sends one query and stays
        // connected.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> staying = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                World.await("served", () -> {
                    try {
                        Socket socket = world.raw("");
                        staying.add(socket);
                        readMessages(socket, 'Z', 1);
                        return readMessages(socket, 'Z', 1).contains("I");
                    } catch (IOException e) {
                        return false;
                    }
                });
            }
            for (Socket socket : staying) {
                socket.close();
            }
        }
    }

    @Test
    void idleConnectionsAreClosedWhenClientsUseTheirShareOfSockets() throws Exception {
        // Clients may have a third of 64 sockets for requests: if idle connections kept all of these, no other client
        // could send a request, although the connection table has room.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> kept = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                kept.add(world.raw(""));
                readMessages(kept.get(i), 'Z', 2);
            }
            assertEquals(List.of("end"), readMessages(kept.get(0), 'Z', 1));
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    @Test
    void silentConnectionsAreClosedWithinThreeSeconds() throws Exception {
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket("127.0.0.1", world.daemon.address().getPort()));
            }
            try (Connection client = world.pg()) {
                assertEquals("value", queryOutcome(client, read("s1", 900)));
            }
            long start = System.nanoTime();
            for (Socket socket : silent) {
                socket.setSoTimeout(10_000);
                assertEquals(-1, socket.getInputStream().read());
                socket.close();
            }
            assertTrue(System.nanoTime() - start < 3_000_000_000L);
        }
    }

    @Test
    void idleClientsThatExhaustDescriptorsDoNotBlockDiscovery() throws Exception {
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true), new DbNode("s-2", false))) {
            World.await("watching", () -> world.watchesCount.get() == 1);
            world.heartbeats = false;
            long silent = System.nanoTime();
            List<Socket> idle = new ArrayList<>();
            // Closed connections are reopened at once, until the watch is re-established.
            while (world.watchesCount.get() == 1) {
                assertTrue(System.nanoTime() - silent < 6_000_000_000L);
                idle.add(new Socket("127.0.0.1", world.daemon.address().getPort()));
                if (idle.size() > 400) {
                    idle.remove(0).close();
                }
                Thread.sleep(1);
            }
            for (Socket socket : idle) {
                socket.close();
            }
            World.await("served", () -> {
                try (Connection client = world.pg()) {
                    return "value".equals(queryOutcome(client, read("i" + System.nanoTime(), 900)));
                } catch (SQLException e) {
                    return false;
                }
            });
        }
    }

    @Test
    void invalidFieldIsRejectedAndReachesNoDbNode() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        try (World world = newWorld(primary, replica);
                Connection client = world.pg()) {
            String valid = read("f1", 900);
            for (String invalid : List.of(
                    valid.replace("id=f1,", ""),
                    valid.replace("f1", ""),
                    valid.replace("d=900,", ""),
                    valid.replace("900", "-900"),
                    valid.replace("900", "0"),
                    valid.replace("900", "NaN"),
                    valid.replace("900", "9e2"),
                    valid.replace("900", "0x9"),
                    valid.replace("900", "9".repeat(30)),
                    valid.replace("cluster=1", "cluster=-1"),
                    valid.replace("cluster=1", "cluster=one"),
                    valid.replace("bag-status", "bag"),
                    valid.replace(" */", ",after=soon */"),
                    valid.replace("f1", "f".repeat(200)),
                    "SELECT blob FROM rows")) {
                assertEquals("42601", queryOutcome(client, invalid), invalid);
            }
            assertTrue(primary.seen.isEmpty() && replica.seen.isEmpty());
            assertEquals("value", queryOutcome(client, valid));
        }
    }

    @Test
    void duplicateRequestIdIsRejectedAndDoesNotAffectTheOpenRequest() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection stranger = world.pg();
                Socket owner = world.raw(booking("o1", 700))) {
            World.await("request in flight", () -> primary.runs.containsKey("o1"));
            assertEquals("42601", queryOutcome(stranger, booking("o1", 700)));
            readMessages(owner, 'Z', 1);
            assertEquals(List.of("E58000", "Z"), readMessages(owner, 'Z', 1));
            assertEquals(1, primary.seen.size());
            // The request has ended, so its id may be used again.
            assertEquals("value", queryOutcome(stranger, booking("o1", 700)));
        }
    }

    @Test
    void malformedInputIsDisconnectedAndDoesNotAffectOthers() throws Exception {
        try (World world = newWorld(new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg()) {
            // Served first: a connection that has sent nothing is closed after 2.6 s, and on a busy machine the rest of
            // the test takes longer.
            assertEquals("value", queryOutcome(client, read("n0", 900)));
            byte[] garbage = "a line that never ends ".repeat(400).getBytes(ISO_8859_1);
            for (String head : List.of("\0\0\0\4", "\377\377\377\377", "\177\377\377\377", "GET / HTTP/1.1\r\n\r\n")) {
                try (Socket invalid =
                        new Socket("127.0.0.1", world.daemon.address().getPort())) {
                    assertClosed(invalid, head.getBytes(ISO_8859_1), garbage);
                }
            }
            for (String head : List.of("Q\0\0\0\3", "Q\200\0\0\0", "Q\3\223\207\0", "?", "Z\0\0\0\5I")) {
                try (Socket invalid = world.raw()) {
                    readMessages(invalid, 'Z', 1);
                    assertClosed(invalid, head.getBytes(ISO_8859_1), garbage);
                }
            }
            try (Socket floodingClient = world.raw()) {
                readMessages(floodingClient, 'Z', 1);
                byte[] statements = ("Q\0\0\0\15SELECT 1\0").repeat(60_000).getBytes(ISO_8859_1);
                World.thread(() -> floodingClient.getOutputStream().write(statements));
                readMessages(floodingClient, 'Z', 60_000);
            }
            assertEquals("value", queryOutcome(client, read("n1", 900)));
        }
    }

    /** Asserts that the peer closes the connection within 3 s, whatever it sends before, while it is sent more data. */
    private static void assertClosed(Socket invalid, byte[] head, byte[] garbage) throws IOException {
        invalid.setSoTimeout(10_000);
        World.thread(() -> {
            invalid.getOutputStream().write(head);
            for (int i = 0; i < 6000; i++) {
                invalid.getOutputStream().write(garbage);
            }
        });
        long start = System.nanoTime();
        try {
            while (invalid.getInputStream().read() >= 0) {
                continue;
            }
        } catch (SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
        assertTrue(System.nanoTime() - start < 3_000_000_000L);
    }

    @Test
    void largeValuesPassInBothDirections() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.value = "w".repeat(400_000);
        try (World world = newWorld(primary, replica);
                Connection client = world.pg()) {
            assertEquals(replica.value, queryOutcome(client, read("l1", 1900)));
            String longStatement = booking("l2", 1900).replace("9f", "9f".repeat(400_000));
            assertEquals("value", queryOutcome(client, longStatement));
            assertEquals(longStatement.length(), primary.seen.get(0).length(), 4);
        }
    }

    @Test
    void idleTimeoutAdaptsToDbNodesThatDropConnections() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.dropsAfterNanos = 100_000_000L;
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            List<String> outcomes = new ArrayList<>();
            for (int id = 0; id < 3; id++) {
                outcomes.add(queryOutcome(client, booking("r" + id, 900)));
                World.await("connection idle", () -> System.nanoTime() - primary.restsSince > 150_000_000L);
            }
            // The second write was lost on a connection that had been idle too long; the third was sent on a new one.
            assertEquals(List.of("value", "58000", "value"), outcomes);
        }
    }

    @Test
    void busyConnectionToADepartedDbNodeIsClosedAfterItsAnswer() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.hold = new CountDownLatch(1);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Socket client = world.raw(booking("z1", 2000))) {
            World.await("request in flight", () -> primary.runs.containsKey("z1"));
            World.await("watching", () -> world.watchesCount.get() > 0);
            world.phase(primary, "terminated");
            try (Connection other = world.pg()) {
                // Once the notification has arrived, no write is sent to the primary.
                World.await("departure in force", () -> {
                    try {
                        int before = primary.seen.size();
                        return "53300".equals(queryOutcome(other, booking("q" + System.nanoTime(), 100)))
                                && primary.seen.size() == before;
                    } catch (SQLException e) {
                        throw new IllegalStateException(e);
                    }
                });
            }
            primary.hold.countDown();
            readMessages(client, 'Z', 2);
            World.await("closed", () -> primary.open.get() == 0);
        }
    }

    /** Encodes a message of a db node with the given length field, which may be wrong. */
    static String message(char type, int length, String body) {
        return type + "" + (char) (length >> 24 & 255) + (char) (length >> 16 & 255) + (char) (length >> 8 & 255)
                + (char) (length & 255) + body;
    }

    private static final String HEAD = message('T', 29, "\0\1blob\0" + "\0".repeat(18));
    private static final String ROW = message('D', 13, "\0\1\0\0\0\3odd");
    private static final String DONE = message('C', 13, "SELECT 1\0");
    private static final String READY = message('Z', 5, "I");

    @Test
    void invalidAnswerCountsAsExecutedAndItsConnectionIsClosed() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            int id = 0;
            for (String invalidAnswer : List.of(
                    "noise without an end ".repeat(40),
                    "\0\0\0",
                    HEAD + message('D', -1294967296, "\0\1\0\0\0\3odd"),
                    HEAD + message('D', 13, "\0\1\0\0\0\7odd") + DONE + READY,
                    HEAD + message('D', 14, "\0\1\0\0\0\3odd") + DONE + READY,
                    HEAD + message('D', 13, "\0\2\0\0\0\3odd") + DONE + READY,
                    HEAD + ROW + ROW + DONE + READY,
                    ROW + DONE + READY,
                    HEAD + ROW + READY,
                    READY,
                    HEAD + ROW + message('C', 12, "SELECT 1") + READY,
                    HEAD + ROW + DONE + message('Z', 5, "?"),
                    HEAD + ROW + DONE + message('Z', 6, "I"),
                    HEAD + message('E', 9, "Cno\0\0") + READY)) {
                primary.strange = invalidAnswer.getBytes(ISO_8859_1);
                primary.script.add(DbNode.Makes.SPOILT);
                assertEquals("58000", queryOutcome(client, booking("v" + ++id, 900)), invalidAnswer);
                assertEquals("value", queryOutcome(client, booking("w" + id, 900)), invalidAnswer);
            }
            assertEquals(2 * id, primary.runs.size());
            assertTrue(primary.runs.values().stream().allMatch(runs -> runs == 1));
        }
    }

    @Test
    void extraBytesAfterAnAnswerOnlyCloseTheConnection() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            int id = 0;
            for (String extraBytes : List.of(HEAD + ROW + DONE + READY, "noise", "D", READY)) {
                primary.strange = extraBytes.getBytes(ISO_8859_1);
                primary.script.add(DbNode.Makes.MORE);
                assertEquals("value", queryOutcome(client, booking("x" + ++id, 900)), extraBytes);
                assertEquals("value", queryOutcome(client, booking("y" + id, 900)), extraBytes);
                assertEquals(id + 1, primary.met.get(), extraBytes);
            }
        }
    }

    @Test
    void sighupAppliesNewDiscoveryAndInvalidFileChangesNothing() throws Exception {
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = newWorld(new DbNode("s-1", true), new DbNode("s-2", false));
                ServerSocket first = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket second = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Files.writeString(file, world.config(first, 1024));
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "lupinvalve.cli.Main",
                            "serve",
                            "--config",
                            file.toString())
                    .redirectErrorStream(true)
                    .start();
            try (BufferedReader log = process.inputReader()) {
                Matcher port = Pattern.compile("listens on 127.0.0.1:(\\d+)").matcher("");
                port.reset(awaitLine(log, "listens on"));
                assertTrue(port.find());
                Socket watch = first.accept();
                AtomicInteger watching = new AtomicInteger();
                World.thread(() -> world.answer(watch, watching));
                World.await("watching", () -> watching.get() == 1);
                for (String invalid : List.of(
                        "{\"discovery\":",
                        "{}",
                        world.config(second, 1024).replace("127.0.0.1:" + second.getLocalPort(), "nowhere:8500"))) {
                    Files.writeString(file, invalid);
                    sendSighup(process);
                    awaitLine(log, "the old one stays");
                }
                Files.writeString(file, world.config(second, 1024));
                sendSighup(process);
                awaitLine(log, "discovery is at");
                Socket next = second.accept();
                // The new discovery server has not answered yet, so the old watch is still open.
                watch.setSoTimeout(100);
                assertThrows(SocketTimeoutException.class, () -> watch.getInputStream()
                        .read());
                World.thread(() -> world.answer(next, new AtomicInteger()));
                watch.setSoTimeout(10_000);
                assertEquals(-1, watch.getInputStream().read());
                try (Connection client = World.pg(Integer.parseInt(port.group(1)))) {
                    assertEquals("value", queryOutcome(client, read("u1", 900)));
                }
                process.destroy();
                assertEquals(0, process.waitFor());
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static String awaitLine(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (!line.contains(text)) {
            line = log.readLine();
        }
        return line;
    }
}
