package lupinvalve.stories;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static lupinvalve.stories.PlatformTest.booking;
import static lupinvalve.stories.PlatformTest.calm;
import static lupinvalve.stories.PlatformTest.end;
import static lupinvalve.stories.PlatformTest.messages;
import static lupinvalve.stories.PlatformTest.read;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.List;
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
        try (World world = calm(primary, new DbNode("s-2", false)); Connection client = world.pg()) {
            int id = 0;
            for (String spoilt : List.of("noise without an end ".repeat(40), "\0\0\0",
                    HEAD + message('D', -1294967296, "\0\1\0\0\0\3odd"),
                    HEAD + message('D', 13, "\0\1\0\0\0\7odd") + DONE + READY,
                    HEAD + message('D', 14, "\0\1\0\0\0\3odd") + DONE + READY,
                    HEAD + message('D', 13, "\0\2\0\0\0\3odd") + DONE + READY, HEAD + ROW + ROW + DONE + READY,
                    ROW + DONE + READY, HEAD + ROW + READY, READY, HEAD + ROW + message('C', 12, "SELECT 1") + READY,
                    HEAD + ROW + DONE + message('Z', 5, "?"), HEAD + ROW + DONE + message('Z', 6, "I"),
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
        try (World world = calm(primary, new DbNode("s-2", false)); Connection client = world.pg()) {
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
            Process served = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp", System.getProperty("java.class.path"), "lupinvalve.cli.Main", "serve", "--config",
                    file.toString()).redirectErrorStream(true).start();
            try (BufferedReader log = served.inputReader()) {
                Matcher port = Pattern.compile("listens on 127.0.0.1:(\\d+)").matcher("");
                port.reset(until(log, "listens on"));
                assertTrue(port.find());
                Socket watch = first.accept();
                AtomicInteger watching = new AtomicInteger();
                World.thread(() -> world.answer(watch, watching));
                World.await("watching", () -> watching.get() == 1);
                Files.writeString(file, "{\"discovery\":");
                hangUp(served);
                until(log, "the old one stays");
                Files.writeString(file, world.config(second, 1024));
                hangUp(served);
                until(log, "discovery is at");
                Socket next = second.accept();
                // The new one has not answered yet, so the old watch still stands.
                watch.setSoTimeout(100);
                assertThrows(SocketTimeoutException.class, () -> watch.getInputStream().read());
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
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static String until(BufferedReader log, String words) throws IOException {
        String line = log.readLine();
        while (!line.contains(words)) {
            line = log.readLine();
        }
        return line;
    }
}
