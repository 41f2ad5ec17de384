package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.mysql.cj.jdbc.JdbcStatement;
import java.io.ByteArrayInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.DbNode.Makes;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the MySQL frontend with MySQL's own driver and raw packets, in front of stand-ins for MySQL servers. */
class MysqlTest {
    @TempDir
    Path folder;

    private final DbNode primary;
    private final DbNode replica;
    private final MysqlPort primaryPort;
    private final MysqlPort replicaPort;

    MysqlTest() throws Exception {
        primary = new DbNode("s-1", true);
        replica = new DbNode("s-2", false);
        primaryPort = new MysqlPort(primary, true);
        replicaPort = new MysqlPort(replica, false);
    }

    private World world() throws Exception {
        return world(1024);
    }

    private World world(int sockets) throws Exception {
        return StoredAccountWorld.start(folder, sockets, primary, replica);
    }

    private static Connection client(World world) throws SQLException {
        return world.mysql(StoredAccountWorld.USER, StoredAccountWorld.PASSWORD);
    }

    /** The comment with a request's fields; {@code timeoutMillis} is the timeout. */
    private static String comment(String requestClass, String id, int timeoutMillis) {
        return " /* id=" + id + ",c=" + requestClass + ",t=acme,d=" + timeoutMillis + ",cluster=1 */";
    }

    private static String read(String requestClass, String id, int timeoutMillis) {
        return "SELECT blob FROM rows WHERE handle = 'k1'" + comment(requestClass, id, timeoutMillis);
    }

    private static String booking(String id, int timeoutMillis) {
        return "INSERT INTO rows (handle, blob) VALUES ('k1', 'x') RETURNING blob"
                + comment("pickup-booking", id, timeoutMillis);
    }

    /**
     * The first value of a statement's result. Goes through execute(): JDBC's methods for writes expect no rows, which
     * these writes return.
     */
    private static String value(Statement statement, String query) throws SQLException {
        boolean rows = statement instanceof PreparedStatement prepared ? prepared.execute() : statement.execute(query);
        assertTrue(rows);
        try (ResultSet set = statement.getResultSet()) {
            assertTrue(set.next());
            return set.getString(1);
        }
    }

    private static String value(PreparedStatement statement) throws SQLException {
        return value(statement, null);
    }

    /** The value that a query gives, or its error code, or its SQLSTATE where the driver has no code. */
    private static String outcome(Connection client, String query) throws SQLException {
        try (Statement statement = client.createStatement()) {
            return value(statement, query);
        } catch (SQLException e) {
            return e.getErrorCode() == 0 ? e.getSQLState() : Integer.toString(e.getErrorCode());
        }
    }

    @Test
    void clients_with_a_wrong_user_or_password_are_rejected() throws Exception {
        try (World world = world()) {
            assertThrows(
                    SQLException.class, () -> world.mysql("portal", "wrong").close());
            assertThrows(
                    SQLException.class, () -> world.mysql("stranger", "towel").close());
            try (Connection client = client(world)) {
                assertTrue(client.isValid(1));
            }
        }
    }

    @Test
    void plain_and_prepared_statements_are_served_with_fields_in_attributes_or_the_comment() throws Exception {
        try (World world = world();
                Connection client = client(world)) {
            assertEquals("value", outcome(client, read("bag-status", "a1", 900)));
            try (Statement plain = client.createStatement()) {
                JdbcStatement named = plain.unwrap(JdbcStatement.class);
                named.setAttribute("c", "pickup-booking");
                named.setAttribute("id", "a2");
                named.setAttribute("d", 900);
                named.setAttribute("cluster", 1);
                assertEquals("value", value(plain, "INSERT INTO rows VALUES ('k1', 'x') RETURNING blob"));
            }
            assertEquals(1, primary.runs.get("a2"));
            try (PreparedStatement write = client.prepareStatement(
                    "INSERT INTO rows VALUES (?, ?) RETURNING blob" + comment("pickup-booking", "a3", 900))) {
                write.setString(1, "k1");
                write.setBinaryStream(2, new ByteArrayInputStream("sheets".getBytes()));
                assertEquals("value", value(write));
                write.setString(1, "k2");
                write.setString(2, "towels");
                assertEquals("value", value(write));
            }
            int last = primary.seen.size() - 1;
            assertTrue(primary.seen.get(last - 1).endsWith(" <k1> <sheets>"), primary.seen.get(last - 1));
            assertTrue(primary.seen.get(last).endsWith(" <k2> <towels>"), primary.seen.get(last));
            assertEquals(1, primaryPort.prepareCount.get());
        }
    }

