package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sessions over MySQL while the replica lags: a session reads its own writes however its key is written. Guards against
 * statements whose key was not read, or read as another one, so that their reads went to the replica.
 */
class MysqlSessionTest {
    private static final int LAG_MILLIS = 200;

    /** Executes a statement with a session's key in one notation; {@code afterKey} follows the key. */
    private interface Notation {
        void execute(Connection client, String beforeKey, String afterKey, String key) throws SQLException;
    }

    @TempDir
    private Path folder;

    private final DbNode primary = new DbNode("s-1", true);
    private final DbNode replica = new DbNode("s-2", false);

    MysqlSessionTest() throws Exception {
        new MysqlPort(primary, true);
        new MysqlPort(replica, true);
    }

    private static Notation text(String quote, String from, String to) {
        return (client, beforeKey, afterKey, key) -> {
            try (Statement statement = client.createStatement()) {
                assertTrue(statement.execute(beforeKey + quote + key.replace(from, to) + quote + afterKey));
            }
        };
    }

    private static void prepared(Connection client, String beforeKey, String afterKey, String key, boolean isLongData)
            throws SQLException {
        try (PreparedStatement statement = client.prepareStatement(beforeKey + "?" + afterKey)) {
            if (isLongData) {
                statement.setBinaryStream(1, new ByteArrayInputStream(key.getBytes()));
            } else {
                statement.setString(1, key);
            }
            assertTrue(statement.execute());
            try (ResultSet rows = statement.getResultSet()) {
                assertTrue(rows.next());
            }
        }
    }

    /** A prepared statement with the key as a literal and a placeholder behind it. */
    private static void preparedWithLiteral(Connection client, String beforeKey, String afterKey, String key)
            throws SQLException {
        String text = beforeKey + '"' + key + '"' + afterKey.replace("'x'", "?").replace("LIMIT 1", "LIMIT ?");
        try (PreparedStatement statement = client.prepareStatement(text)) {
            statement.setString(1, "1");
            assertTrue(statement.execute());
        }
    }

    private static List<Notation> notations() {
        return List.of(
                text("'", "'", "''"),
                text("'", "'", "\\'"),
                text("\"", "'", "'"),
                text("\"", "'", "\\'"),
                (client, before, after, key) -> prepared(client, before, after, key, false),
                (client, before, after, key) -> prepared(client, before, after, key, true),
                MysqlSessionTest::preparedWithLiteral);
    }

    private static String comment(String requestClass, String id) {
        return " /* it's id=0,id=" + id + ",c=" + requestClass + ",t=acme,d=900,cluster=1 */";
    }

    @Test
    void aSessionReadsItsWritesHoweverItsKeyIsWritten() throws Exception {
        long stopped = System.currentTimeMillis() - LAG_MILLIS;
        replica.asOf = () -> stopped;
        List<String> reads = new ArrayList<>();
        try (World world = StoredAccountWorld.start(folder, 1024, primary, replica);
                Connection client = world.mysql(StoredAccountWorld.USER, StoredAccountWorld.PASSWORD)) {
            List<Notation> notations = notations();
            for (int i = 0; i < notations.size(); i++) {
                for (int j = 0; j < notations.size(); j++) {
                    String key = "it's " + i + " " + j;
                    String id = i + "x" + j;
                    notations
                            .get(i)
                            .execute(
                                    client,
                                    "INSERT INTO `it's rows` (handle, blob) /* it's \"a */ VALUES (",
                                    ", 'x') RETURNING blob" + comment("pickup-booking", "w" + id),
                                    key);
                    notations
                            .get(j)
                            .execute(
                                    client,
                                    "SELECT blob FROM `it's rows` -- it's\n WHERE handle = ",
                                    " LIMIT 1" + comment("own-order-view", "r" + id),
                                    key);
                    reads.add("r" + id);
                }
            }
            reads.removeIf(id -> primary.runs.containsKey(id));
            assertEquals(List.of(), reads, "reads that did not run at the primary");
        }
    }
}
