package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static lupinvalve.integration.PlatformTest.booking;
import static lupinvalve.integration.PlatformTest.calm;
import static lupinvalve.integration.PlatformTest.end;
import static lupinvalve.integration.PlatformTest.messages;
import static lupinvalve.integration.PlatformTest.read;
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

/** Days with trouble: clients, db nodes and discovery that do what they should not. */
class TroubleTest {
    @Test
    void connections_that_rest_make_room_for_new_ones() throws Exception {
        // 64 sockets are the least it plans with; each of these asks once and stays for good.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> staying = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                World.await("served", () -> {
                    try {
                        Socket socket = world.raw("");
                        staying.add(socket);
                        messages(socket, 'Z', 1);
                        return messages(socket, 'Z', 1).contains("I");
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
    void clients_that_keep_all_the_connections_they_may_have_get_some_closed() throws Exception {
        // Of 64 sockets clients may have a third: with all of these kept nobody could ask, though the table has room.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> kept = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                kept.add(world.raw(""));
                messages(kept.get(i), 'Z', 2);
            }
            assertEquals(List.of("end"), messages(kept.get(0), 'Z', 1));
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    @Test
    void silent_connections_give_way_and_end_within_three_seconds() throws Exception {
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket("127.0.0.1", world.daemon.address().getPort()));
            }
            try (Connection client = world.pg()) {
                assertEquals("value", end(client, read("s1", 900)));
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
    void idle_clients_that_fill_the_descriptors_do_not_keep_discovery_out() throws Exception {
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true), new DbNode("s-2", false))) {
            World.await("watching", () -> world.watches.get() == 1);
            world.beats = false;
            long silent = System.nanoTime();
            List<Socket> idle = new ArrayList<>();
            // Whatever is closed comes again at once, until the list is back.
            while (world.watches.get() == 1) {
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
                    return "value".equals(end(client, read("i" + System.nanoTime(), 900)));
                } catch (SQLException e) {
                    return false;
                }
            });
        }
    }

    @Test
    void a_field_that_is_bad_is_answered_with_an_error_and_reaches_no_db_node() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        try (World world = calm(primary, replica);
                Connection client = world.pg()) {
            String good = read("f1", 900);
            for (String bad : List.of(
                    good.replace("id=f1,", ""),
                    good.replace("f1", ""),
                    good.replace("d=900,", ""),
                    good.replace("900", "-900"),
                    good.replace("900", "0"),
                    good.replace("900", "NaN"),
                    good.replace("900", "9e2"),
                    good.replace("900", "0x9"),
                    good.replace("900", "9".repeat(30)),
                    good.replace("cluster=1", "cluster=-1"),
                    good.replace("cluster=1", "cluster=one"),
                    good.replace("bag-status", "bag"),
                    good.replace(" */", ",after=soon */"),
                    good.replace("f1", "f".repeat(200)),
                    "SELECT blob FROM rows")) {
                assertEquals("42601", end(client, bad), bad);
            }
            assertTrue(primary.seen.isEmpty() && replica.seen.isEmpty());
            assertEquals("value", end(client, good));
        }
    }

    @Test
    void the_id_of_anothers_open_request_is_turned_down_and_leaves_that_one_alone() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection stranger = world.pg();
                Socket owner = world.raw(booking("o1", 700))) {
            World.await("out", () -> primary.runs.containsKey("o1"));
            assertEquals("42601", end(stranger, booking("o1", 700)));
            messages(owner, 'Z', 1);
            assertEquals(List.of("E58000", "Z"), messages(owner, 'Z', 1));
            assertEquals(1, primary.seen.size());
            // It is over now, so its name is free again.
            assertEquals("value", end(stranger, booking("o1", 700)));
        }
    }

    @Test
    void clients_that_can_not_be_read_get_an_end_soon_and_disturb_nobody() throws Exception {
        try (World world = calm(new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg()) {
            // A connection that has said nothing ends after 2.6 s by itself, and on a busy machine the rest takes
            // longer.
            assertEquals("value", end(client, read("n0", 900)));
            byte[] noise = "a line that never ends ".repeat(400).getBytes(ISO_8859_1);
            for (String head : List.of("\0\0\0\4", "\377\377\377\377", "\177\377\377\377", "GET / HTTP/1.1\r\n\r\n")) {
                try (Socket bad = new Socket("127.0.0.1", world.daemon.address().getPort())) {
                    gone(bad, head.getBytes(ISO_8859_1), noise);
                }
            }
            for (String head : List.of("Q\0\0\0\3", "Q\200\0\0\0", "Q\3\223\207\0", "?", "Z\0\0\0\5I")) {
                try (Socket bad = world.raw()) {
                    messages(bad, 'Z', 1);
                    gone(bad, head.getBytes(ISO_8859_1), noise);
                }
            }
            try (Socket flood = world.raw()) {
                messages(flood, 'Z', 1);
                byte[] many = ("Q\0\0\0\15SELECT 1\0").repeat(60_000).getBytes(ISO_8859_1);
                World.thread(() -> flood.getOutputStream().write(many));
                messages(flood, 'Z', 60_000);
            }
            assertEquals("value", end(client, read("n1", 900)));
        }
    }

    /** The peer ends the connection, whatever it says before, while it is sent more and more. */
    private static void gone(Socket bad, byte[] head, byte[] noise) throws IOException {
        bad.setSoTimeout(10_000);
        World.thread(() -> {
            bad.getOutputStream().write(head);
            for (int i = 0; i < 6000; i++) {
                bad.getOutputStream().write(noise);
            }
        });
        long start = System.nanoTime();
        try {
            while (bad.getInputStream().read() >= 0) {
                continue;
            }
        } catch (SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
        assertTrue(System.nanoTime() - start < 3_000_000_000L);
    }

    @Test
    void values_of_hundreds_of_kilobytes_pass_both_ways() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.value = "w".repeat(400_000);
        try (World world = calm(primary, replica);
                Connection client = world.pg()) {
            assertEquals(replica.value, end(client, read("l1", 1900)));
            String long800 = booking("l2", 1900).replace("9f", "9f".repeat(400_000));
            assertEquals("value", end(client, long800));
            assertEquals(long800.length(), primary.seen.get(0).length(), 4);
        }
    }

    @Test
    void connections_are_trusted_only_as_long_as_db_nodes_keep_them() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.dropsAfterNanos = 100_000_000L;
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            List<String> ends = new ArrayList<>();
            for (int id = 0; id < 3; id++) {
                ends.add(end(client, booking("r" + id, 900)));
                World.await("rested", () -> System.nanoTime() - primary.restsSince > 150_000_000L);
            }
            // The second was lost with a connection that had rested too long; the third went out on a new one.
            assertEquals(List.of("value", "58000", "value"), ends);
        }
    }

    @Test
    void a_connection_that_was_busy_when_its_db_node_left_is_closed_with_its_answer() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.hold = new CountDownLatch(1);
        try (World world = calm(primary, new DbNode("s-2", false));
                Socket client = world.raw(booking("z1", 2000))) {
            World.await("out", () -> primary.runs.containsKey("z1"));
            World.await("watching", () -> world.watches.get() > 0);
            world.phase(primary, "terminated");
            try (Connection other = world.pg()) {
                // Once the news is there no booking goes out any more.
                World.await("told", () -> {
                    try {
                        int before = primary.seen.size();
                        return "53300".equals(end(other, booking("q" + System.nanoTime(), 100)))
                                && primary.seen.size() == before;
                    } catch (SQLException e) {
                        throw new IllegalStateException(e);
                    }
                });
            }
            primary.hold.countDown();
            messages(client, 'Z', 2);
            World.await("closed", () -> primary.open.get() == 0);
        }
    }

    /** A message of a db node, its length as told, which may be wrong. */
    static String message(char type, int length, String body) {
        return type + "" + (char) (length >> 24 & 255) + (char) (length >> 16 & 255) + (char) (length >> 8 & 255)
                + (char) (length & 255) + body;
    }

    private static final String HEAD = message('T', 29, "\0\1blob\0" + "\0".repeat(18));
    private static final String ROW = message('D', 13, "\0\1\0\0\0\3odd");
    private static final String DONE = message('C', 13, "SELECT 1\0");
    private static final String READY = message('Z', 5, "I");

    @Test
    void a_spoilt_answer_may_have_run_and_its_connection_is_not_used_again() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            int id = 0;
            for (String spoilt : List.of(
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
                primary.strange = spoilt.getBytes(ISO_8859_1);
                primary.script.add(DbNode.Makes.SPOILT);
                assertEquals("58000", end(client, booking("v" + ++id, 900)), spoilt);
                assertEquals("value", end(client, booking("w" + id, 900)), spoilt);
            }
            assertEquals(2 * id, primary.runs.size());
            assertTrue(primary.runs.values().stream().allMatch(runs -> runs == 1));
        }
    }

    @Test
    void what_comes_behind_a_whole_answer_spoils_only_the_connection() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            int id = 0;
            for (String behind : List.of(HEAD + ROW + DONE + READY, "noise", "D", READY)) {
                primary.strange = behind.getBytes(ISO_8859_1);
                primary.script.add(DbNode.Makes.MORE);
                assertEquals("value", end(client, booking("x" + ++id, 900)), behind);
                assertEquals("value", end(client, booking("y" + id, 900)), behind);
                assertEquals(id + 1, primary.met.get(), behind);
            }
        }
    }

    @Test
    void a_hang_up_brings_the_new_discovery_and_a_bad_file_changes_nothing() throws Exception {
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = calm(new DbNode("s-1", true), new DbNode("s-2", false));
                ServerSocket first = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket second = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Files.writeString(file, world.config(first, 1024));
            Process served = new ProcessBuilder(
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
            try (BufferedReader log = served.inputReader()) {
                Matcher port = Pattern.compile("listens on 127.0.0.1:(\\d+)").matcher("");
                port.reset(until(log, "listens on"));
                assertTrue(port.find());
                Socket watch = first.accept();
                AtomicInteger watching = new AtomicInteger();
                World.thread(() -> world.answer(watch, watching));
                World.await("watching", () -> watching.get() == 1);
                for (String bad : List.of(
                        "{\"discovery\":",
                        "{}",
                        world.config(second, 1024).replace("127.0.0.1:" + second.getLocalPort(), "nowhere:8500"))) {
                    Files.writeString(file, bad);
                    hangUp(served);
                    until(log, "the old one stays");
                }
                Files.writeString(file, world.config(second, 1024));
                hangUp(served);
                until(log, "discovery is at");
                Socket next = second.accept();
                // The new one has not answered yet, so the old watch still stands.
                watch.setSoTimeout(100);
                assertThrows(SocketTimeoutException.class, () -> watch.getInputStream()
                        .read());
                World.thread(() -> world.answer(next, new AtomicInteger()));
                watch.setSoTimeout(10_000);
                assertEquals(-1, watch.getInputStream().read());
                try (Connection client = World.pg(Integer.parseInt(port.group(1)))) {
                    assertEquals("value", end(client, read("u1", 900)));
                }
                served.destroy();
                assertEquals(0, served.waitFor());
            } finally {
                served.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static String until(BufferedReader log, String words) throws IOException {
        String line = log.readLine();
        while (!line.contains(words)) {
            line = log.readLine();
        }
        return line;
    }
}