    @Test
    void a_statement_prepared_before_a_drain_executes_on_another_db_node() throws Exception {
        DbNode other = new DbNode("s-3", false);
        MysqlPort otherPort = new MysqlPort(other, true);
        try (World world = new World(MysqlPort.operatorConfig(), primary, replica, other);
                Connection client = client(world);
                PreparedStatement read = client.prepareStatement(
                        "SELECT blob FROM rows WHERE handle = ?" + comment("bag-status", "b1", 900))) {
            read.setString(1, "k1");
            assertEquals("value", value(read));
            // The replica that ran it, whichever of the two, leaves the service.
            DbNode first = replica.seen.isEmpty() ? other : replica;
            DbNode second = first == other ? replica : other;
            world.phase(first, "terminated");
            World.await("connections to the leaving db node are closed", () -> first.open.get() == 0);
            int before = first.seen.size();
            for (int i = 0; i < 5; i++) {
                assertEquals("value", value(read));
            }
            assertEquals(before, first.seen.size());
            assertEquals(5, second.seen.size());
            assertEquals(1, (second == other ? otherPort : replicaPort).prepareCount.get());
        }
    }

    @Test
    void timeouts_rejections_and_errors_give_the_documented_codes() throws Exception {
        try (World world = world();
                Connection client = client(world)) {
            primary.script.add(Makes.HANG);
            long start = System.nanoTime();
            assertEquals("1105", outcome(client, booking("c1", 300)));
            assertTrue(System.nanoTime() - start < 1_500_000_000L);
            primary.script.add(Makes.ERROR);
            assertEquals("1105", outcome(client, booking("c2", 900)));
            for (int i = 0; i < 64; i++) {
                primary.script.add(Makes.FULL);
            }
            SQLException refused = assertThrows(
                    SQLException.class, () -> client.createStatement().execute(booking("c3", 400)));
            assertEquals(1226, refused.getErrorCode());
            assertTrue(refused.getMessage().contains("retry after 50 ms"), refused.getMessage());
            assertFalse(primary.runs.containsKey("c3"));
            assertEquals("1064", outcome(client, "SELECT blob FROM rows"));
        }
    }

    @Test
    void a_write_whose_connection_breaks_fails_and_runs_once() throws Exception {
        primary.script.add(Makes.DROP);
        try (World world = world();
                Connection client = client(world);
                PreparedStatement write =
                        client.prepareStatement("INSERT INTO rows VALUES (?)" + comment("pickup-booking", "d1", 900))) {
            write.setString(1, "k1");
            assertEquals(1105, assertThrows(SQLException.class, write::execute).getErrorCode());
            assertEquals(1, primary.runs.get("d1"));
            assertEquals(1, primary.seen.size());
        }
    }

    @Test
    void a_client_of_both_protocols_reads_its_writes_while_the_replica_lags() throws Exception {
        long stopped = System.currentTimeMillis() - 200;
        replica.asOf = () -> stopped;
        try (World world = world();
                Connection mysql = client(world);
                Connection pg = world.pg()) {
            try (ResultSet rows = pg.createStatement().executeQuery(booking("e1", 900))) {
                assertTrue(rows.next());
            }
            // The reads don't carry the commit's log position: the pooler's store has recorded it.
            assertEquals("value", outcome(mysql, read("own-order-view", "e2", 900)));
            assertEquals(1, primary.runs.get("e2"));
            assertEquals("value", outcome(mysql, booking("e3", 900)));
            try (ResultSet rows = pg.createStatement().executeQuery(read("own-order-view", "e4", 900))) {
                assertTrue(rows.next());
            }
            assertEquals(1, primary.runs.get("e4"));
        }
    }

    @Test
    void reads_respect_their_staleness_bound() throws Exception {
        long stopped = System.currentTimeMillis() - 5_000;
        replica.asOf = () -> stopped;
        try (World world = world();
                Connection client = client(world)) {
            // The replica's first answer shows how far it lags; after that it gets no read with that bound.
            assertEquals("value", outcome(client, read("own-order-view", "f0", 900)));
            assertEquals("value", outcome(client, read("bag-status", "f1", 900)));
            assertEquals("value", outcome(client, read("bag-status", "f2", 900)));
            assertFalse(replica.runs.containsKey("f1") || replica.runs.containsKey("f2"));
        }
    }

