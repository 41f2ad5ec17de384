package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.MinorityWorld;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Bookings over MySQL whose answers are held back for a majority that is not there: none past its client's time. */
class HeldMysqlAnswersTest {
    private static final int SHORT_MILLIS = 300;
    private static final int LONG_MILLIS = 2_000;
    /** Every time limit is this much longer on sockets. */
    private static final int SOCKET_SLACK_MILLIS = 50;

    @TempDir
    private Path folder;

    private final DbNode primary = new DbNode("s-1", true);

    HeldMysqlAnswersTest() throws Exception {
        new MysqlPort(primary, true);
    }

    private MinorityWorld minority() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        new MysqlPort(replica, true);
        return new MinorityWorld(folder, null, primary, replica);
    }

    private static String comment(String id, String requestClass, int timeoutMillis) {
        return " /* id=" + id + ",c=" + requestClass + ",t=acme,d=" + timeoutMillis + ",cluster=1 */";
    }

    private static String booking(String id, int timeoutMillis) {
        return "INSERT INTO rows VALUES ('k', 'x') RETURNING blob" + comment(id, "pickup-booking", timeoutMillis);
    }

    /** Executes a booking and returns how long it took. */
    private static long tookMillis(PreparedStatement booking) throws Exception {
        long startNanos = System.nanoTime();
        assertTrue(booking.execute());
        try (ResultSet rows = booking.getResultSet()) {
            assertTrue(rows.next());
            assertEquals("value", rows.getString(1));
        }
        return millisSince(startNanos);
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void assertBetween(long leastMillis, long mostMillis, long tookMillis) {
        assertTrue(tookMillis >= leastMillis && tookMillis <= mostMillis, tookMillis + " ms");
    }

    @Test
    void preparedBookingsAreAnsweredInTimeAndWaitAsLongAsSetWhereTimeAllows() throws Exception {
        try (MinorityWorld minority = minority();
                Connection client = minority.world.mysql("portal", "towel")) {
            for (int timeoutMillis : List.of(LONG_MILLIS, SHORT_MILLIS)) {
                try (PreparedStatement booking = client.prepareStatement("INSERT INTO rows VALUES (?) RETURNING blob"
                        + comment("p" + timeoutMillis, "pickup-booking", timeoutMillis))) {
                    booking.setString(1, "k");
                    long tookMillis = tookMillis(booking);
                    if (timeoutMillis == LONG_MILLIS) {
                        assertBetween(MinorityWorld.WAIT_MILLIS, LONG_MILLIS, tookMillis);
                    } else {
                        assertBetween(SHORT_MILLIS / 2, SHORT_MILLIS + SOCKET_SLACK_MILLIS, tookMillis);
                    }
                }
            }
        }
    }

    /** Guards against commands behind a booking that are not even begun while its answer is held back. */
    @Test
    void textBookingsAndCommandsBehindThemAreAnsweredInTime() throws Exception {
        try (MinorityWorld minority = minority();
                RawMysqlClient client = new RawMysqlClient(minority.world.daemon.mysqlAddress(), "portal", "towel")) {
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("first", LONG_MILLIS)));
            assertEquals(List.of("rows"), client.answers(1));
            long startNanos = System.nanoTime();
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", SHORT_MILLIS)));
            assertEquals(List.of("rows"), client.answers(1));
            assertBetween(SHORT_MILLIS / 2, SHORT_MILLIS + SOCKET_SLACK_MILLIS, millisSince(startNanos));
            startNanos = System.nanoTime();
            client.send(
                    RawMysqlClient.command(Protocol.COM_QUERY, booking("b", LONG_MILLIS)),
                    RawMysqlClient.command(
                            Protocol.COM_QUERY, "SELECT blob FROM rows" + comment("c", "bag-status", SHORT_MILLIS)));
            assertEquals(List.of("rows", "rows"), client.answers(2));
            assertBetween(0, SHORT_MILLIS + SOCKET_SLACK_MILLIS, millisSince(startNanos));
        }
    }

    /**
     * Guards against a second run where a client repeats its id on another connection, or leaves and then repeats it.
     */
    @Test
    void anIdThatIsRepeatedDuringTheWaitIsNotRunAgain() throws Exception {
        byte[] booking = RawMysqlClient.command(Protocol.COM_QUERY, booking("a", LONG_MILLIS));
        try (MinorityWorld minority = minority();
                RawMysqlClient other = new RawMysqlClient(minority.world.daemon.mysqlAddress(), "portal", "towel")) {
            try (RawMysqlClient first = new RawMysqlClient(minority.world.daemon.mysqlAddress(), "portal", "towel")) {
                first.send(booking);
                World.await("it has run", () -> primary.runs.containsKey("a"));
                // The db node's answer reaches the pooler after the run.
                Thread.sleep(100);
                other.send(booking);
                assertEquals(List.of("1064"), other.answers(1), "the id of an open request");
            }
            World.await(
                    "its client has left",
                    () -> minority.world.daemon.memory().commands().takenBytes() == 0);
            other.send(booking);
            assertEquals(List.of("1105"), other.answers(1), "it may have run");
            assertEquals(1, primary.runs.get("a"));
        }
    }

    /** Guards against the same where the second command executes a prepared statement. */
    @Test
    void executionsBehindABookingAreAnsweredInTime() throws Exception {
        try (MinorityWorld minority = minority();
                RawMysqlClient client = new RawMysqlClient(minority.world.daemon.mysqlAddress(), "portal", "towel")) {
            client.send(RawMysqlClient.command(
                    Protocol.COM_STMT_PREPARE,
                    "SELECT blob FROM rows WHERE a = ? AND b = ?" + comment("p", "bag-status", SHORT_MILLIS)));
            assertEquals(List.of("ok"), client.answers(1));
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("first", LONG_MILLIS)));
            assertEquals(List.of("rows"), client.answers(1));
            long startNanos = System.nanoTime();
            client.send(
                    RawMysqlClient.command(Protocol.COM_QUERY, booking("b", LONG_MILLIS)),
                    RawMysqlClient.longData(1, new byte[] {'x'}),
                    RawMysqlClient.execute(1, "k"));
            assertEquals(List.of("rows", "rows"), client.answers(2));
            assertBetween(0, SHORT_MILLIS + SOCKET_SLACK_MILLIS, millisSince(startNanos));
        }
    }
}
