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

/** Large values, which the pooler streams to the client in chunks. */
class LongAnswersTest {
    private static final String HEAD = "T\0\0\0\35\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0";

    @TempDir
    private Path sharedDirectory;

    /** The start of a row: its length fields, and the first {@code sent} bytes of its value. */
    private static byte[] startOfRow(int length, int valueLength, int sent) {
        StringBuilder text = new StringBuilder(HEAD).append('D');
        int32(text, length + 10);
        int32(text.append("\0\1"), valueLength);
        return text.append("x".repeat(sent)).toString().getBytes(ISO_8859_1);
    }

    private static void int32(StringBuilder text, int number) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            text.append((char) (number >> shift & 255));
        }
    }

    private static long counter(World world, String name) throws IOException {
        return world.call("counters")
                .lines()
                .filter(line -> line.startsWith("edge_node." + name + "="))
                .mapToLong(line -> Long.parseLong(line.split("=")[1]))
                .findAny()
                .orElseThrow();
    }

    @Test
    void concurrentLongValuesArriveCompleteAndConnectionsStayUsable() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        replica.value = "v".repeat((4 << 20) - 7);
        DbNode primary = new DbNode("s-1", true);
        primary.value = replica.value;
        try (World world = PlatformTest.newWorld(primary, replica)) {
            List<FutureTask<Integer>> tasks = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String id = "a" + i;
                FutureTask<Integer> task = new FutureTask<>(() -> {
                    try (Connection client = world.pg()) {
                        int complete = 0;
                        for (int number = 0; number < 3; number++) {
                            complete += replica.value.equals(
                                            PlatformTest.queryOutcome(client, PlatformTest.read(id + number, 2000)))
                                    ? 1
                                    : 0;
                        }
                        return complete;
                    }
                });
                tasks.add(task);
                World.thread(task::run);
            }
            for (FutureTask<Integer> task : tasks) {
                assertEquals(3, task.get());
            }
            // A write's log position must be known before its answer is sent, so the answer is buffered whole; its
            // value is as long.
            try (Connection client = world.pg()) {
                assertEquals(primary.value, PlatformTest.queryOutcome(client, PlatformTest.booking("b", 2000)));
            }
        }
    }

    @Test
    void valuesAreStreamedAndTruncationIsDetectable() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.strange = startOfRow(1 << 20, 1 << 20, 100_000);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = new World(1024, lupinvalve.config.OperatorConfig.NONE, sharedDirectory, primary, replica);
                Socket client = world.raw(PlatformTest.read("a", 400))) {
            PlatformTest.readMessages(client, 'Z', 1);
            DataInputStream in = new DataInputStream(client.getInputStream());
            assertEquals("T", "" + (char) in.read());
            in.skipNBytes(in.readInt() - 4);
            assertEquals("D", "" + (char) in.read());
            assertEquals((1 << 20) + 10, in.readInt());
            in.skipNBytes(6 + 100_000);
            // The request's deadline passes; a streamed answer that has begun goes on for a while.
            Thread.sleep(600);
            assertEquals(0, in.available());
            assertEquals(1, counter(world, "in_flight"));
            replica.close();
            // The row is padded to its length and followed by an error, so that the client detects the truncation; the
            // connection remains usable.
            in.skipNBytes((1 << 20) - 100_000);
            assertEquals(List.of("E58000", "Z"), PlatformTest.readMessages(client, 'Z', 1));
            assertEquals(1, counter(world, "requests.bag-status.failed"));
            assertEquals(0, counter(world, "in_flight"));
        }
    }

    /** Guards against a client that waits 15 s past its time for the rest of an answer, as its db node hangs. */
    @Test
    void aDbNodeThatFallsSilentEndsItsAnswerSoonAfterTheClientsTime() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        replica.strange = startOfRow(1 << 20, 1 << 20, 100_000);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = PlatformTest.newWorld(new DbNode("s-1", true), replica);
                Socket client = world.raw(PlatformTest.read("a", 400))) {
            long startNanos = System.nanoTime();
            assertEquals(
                    List.of("T", "D", "E58000", "Z"),
                    PlatformTest.readMessages(client, 'Z', 2).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            // An answer up to half a second after its client's time is late; a later one is lost.
            assertTrue(tookMillis >= 400 && tookMillis <= 400 + 500 + 50, tookMillis + " ms");
        }
    }

    @Test
    void inconsistentLengthsAreRejectedBeforeForwarding() throws Exception {
        for (byte[] strange : List.of(
                startOfRow(1 << 20, 99, 70_000), startOfRow((4 << 20) + 100_000, (4 << 20) + 100_000, 70_000))) {
            DbNode primary = new DbNode("s-1", true);
            DbNode replica = new DbNode("s-2", false);
            replica.strange = strange;
            replica.script.add(DbNode.Makes.SPOILT);
            try (World world = PlatformTest.newWorld(primary, replica);
                    Connection client = world.pg()) {
                // The read may have been executed and is safe to retry: the primary serves it.
                assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.read("a", 900)));
            }
        }
    }

    @Test
    void invalidBytesAfterALongRowEndItsAnswerWithAnError() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        byte[] row = startOfRow(100_000, 100_000, 100_000);
        replica.strange = Arrays.copyOf(row, row.length + 1);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = PlatformTest.newWorld(new DbNode("s-1", true), replica);
                Socket client = world.raw(PlatformTest.read("a", 900))) {
            assertEquals(
                    List.of("T", "D", "E58000", "Z"),
                    PlatformTest.readMessages(client, 'Z', 2).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /** A truncated long answer does not affect the answers that follow it on the same connection. */
    @Test
    void requestsBehindATruncatedAnswerAreAnsweredOnTheSameConnection() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.strange = startOfRow(1 << 20, 1 << 20, 100_000);
        replica.script.add(DbNode.Makes.SPOILT);
        try (World world = PlatformTest.newWorld(primary, replica);
                Socket client = world.raw(PlatformTest.read("a", 900))) {
            World.await("the answer has begun", () -> replica.runs.containsKey("a"));
            client.getOutputStream().write(World.query(PlatformTest.booking("b", 900)));
            client.getOutputStream().write(World.query(PlatformTest.booking("c", 900)));
            World.await("the other requests were executed", () -> primary.runs.size() == 2);
            replica.close();
            assertEquals(
                    List.of("T", "D", "E58000", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.readMessages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /**
     * Several answers that must be buffered whole for a client that reads slowly: the connection stays open, and all
     * arrive complete.
     */
    @Test
    void slowReaderReceivesAllPipelinedAnswers() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.value = "v".repeat(3 << 20);
        try (World world = PlatformTest.newWorld(primary, new DbNode("s-2", false));
                Socket client = world.raw(
                        PlatformTest.booking("a", 2000),
                        PlatformTest.booking("b", 2000),
                        PlatformTest.booking("c", 2000))) {
            World.await("all requests were executed", () -> primary.runs.size() == 3);
            long startNanos = System.nanoTime();
            // Longer than the time after which a connection that is not read would be closed.
            World.await("client pauses", () -> System.nanoTime() - startNanos > 4_500_000_000L);
            assertEquals(
                    List.of("T", "D", "C", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.readMessages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    @Test
    void pipelinedAnswersKeepTheirOrder() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        replica.value = "v".repeat(300_000);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = PlatformTest.newWorld(primary, replica);
                Socket client = world.raw(PlatformTest.booking("a", 600), PlatformTest.read("b", 2000))) {
            assertEquals(
                    List.of("E58000", "Z", "T", "D", "C", "Z"),
                    PlatformTest.readMessages(client, 'Z', 3).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
        }
    }

    /**
     * A request that is unanswered when the program exits counts as lost: the shutdown waits for a client that reads
     * slowly, without a time limit.
     */
    @Test
    void shutdownWaitsForAnswersThatAreBeingRead() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.value = "v".repeat((4 << 20) - 7);
        DbNode replica = new DbNode("s-2", false);
        replica.value = primary.value;
        try (World world = PlatformTest.newWorld(primary, replica);
                Socket client = world.raw(
                        PlatformTest.read("a", 900), PlatformTest.booking("b", 900), PlatformTest.booking("c", 900))) {
            World.await("all requests were executed", () -> primary.runs.size() + replica.runs.size() >= 3);
            CountDownLatch ended = new CountDownLatch(1);
            world.daemon.drain(ended::countDown);
            assertFalse(ended.await(3_500, TimeUnit.MILLISECONDS), "waits past the platform's SIGKILL");
            assertEquals(
                    List.of("T", "D", "C", "Z", "T", "D", "C", "Z", "T", "D", "C", "Z"),
                    PlatformTest.readMessages(client, 'Z', 4).stream()
                            .skip(PlatformTest.GREETING)
                            .toList());
            assertTrue(ended.await(10, TimeUnit.SECONDS));
        }
    }
}