    @Test
    void both_protocols_give_the_same_outcomes() throws Exception {
        List<String> outcomes = new ArrayList<>();
        try (World world = world();
                Connection mysql = client(world);
                Connection pg = world.pg()) {
            for (Connection client : List.of(mysql, pg)) {
                for (Makes makes : Makes.values()) {
                    if (makes == Makes.MISS || makes == Makes.BEHIND || makes.compareTo(Makes.DROP) > 0) {
                        continue;
                    }
                    // MISS and BEHIND are left out: the pooler would try the write at other db nodes. Here the outcome
                    // must depend on the primary's answer alone.
                    primary.script.clear();
                    for (int i = 0; i < (makes == Makes.FULL ? 64 : 1); i++) {
                        primary.script.add(makes);
                    }
                    String query = booking(makes + "-" + (client == mysql), 900);
                    String outcome = client == mysql ? outcome(client, query) : pgOutcome(client, query);
                    outcomes.add(makes + " "
                            + outcome.replace("53300", "refused")
                                    .replace("1226", "refused")
                                    .replace("58000", "failed")
                                    .replace("1105", "failed"));
                    primary.script.clear();
                    // A broken or hung connection ejects the primary for a moment; it must be back for the next case.
                    for (int i = 0;
                            !"value"
                                    .equals(
                                            client == mysql
                                                    ? outcome(client, booking("w", 900))
                                                    : pgOutcome(client, booking("w", 900)));
                            i++) {
                        assertTrue(i < 50);
                    }
                }
            }
        }
        assertEquals(
                List.of("SERVED value", "FULL refused", "ERROR failed", "HANG failed", "DROP failed"),
                outcomes.subList(0, 5));
        assertEquals(outcomes.subList(0, 5), outcomes.subList(5, 10));
    }

    /** The value that a query gives over PostgreSQL's protocol, or its SQLSTATE. */
    private static String pgOutcome(Connection client, String query) throws SQLException {
        try (Statement statement = client.createStatement()) {
            return value(statement, query);
        } catch (SQLException e) {
            return e.getSQLState();
        }
    }

