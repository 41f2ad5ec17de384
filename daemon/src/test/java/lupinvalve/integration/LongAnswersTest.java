package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Values that are passed on in pieces. */
class LongAnswersTest {
    private static final String HEAD = "T\0\0\0\35\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0";

    @TempDir
    private Path shared;

    /** A row as it begins: what its lengths say, and so many bytes of it. */
    private static byte[] begun(int length, int valueLength, int sent) {
        StringBuilder text = new StringBuilder(HEAD).append('D');
        int32(text, length + 10);
        int32(text.append("\0\1"), valueLength);
        return text.append("x".repeat(sent)).toString().getBytes(ISO_8859_1);
    }

    private static void int32(StringBuilder text, int n) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            text.append((char) (n >> shift & 255));
        }
    }

    private static long figure(World world, String name) throws IOException {
        return world.call("counters")
                .lines()
                .filter(l -> l.startsWith("edge_node." + name + "="))
                .mapToLong(l -> Long.parseLong(l.split("=")[1]))
                .findAny()
                .orElseThrow();
    }

    @Test
    void longValuesComeWholeManyAtOnceAndConnectionsGoOn() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        replica.value = "v".repeat((4 << 20) - 7);
        DbNode primary = new DbNode("s-1", true);
        primary.value = replica.value;
        try (World world = PlatformTest.calm(primary, replica)) {
            List<FutureTask<Integer>> asked = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String id = "a" + i;
                FutureTask<Integer> task = new FutureTask<>(() -> {
                    try (Connection client = world.pg()) {
                        int whole = 0;
                        for (int n = 0; n < 3; n++) {
                            whole += replica.value.equals(PlatformTest.end(client, PlatformTest.read(id + n, 2000)))
                                    ? 1
                                    : 0;
                        }
                        return whole;
                    }
                });
                asked.add(task);
                World.thread(task::run);
            }
            for (FutureTask<Integer> task : asked) {
                assertEquals(3, task.get());
            }
            // A booking's position must be known before its client hears, so it is held whole; its value is as long.
            try (Connection client = world.pg()) {
                assertEquals(primary.value, PlatformTest.end(client, PlatformTest.booking("b", 2000)));
            }
        }
    }

    @Test
    void theFirstBytesComeBeforeTheRestAndABrokenValueIsNotWhole() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.strange = begun(1 << 20, 1 << 20, 100_000);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = new World(1024, lupinvalve.config.OperatorConfig.NONE, shared, primary, replica);
                Socket client = world.raw(PlatformTest.read("a", 400))) {
            PlatformTest.messages(client, 'Z', 1);
            DataInputStream in = new DataInputStream(client.getInputStream());
            assertEquals("T", "" + (char) in.read());
            in.skipNBytes(in.readInt() - 4);
            assertEquals("D", "" + (char) in.read());
            assertEquals((1 << 20) + 10, in.readInt());
            in.skipNBytes(6 + 100_000);
            // Its time runs out; what has begun has no deadline.
            Thread.sleep(600);
            assertEquals(0, in.available());
            assertEquals(1, figure(world, "in_flight"));
            replica.close();
            // The row is filled up to its length and voided by an error, so that its client can tell; the connection
            // goes on.
            in.skipNBytes((1 << 20) - 100_000);
            assertEquals(List.of("E58000", "Z"), PlatformTest.messages(client, 'Z', 1));
            assertEquals(1, figure(world, "requests.bag-status.failed"));
            assertEquals(0, figure(world, "in_flight"));
        }
    }

    @Test
    void lengthsThatDisagreeAreSpoiltBeforeAnythingIsPassedOn() throws Exception {
        for (byte[] strange :
                List.of(begun(1 << 20, 99, 70_000), begun((4 << 20) + 100_000, (4 << 20) + 100_000, 70_000))) {
            DbNode primary = new DbNode("s-1", true);
            DbNode replica = new DbNode("s-2", false);
            replica.strange = strange;
            replica.script.add(DbNode.Makes.SPOILT);
            try (World world = PlatformTest.calm(primary, replica);
                    Connection client = world.pg()) {
                // It may have run, and is safe to repeat: the primary serves it.
                assertEquals("value", PlatformTest.end(client, PlatformTest.read("a", 900)));
            }
        }
    }

    @Test
    void whatComesBehindALongRowIsCheckedAndItsClientIsNotToldThatItIsWhole() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        byte[] row = begun(100_000, 100_000, 100_000);
        replica.strange = Arrays.copyOf(row, row.length + 1);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = PlatformTest.calm(new DbNode("s-1", true), replica);
                Socket client = world.raw(PlatformTest.read("a", 900))) {
            assertEquals(
                    List.of("T", "D", "E58000", "Z"),
                    PlatformTest.messages(client, 'Z', 2).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /** A long answer that breaks off takes none of those with it that are due behind it. */
    @Test
    void whatIsDueBehindAnAnswerThatBreaksOffIsAnsweredOnTheSameConnection() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.strange = begun(1 << 20, 1 << 20, 100_000);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = PlatformTest.calm(primary, replica);
                Socket client = world.raw(PlatformTest.read("a", 900))) {
            World.await("it has begun", () -> replica.runs.containsKey("a"));
            client.getOutputStream().write(World.query(PlatformTest.booking("b", 900)));
            client.getOutputStream().write(World.query(PlatformTest.booking("c", 900)));
            World.await("the others have run", () -> primary.runs.size() == 2);
            replica.close();
            assertEquals(
                    List.of("T", "D", "E58000", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.messages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /**
     * Answers that must be held whole, several at once, for a client that reads slowly: none ends its connection, and
     * all are whole.
     */
    @Test
    void aClientThatReadsSlowlyGetsAllThatItAskedForAtOnce() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.value = "v".repeat(3 << 20);
        try (World world = PlatformTest.calm(primary, new DbNode("s-2", false));
                Socket client = world.raw(
                        PlatformTest.booking("a", 2000),
                        PlatformTest.booking("b", 2000),
                        PlatformTest.booking("c", 2000))) {
            World.await("all have run", () -> primary.runs.size() == 3);
            long begun = System.nanoTime();
            // Longer than a connection that nobody reads would be kept for.
            World.await("rests", () -> System.nanoTime() - begun > 4_500_000_000L);
            assertEquals(
                    List.of("T", "D", "C", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.messages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    @Test
    void oneThatIsNotItsTurnYetWaitsForThoseBeforeIt() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.value = "v".repeat(300_000);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = PlatformTest.calm(primary, replica);
                Socket client = world.raw(PlatformTest.booking("a", 600), PlatformTest.read("b", 2000))) {
            assertEquals(
                    List.of("E58000", "Z", "T", "D", "C", "Z"),
                    PlatformTest.messages(client, 'Z', 3).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /**
     * What the program leaves unanswered by its own end is lost: it waits for a client that reads slowly, however late
     * that is.
     */
    @Test
    void theEndOfTheProgramWaitsForAnswersThatAreBeingRead() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.value = "v".repeat((4 << 20) - 7);
        DbNode replica = new DbNode("s-2", false);
        replica.value = primary.value;
        try (World world = PlatformTest.calm(primary, replica);
                Socket client = world.raw(
                        PlatformTest.read("a", 900), PlatformTest.booking("b", 900), PlatformTest.booking("c", 900))) {
            World.await("all have run", () -> primary.runs.size() + replica.runs.size() >= 3);
            CountDownLatch ended = new CountDownLatch(1);
            world.daemon.drain(ended::countDown);
            assertFalse(ended.await(3_500, TimeUnit.MILLISECONDS), "longer than the platform waits");
            assertEquals(
                    List.of("T", "D", "C", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.messages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
            assertTrue(ended.await(10, TimeUnit.SECONDS));
        }
    }
}
