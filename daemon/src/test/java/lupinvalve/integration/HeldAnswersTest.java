package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.Statement;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Bookings over PostgreSQL whose answers are held back for a majority that is not there: none comes after its client's
 * time, and none tells another outcome than the db node.
 */
class HeldAnswersTest {
    private static final int SHORT_MILLIS = 300;
    private static final int LONG_MILLIS = 2_000;
    /** Every time limit is this much longer on sockets. */
    private static final int SOCKET_SLACK_MILLIS = 50;

    @TempDir
    private Path folder;

    @TempDir
    private Path sharedDirectory;

    private final DbNode primary = new DbNode("s-1", true);

    HeldAnswersTest() throws Exception {}

    private MinorityWorld minority(Path shared) throws Exception {
        return new MinorityWorld(folder, shared, primary, new DbNode("s-2", false));
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Runs a query; returns how long it took. The outcome must be as expected. */
    private static long tookMillis(Connection client, String query, String expected) throws Exception {
        long startNanos = System.nanoTime();
        assertEquals(expected, PlatformTest.queryOutcome(client, query));
        return millisSince(startNanos);
    }

    private static void assertBetween(long leastMillis, long mostMillis, long tookMillis) {
        assertTrue(tookMillis >= leastMillis && tookMillis <= mostMillis, tookMillis + " ms");
    }

    /** Guards against a long answer, which is buffered whole, that is held back past its client's time. */
    @Test
    void longAnswersAreHeldNoLongerThanShortOnes() throws Exception {
        primary.value = "v".repeat(400_000);
        try (MinorityWorld minority = minority(null);
                Connection client = minority.world.pg()) {
            tookMillis(client, PlatformTest.booking("a", LONG_MILLIS), primary.value);
            assertBetween(
                    SHORT_MILLIS / 2,
                    SHORT_MILLIS + SOCKET_SLACK_MILLIS,
                    tookMillis(client, PlatformTest.booking("b", SHORT_MILLIS), primary.value));
        }
    }

    /** Guards against "cancelled" as the outcome of a booking that has run. */
    @Test
    void aCancelDuringTheWaitIsAnsweredWithTheBooking() throws Exception {
        try (MinorityWorld minority = minority(null);
                Connection client = minority.world.pg();
                Statement statement = client.createStatement()) {
            long startNanos = System.nanoTime();
            FutureTask<String> outcome = new FutureTask<>(() -> {
                try (ResultSet rows = statement.executeQuery(PlatformTest.booking("a", LONG_MILLIS))) {
                    rows.next();
                    return rows.getString(1);
                }
            });
            World.thread(outcome::run);
            World.await("it has run", () -> primary.runs.containsKey("a"));
            // The db node's answer reaches the pooler after the run.
            Thread.sleep(100);
            statement.cancel();
            assertEquals("value", outcome.get(), "the booking has run");
            assertBetween(100, MinorityWorld.WAIT_MILLIS - 1, millisSince(startNanos));
        }
    }

    /** Guards against a second run where a client repeats its id during the wait, or leaves and then repeats it. */
    @Test
    void anIdThatIsRepeatedDuringTheWaitIsAnsweredInTimeAndNotRunAgain() throws Exception {
        String booking = PlatformTest.booking("a", LONG_MILLIS);
        try (MinorityWorld minority = minority(null);
                Connection other = minority.world.pg()) {
            Socket first = minority.world.raw(booking);
            World.await("it has run", () -> primary.runs.containsKey("a"));
            Thread.sleep(100);
            assertBetween(0, SHORT_MILLIS, tookMillis(other, booking, "42601"));
            first.close();
            World.await(
                    "its client has left",
                    () -> minority.world.daemon.memory().commands().takenBytes() == 0);
            assertBetween(0, SHORT_MILLIS, tookMillis(other, booking, "58000"));
            assertEquals(1, primary.runs.get("a"));
        }
    }

    /** Guards against answers that are held back when the process is told to end, with a successor or without one. */
    @Test
    void bookingsAreAnsweredWhenTheirProcessIsToldToEnd() throws Exception {
        for (boolean isSuperseded : List.of(false, true)) {
            String id = "ends" + isSuperseded;
            Path members = Files.createDirectory(folder.resolve(id));
            Path shared = Files.createDirectory(sharedDirectory.resolve(id));
            Process successor = new ProcessBuilder("sleep", "60").start();
            // Closed together with the world of each round.
            DbNode node = new DbNode("s-1", true);
            try (MinorityWorld minority = new MinorityWorld(members, shared, node, new DbNode("s-2", false))) {
                CountDownLatch stopped = new CountDownLatch(1);
                try (Socket client = minority.world.raw(PlatformTest.booking(id, LONG_MILLIS))) {
                    World.await("it has run", () -> node.runs.containsKey(id));
                    long startNanos = System.nanoTime();
                    if (isSuperseded) {
                        Files.writeString(marker(shared), Long.toString(successor.pid()));
                    }
                    minority.world.daemon.drain(stopped::countDown);
                    List<String> received = PlatformTest.readMessages(client, 'Z', 2);
                    assertEquals(List.of("T", "D", "C", "Z"), received.subList(PlatformTest.GREETING, received.size()));
                    assertBetween(0, LONG_MILLIS, millisSince(startNanos));
                }
                assertTrue(stopped.await(10, TimeUnit.SECONDS), "the process ends");
            } finally {
                successor.destroyForcibly();
            }
        }
    }

    /** The file that names the process of a pooler which serves. */
    private static Path marker(Path shared) throws IOException {
        try (Stream<Path> files = Files.list(shared)) {
            return files.filter(file -> file.toString().endsWith(".serving"))
                    .findAny()
                    .orElseThrow();
        }
    }

    /** Guards against a short answer that waits for a booking's answer, which comes before it on the connection. */
    @Test
    void anAnswerBehindABookingIsNotHeldBackPastItsTime() throws Exception {
        try (MinorityWorld minority = minority(null);
                Socket client = minority.world.raw(
                        PlatformTest.booking("a", LONG_MILLIS), PlatformTest.read("b", SHORT_MILLIS))) {
            long startNanos = System.nanoTime();
            List<String> received = PlatformTest.readMessages(client, 'Z', 3);
            assertBetween(SHORT_MILLIS / 2, SHORT_MILLIS + SOCKET_SLACK_MILLIS, millisSince(startNanos));
            assertEquals(
                    List.of("T", "D", "C", "Z", "T", "D", "C", "Z"),
                    received.subList(PlatformTest.GREETING, received.size()));
        }
    }
}