    @Test
    void silent_connections_are_closed_to_make_room_for_new_clients() throws Exception {
        try (World world = world(64)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                silent.add(new Socket("127.0.0.1", world.daemon.mysqlAddress().getPort()));
            }
            for (Socket socket : silent) {
                // Wait for the handshake or the error for too many connections: a connection whose handshake is still
                // on
                // its way can't be closed to make room.
                socket.getInputStream().read();
            }
            try (Connection client = client(world)) {
                assertEquals("value", outcome(client, read("bag-status", "s1", 900)));
            }
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void a_malformed_answer_fails_its_request_and_bytes_after_a_whole_one_close_the_connection() throws Exception {
        byte[] head = new PacketWriter().lengthEncodedInt(1).packet(1);
        byte[] column = Variables.columnDefinition("blob").packet(2);
        byte[] end = Protocol.Ok.PLAIN.packet(0xFE, Protocol.SESSION_TRACK, 4);
        try (World world = world();
                Connection client = client(world)) {
            int id = 0;
            for (byte[] malformed : List.of(
                    "noise".getBytes(),
                    new byte[] {-1, -1, -1, 1, 0},
                    new PacketWriter()
                            .raw(head)
                            .raw(column)
                            .raw(new PacketWriter().int1(9).text("odd").packet(3))
                            .raw(end)
                            .payload(),
                    new PacketWriter()
                            .raw(head)
                            .raw(column)
                            .raw(new PacketWriter().lengthEncoded("odd").int1(0).packet(3))
                            .raw(end)
                            .payload(),
                    new PacketWriter()
                            .raw(head)
                            .raw(new PacketWriter().lengthEncoded("odd").packet(2))
                            .raw(end)
                            .payload(),
                    new PacketWriter()
                            .raw(head)
                            .raw(column)
                            .raw(new PacketWriter().lengthEncoded("odd").packet(7))
                            .raw(end)
                            .payload())) {
                primary.strange = malformed;
                primary.script.add(Makes.SPOILT);
                assertEquals("1105", outcome(client, booking("v" + ++id, 900)));
                assertEquals("value", outcome(client, booking("w" + id, 900)));
            }
            assertTrue(primary.runs.values().stream().allMatch(runs -> runs == 1));
            primary.strange = new PacketWriter().raw(head).raw(column).payload();
            primary.script.add(Makes.MORE);
            assertEquals("value", outcome(client, booking("x", 900)));
            assertEquals("value", outcome(client, booking("y", 900)));
        }
    }

    @Test
    void invalid_fields_and_the_id_of_an_open_request_are_rejected() throws Exception {
        primary.script.add(Makes.HANG);
        try (World world = world();
                Connection client = client(world);
                Connection stranger = client(world)) {
            Thread owner = new Thread(() -> {
                try {
                    outcome(client, booking("o1", 700));
                } catch (SQLException e) {
                    throw new IllegalStateException(e);
                }
            });
            owner.start();
            World.await("the request o1 runs", () -> primary.runs.containsKey("o1"));
            assertEquals("1064", outcome(stranger, booking("o1", 700)));
            assertEquals("1064", outcome(stranger, booking("o2", 700).replace("d=700", "d=1e3")));
            assertEquals("1064", outcome(stranger, booking("o2", 700).replace("id=o2,", "")));
            assertEquals(1, primary.seen.size());
            owner.join();
        }
    }

    @Test
    void a_malformed_packet_ends_its_own_connection_only() throws Exception {
        try (World world = world();
                Connection client = client(world);
                Socket malformed =
                        new Socket("127.0.0.1", world.daemon.mysqlAddress().getPort())) {
            malformed.setSoTimeout(10_000);
            malformed.getOutputStream().write(new byte[] {1, 0, 0, 1, 0});
            byte[] all = malformed.getInputStream().readAllBytes();
            assertTrue(new String(all, java.nio.charset.StandardCharsets.ISO_8859_1).contains("08S01packet too short"));
            assertEquals("value", outcome(client, read("bag-status", "g1", 900)));
        }
    }

    private RawMysqlClient rawClient(World world) throws Exception {
        return new RawMysqlClient(world.daemon.mysqlAddress(), "portal", "towel");
    }

    @Test
    void commands_beyond_the_limit_are_rejected_in_order_and_the_connection_stays_open() throws Exception {
        int maxWaiting = 64;
        int beyondLimit = 6;
        try (World world = world();
                RawMysqlClient client = rawClient(world)) {
            CountDownLatch released = new CountDownLatch(1);
            primary.hold = released;
            List<byte[]> commands = new ArrayList<>();
            commands.add(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            List<String> expected = new ArrayList<>();
            expected.add("rows");
            for (int i = 0; i < maxWaiting + beyondLimit; i++) {
                commands.add(RawMysqlClient.command(Protocol.COM_PING, ""));
                expected.add(i < maxWaiting ? "ok" : "1226");
            }
            client.send(commands.toArray(new byte[0][]));
            World.await("the request a runs", () -> primary.runs.containsKey("a"));
            released.countDown();
            // Commands that came after another request of this client are answered in order, rejected ones too.
            assertEquals(expected, client.answers(1 + maxWaiting + beyondLimit));
            client.send(RawMysqlClient.command(Protocol.COM_PING, ""));
            assertEquals(List.of("ok"), client.answers(1));
        }
    }

    @Test
    void a_protocol_violation_is_reported_after_the_answers_to_all_earlier_commands() throws Exception {
        try (World world = world();
                RawMysqlClient client = rawClient(world)) {
            CountDownLatch released = new CountDownLatch(1);
            primary.hold = released;
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            World.await("the request a runs", () -> primary.runs.containsKey("a"));
            client.send(RawMysqlClient.command(Protocol.COM_PING, ""), new byte[] {0, 0, (byte) 255, 0, 1});
            released.countDown();
            assertEquals(List.of("rows", "ok", "1153", "end"), client.answers(4));
        }
    }

    @Test
    void a_malformed_command_and_those_around_it_each_get_an_answer() throws Exception {
        try (World world = world();
                RawMysqlClient client = rawClient(world)) {
            CountDownLatch released = new CountDownLatch(1);
            primary.hold = released;
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            World.await("the request a runs", () -> primary.runs.containsKey("a"));
            client.send(
                    RawMysqlClient.command(Protocol.COM_PING, ""),
                    RawMysqlClient.command(Protocol.COM_STMT_EXECUTE, "x"),
                    RawMysqlClient.command(Protocol.COM_PING, ""));
            released.countDown();
            assertEquals(List.of("rows", "ok", "1153", "1153", "end"), client.answers(5));
        }
    }
}
