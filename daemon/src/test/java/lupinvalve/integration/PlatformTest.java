package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** The PostgreSQL frontend end to end: one test for each kind of failure that would lose requests. */
class PlatformTest {
    static String read(String id, int deadlineMillis) {
        return "SELECT blob FROM rows WHERE handle = 'k1' /* id=" + id + ",c=bag-status,t=acme,d=" + deadlineMillis
                + ",cluster=1 */";
    }

    /** Number of messages in a greeting: R, K, four S, Z. */
    static final int GREETING = 7;

    static String booking(String id, int deadlineMillis) {
        return "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f') RETURNING blob /* id=" + id
                + ",c=pickup-booking,t=acme,d=" + deadlineMillis + ",cluster=1 */";
    }

    static World newWorld(DbNode... nodes) throws Exception {
        return new World(OperatorConfig.NONE, nodes);
    }

    /** Runs a query; returns the value or the SQLSTATE of the error. */
    static String queryOutcome(Connection client, String query) throws SQLException {
        try (ResultSet rows = client.createStatement().executeQuery(query)) {
            rows.next();
            return rows.getString(1);
        } catch (SQLException e) {
            return e.getSQLState();
        }
    }

    /**
     * Reads messages until {@code times} of type {@code last} have arrived; returns their types, with the SQLSTATE for
     * errors, and {@code end} for the end of the stream.
     */
    static List<String> readMessages(Socket socket, char last, int times) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        List<String> received = new ArrayList<>();
        int remaining = times;
        while (remaining > 0) {
            int type = in.read();
            if (type < 0) {
                received.add("end");
                return received;
            }
            String body = new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
            received.add(type == 'E' ? "E" + body.replaceAll("(?s).*\0C(.{5}).*", "$1") : "" + (char) type);
            remaining -= type == last ? 1 : 0;
        }
        return received;
    }

    @Test
    void statementsAreForwardedWithOnlyTheDeadlineRewritten() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        try (World world = newWorld(new DbNode("s-1", true), replica);
                Connection client = world.pg()) {
            assertEquals("value", queryOutcome(client, read("a1", 900)));
            String seen = replica.seen.get(0);
            String[] sent = read("a1", 900).split("d=900");
            assertTrue(seen.startsWith(sent[0]) && seen.endsWith(sent[1]), seen);
            int remaining = Integer.parseInt(seen.substring(sent[0].length() + 2, seen.length() - sent[1].length()));
            assertTrue(remaining > 0 && remaining <= 900, seen);
        }
    }

    @Test
    void fragmentedInputIsAcceptedAndPipelinesAreAnsweredInOrder() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.ERROR);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Socket whole = world.raw();
                Socket pieces = world.raw(booking("b1", 900), "", read("b2", 900))) {
            readMessages(whole, 'Z', 1);
            for (byte b : new byte[] {'Q', 0, 0, 0, 5, 0}) {
                whole.getOutputStream().write(b);
                whole.getOutputStream().flush();
            }
            assertEquals(List.of("I", "Z"), readMessages(whole, 'Z', 1));
            readMessages(pieces, 'Z', 1);
            // The write fails last, but its answer comes first in the pipeline.
            assertEquals(List.of("E58000", "Z", "I", "Z", "T", "D", "C", "Z"), readMessages(pieces, 'Z', 3));
        }
    }

    @Test
    void writeThatMayHaveRunFailsAndIsNotRetried() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.DROP);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            assertEquals("58000", queryOutcome(client, booking("c1", 900)));
            assertEquals(1, primary.runs.get("c1"));
            assertEquals(1, primary.seen.size());
        }
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherDbNode() throws Exception {
        DbNode dead = new DbNode("s-2", false);
        try (World world = newWorld(new DbNode("s-1", true), dead);
                Connection client = world.pg()) {
            dead.close();
            assertEquals("value", queryOutcome(client, read("e1", 900)));
        }
    }

    @Test
    void overloadedPrimaryLeadsToRejectionWithRetryAdvice() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        for (int i = 0; i < 64; i++) {
            primary.script.add(DbNode.Makes.FULL);
        }
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            SQLException refused = assertThrows(
                    SQLException.class, () -> client.createStatement().executeQuery(booking("f1", 400)));
            assertEquals("53300", refused.getSQLState());
            assertTrue(refused.getMessage().contains("Detail: 50"), refused.getMessage());
            assertTrue(primary.runs.isEmpty());
        }
    }

    @Test
    void silentDbNodeCostsAtMostTheDeadlineAndItsConnectionIsClosed() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            long start = System.nanoTime();
            assertEquals("58000", queryOutcome(client, booking("g1", 300)));
            long tookMillis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(tookMillis >= 250 && tookMillis < 1500, "took ms: " + tookMillis);
            World.await("connection closed", () -> primary.open.get() == 0);
        }
    }

    @Test
    void disconnectOfAClientCancelsItsAttempt() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = newWorld(primary, new DbNode("s-2", false))) {
            try (Socket client = world.raw(booking("h1", 2000))) {
                World.await("attempt in flight", () -> primary.runs.containsKey("h1"));
                client.getOutputStream().flush();
            }
            World.await("attempt cancelled", () -> primary.open.get() == 0);
        }
    }

    @Test
    void invalidInputClosesOnlyItsOwnConnection() throws Exception {
        try (World world = newWorld(new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg();
                Socket oversized = world.raw();
                Socket unsupported = world.raw("SELECT 2")) {
            readMessages(oversized, 'Z', 1);
            oversized.getOutputStream().write(new byte[] {'Q', 127, 0, 0, 0});
            assertEquals(List.of("E08P01", "end"), readMessages(oversized, 'Z', 1));
            readMessages(unsupported, 'Z', 1);
            assertEquals(List.of("E42601", "Z"), readMessages(unsupported, 'Z', 1));
            assertEquals("value", queryOutcome(client, read("i1", 900)));
        }
    }

    @Test
    void connectionPastTheLimitIsRejectedWithAnError() throws Exception {
        // 64 sockets are the minimum that the pooler assumes: 35 of them are for clients.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < 35; i++) {
                // Each connection has a request open, so none can be closed to make room.
                world.nodes.get(0).script.add(DbNode.Makes.HANG);
                open.add(world.raw(booking("p" + i, 2000)));
                readMessages(open.get(i), 'Z', 1);
            }
            try (Socket extra = world.raw()) {
                assertEquals(List.of("E53300", "end"), readMessages(extra, 'Z', 1));
            }
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    @Test
    void drainingDbNodeReceivesNoNewRequests() throws Exception {
        DbNode leaving = new DbNode("s-2", false);
        DbNode staying = new DbNode("s-3", false);
        try (World world = newWorld(new DbNode("s-1", true), leaving, staying);
                Connection client = world.pg()) {
            World.await("watching", () -> world.watchesCount.get() > 0);
            world.phase(leaving, "terminated");
            // The notification closes its idle connections; until then it may still receive reads.
            AtomicReference<String> last = new AtomicReference<>("");
            World.await("departure in force", () -> {
                try {
                    int before = leaving.seen.size();
                    last.set(queryOutcome(client, read("j" + System.nanoTime(), 900)));
                    return leaving.seen.size() == before && leaving.open.get() == 0;
                } catch (SQLException e) {
                    throw new IllegalStateException(e);
                }
            });
            int before = leaving.seen.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("value", queryOutcome(client, read("k" + i, 900)));
            }
            assertEquals(before, leaving.seen.size());
        }
    }

    @Test
    void requestWaitingForAConnectionIsNotSentToADepartedDbNode() throws Exception {
        DbNode leaving = new DbNode("s-2", false);
        try (World world = newWorld(new DbNode("s-1", true), leaving);
                Socket client = world.raw()) {
            readMessages(client, 'Z', 1);
            World.await("watching", () -> world.watchesCount.get() > 0);
            leaving.greets = new CountDownLatch(1);
            client.getOutputStream().write(query(read("w1", 900)));
            World.await("connection being opened", () -> leaving.met.get() > 0);
            world.phase(leaving, "terminated");
            // The notification arrives on another connection than the one being opened; wait until it has arrived.
            Thread.sleep(60);
            leaving.greets.countDown();
            assertEquals(List.of("T", "D", "C", "Z"), readMessages(client, 'Z', 1));
            assertEquals(List.of(), leaving.seen);
        }
    }

    @Test
    void silentWatchIsReplacedWithinSixSeconds() throws Exception {
        try (World world = newWorld(new DbNode("s-1", true))) {
            World.await("watching", () -> world.watchesCount.get() == 1);
            world.heartbeats = false;
            long start = System.nanoTime();
            World.await("watching again", () -> world.watchesCount.get() == 2);
            assertTrue(System.nanoTime() - start < 6_000_000_000L);
        }
    }

    @Test
    void shutdownAnswersAcceptedRequestsAndClosesIdleConnections() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Socket idle = world.raw();
                Socket busy = world.raw(booking("l1", 1500))) {
            readMessages(idle, 'Z', 1);
            readMessages(busy, 'Z', 1);
            World.await("attempt in flight", () -> primary.runs.containsKey("l1"));
            CountDownLatch stopped = new CountDownLatch(1);
            world.daemon.drain(stopped::countDown);
            try (Socket late = world.raw(read("l2", 900))) {
                assertEquals(
                        List.of("R", "K", "S", "S", "S", "S", "Z", "T", "D", "C", "Z"), readMessages(late, 'Z', 2));
            }
            assertEquals(List.of("end"), readMessages(idle, 'Z', 1));
            assertEquals(List.of("E58000", "Z", "end"), readMessages(busy, 'Z', 2));
            assertTrue(stopped.await(3, TimeUnit.SECONDS));
            assertThrows(ConnectException.class, () -> world.raw().close());
        }
    }

    @Test
    void shutdownServesAsLongAsAnswersPrecedeSigkill() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = newWorld(primary, new DbNode("s-2", false));
                Connection client = world.pg();
                Socket late = world.raw()) {
            readMessages(late, 'Z', 1);
            CountDownLatch stopped = new CountDownLatch(1);
            long start = System.nanoTime();
            world.daemon.drain(stopped::countDown);
            long served = 0;
            boolean lateRequestSent = false;
            for (int id = 0; "value".equals(queryOutcome(client, read("t" + id, 900))); id++) {
                served = System.nanoTime() - start;
                if (served > 1_000_000_000L && !lateRequestSent) {
                    lateRequestSent = true;
                    primary.script.add(DbNode.Makes.HANG);
                    late.getOutputStream().write(query(booking("late", 2000)));
                }
            }
            assertTrue(lateRequestSent);
            // Its deadline was shortened: SIGKILL may come 0.7 s after the longest deadline, which is 2 s here.
            assertEquals(List.of("E58000", "Z", "end"), readMessages(late, 'Z', 2));
            assertTrue(stopped.await(3, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - start < 2_700_000_000L);
        }
    }

    static byte[] query(String text) {
        return ("Q\0\0" + (char) ((text.length() + 5) >> 8) + (char) ((text.length() + 5) & 255) + text + "\0")
                .getBytes(ISO_8859_1);
    }

    /**
     * More pipelined statements than the pooler queues, followed by a Terminate message: each is answered before the
     * connection closes in order.
     */
    @Test
    void pipelinedStatementsAreAnsweredBeforeTerminateClosesTheConnection() throws Exception {
        int statements = 70;
        try (World world = newWorld(new DbNode("s-1", true), new DbNode("s-2", false))) {
            String[] queries = new String[statements];
            for (int i = 0; i < statements; i++) {
                queries[i] = read("g" + i, 900);
            }
            try (Socket client = world.raw(queries)) {
                client.getOutputStream().write(new byte[] {'X', 0, 0, 0, 4});
                List<String> received = readMessages(client, 'Z', statements + 2);
                assertEquals(
                        statements + 1, received.stream().filter("Z"::equals).count());
                assertEquals("end", received.get(received.size() - 1));
            }
        }
    }
}
