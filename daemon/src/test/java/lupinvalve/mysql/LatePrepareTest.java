package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;

/**
 * A decision may be outdated once a db node that hung has prepared the statement: it is made anew before the execute.
 */
class LatePrepareTest {
    private static final int TIMEOUT_MILLIS = 1_900;
    private static final long TIMEOUT_SECONDS = 10;
    /** The class's bound on the age of data is 500 ms. */
    private static final long STALE_AFTER_MILLIS = 700;

    private final DbNode primary = new DbNode("s-1", true);
    private final DbNode replica = new DbNode("s-2", false);
    private final MysqlPort primaryPort = new MysqlPort(primary, true);
    private final MysqlPort replicaPort = new MysqlPort(replica, true);

    LatePrepareTest() throws Exception {}

    private World world(UnaryOperator<String> settings) throws Exception {
        return new World(MysqlPort.operatorConfig(), settings, primary, replica);
    }

    private static String comment(String requestClass, String id) {
        return " /* id=" + id + ",c=" + requestClass + ",t=acme,d=" + TIMEOUT_MILLIS + ",cluster=1 */";
    }

    /** Executes a statement that no db node has prepared; gives its value or error code. */
    private static String outcome(Connection client, String statement) throws SQLException {
        try (PreparedStatement prepared = client.prepareStatement(statement)) {
            prepared.setString(1, "k1");
            prepared.execute();
            try (ResultSet rows = prepared.getResultSet()) {
                rows.next();
                return rows.getString(1);
            }
        } catch (SQLException e) {
            return Integer.toString(e.getErrorCode());
        }
    }

    private static FutureTask<String> start(Connection client, String statement) {
        FutureTask<String> task = new FutureTask<>(() -> outcome(client, statement));
        World.thread(task::run);
        return task;
    }

    private static String read(String id) {
        return "SELECT blob FROM rows WHERE handle = ?" + comment("bag-status", id);
    }

    /** Guards against reads from data older than their class permits, where a replica hangs over the prepare. */
    @Test
    void aReadIsNotExecutedOnceItsReplicaHasBecomeStale() throws Exception {
        UnaryOperator<String> uncheckedByServers =
                text -> text.replace("\"bounce\"", "\"silent\"").replace("\"aim_us\": 600000", "\"aim_us\": 1500000");
        try (World world = world(uncheckedByServers);
                Connection client = world.mysql("portal", "towel")) {
            int reads = 0;
            while (replica.seen.isEmpty()) {
                assertTrue(reads++ < 200, "the replica serves");
                assertEquals("value", outcome(client, read("a" + reads)));
            }
            CountDownLatch prepared = new CountDownLatch(1);
            replicaPort.preparesHold = prepared;
            int preparesBefore = replicaPort.prepareCount.get();
            long positionMillis = System.currentTimeMillis();
            replica.asOf = () -> positionMillis;
            int executedBefore = replica.seen.size();
            FutureTask<String> outcome = start(client, read("b"));
            World.await("the replica prepares", () -> replicaPort.prepareCount.get() > preparesBefore);
            World.await("stale", () -> System.currentTimeMillis() > positionMillis + STALE_AFTER_MILLIS);
            prepared.countDown();
            assertEquals("value", outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(executedBefore, replica.seen.size(), "executed at a db node that was too far behind by then");
            assertTrue(primary.seen.get(primary.seen.size() - 1).contains("id=b"));
        }
    }

    /** Guards against bookings at a db node that was taken out while it hung over the prepare. */
    @Test
    void aBookingIsNotExecutedAtADbNodeThatHasLeft() throws Exception {
        try (World world = world(UnaryOperator.identity());
                Connection client = world.mysql("portal", "towel")) {
            String booking = "INSERT INTO rows VALUES (?) RETURNING blob";
            assertEquals("value", outcome(client, booking + comment("pickup-booking", "a")));
            CountDownLatch prepared = new CountDownLatch(1);
            primaryPort.preparesHold = prepared;
            int preparesBefore = primaryPort.prepareCount.get();
            FutureTask<String> outcome = start(client, booking + comment("pickup-booking", "b"));
            World.await("the primary prepares", () -> primaryPort.prepareCount.get() > preparesBefore);
            world.phase(primary, "terminated");
            Thread.sleep(500);
            prepared.countDown();
            assertEquals("1226", outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(1, primary.seen.size(), primary.seen.toString());
        }
    }
}
