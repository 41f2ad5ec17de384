package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lupinvalve.config.OperatorConfig;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.DbNode.Makes;
import lupinvalve.integration.World;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The MySQL front by MySQL's own driver, before stand-ins for MySQL servers. */
class MysqlTest {
    @TempDir
    Path folder;

    private final DbNode primary, replica;
    private final MysqlPort primaryPort, replicaPort;

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
        Map<String, String> members = Map.of("n0", "127.0.0.1:1");
        World world = new World(
                sockets,
                new OperatorConfig(
                        1,
                        new OperatorConfig.Mysql("127.0.0.1:0", "nobody", "", 0, "", "", ""),
                        new OperatorConfig.Store("test", "n0", folder, "127.0.0.1:0", members, null, 0),
                        null),
                primary,
                replica);
        // The front is served once a configuration with its accounts has been accepted.
        assertNull(world.daemon.mysqlAddress());
        String document = "{\"mysql\": {\"user\": \"portal\", \"password\": \"towel\", \"node_user\": \""
                + MysqlPort.USER + "\", \"node_password\": \"" + MysqlPort.PASSWORD + "\"}}";
        GroupClient operator = new GroupClient(
                "test", Map.of("n0", "127.0.0.1:" + world.daemon.storeAddress().getPort()), null);
        assertEquals(
                WireMessages.Status.OK,
                operator.call("put", List.of("0".getBytes(UTF_8), document.getBytes(UTF_8)), false, 10_000)
                        .status());
        World.await("served", () -> world.daemon.mysqlAddress() != null);
        return world;
    }

    private static Connection client(World world) throws SQLException {
        return world.mysql("portal", "towel");
    }

    private static String comment(String cls, String id, int wait) {
        return " /* id=" + id + ",c=" + cls + ",t=acme,d=" + wait + ",cluster=1 */";
    }

    private static String read(String cls, String id, int wait) {
        return "SELECT blob FROM rows WHERE handle = 'k1'" + comment(cls, id, wait);
    }

    private static String booking(String id, int wait) {
        return "INSERT INTO rows (handle, blob) VALUES ('k1', 'x') RETURNING blob"
                + comment("pickup-booking", id, wait);
    }

    /** JDBC takes a write for one without rows, so each statement is told apart by what it gives. */
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

    private static String end(Connection client, String query) throws SQLException {
        try (Statement statement = client.createStatement()) {
            return value(statement, query);
        } catch (SQLException e) {
            return e.getErrorCode() == 0 ? e.getSQLState() : Integer.toString(e.getErrorCode());
        }
    }

    @Test
    void an_account_is_checked() throws Exception {
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
    void statements_are_served_plain_and_prepared_with_their_fields_in_attributes_or_the_comment() throws Exception {
        try (World world = world();
                Connection client = client(world)) {
            assertEquals("value", end(client, read("bag-status", "a1", 900)));
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
            assertEquals(1, primaryPort.prepares.get());
        }
    }

    @Test
    void a_statement_prepared_before_a_drain_executes_on_another_db_node() throws Exception {
        DbNode other = new DbNode("s-3", false);
        MysqlPort otherPort = new MysqlPort(other, true);
        try (World world = new World(
                        new OperatorConfig(
                                1,
                                new OperatorConfig.Mysql(
                                        "127.0.0.1:0", "portal", "towel", 0, MysqlPort.USER, MysqlPort.PASSWORD, ""),
                                null,
                                null),
                        primary,
                        replica,
                        other);
                Connection client = client(world);
                PreparedStatement read = client.prepareStatement(
                        "SELECT blob FROM rows WHERE handle = ?" + comment("bag-status", "b1", 900))) {
            read.setString(1, "k1");
            assertEquals("value", value(read));
            // Whichever of the two replicas ran it leaves.
            DbNode first = replica.seen.isEmpty() ? other : replica;
            DbNode second = first == other ? replica : other;
            world.phase(first, "terminated");
            World.await("told", () -> first.open.get() == 0);
            int before = first.seen.size();
            for (int i = 0; i < 5; i++) {
                assertEquals("value", value(read));
            }
            assertEquals(before, first.seen.size());
            assertEquals(5, second.seen.size());
            assertEquals(1, (second == other ? otherPort : replicaPort).prepares.get());
        }
    }

    @Test
    void deadlines_refusals_and_errors_end_as_documented() throws Exception {
        try (World world = world();
                Connection client = client(world)) {
            primary.script.add(Makes.HANG);
            long start = System.nanoTime();
            assertEquals("1105", end(client, booking("c1", 300)));
            assertTrue(System.nanoTime() - start < 1_500_000_000L);
            primary.script.add(Makes.ERROR);
            assertEquals("1105", end(client, booking("c2", 900)));
            for (int i = 0; i < 64; i++) {
                primary.script.add(Makes.FULL);
            }
            SQLException refused = assertThrows(
                    SQLException.class, () -> client.createStatement().execute(booking("c3", 400)));
            assertEquals(1226, refused.getErrorCode());
            assertTrue(refused.getMessage().contains("retry after 50 ms"), refused.getMessage());
            assertFalse(primary.runs.containsKey("c3"));
            assertEquals("1064", end(client, "SELECT blob FROM rows"));
        }
    }

    @Test
    void a_booking_whose_connection_breaks_fails_and_ran_once() throws Exception {
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
    void a_client_of_both_protocols_sees_its_writes_though_the_replica_is_behind() throws Exception {
        long stopped = System.currentTimeMillis() - 200;
        replica.asOf = () -> stopped;
        try (World world = world();
                Connection mysql = client(world);
                Connection pg = world.pg()) {
            try (ResultSet rows = pg.createStatement().executeQuery(booking("e1", 900))) {
                assertTrue(rows.next());
            }
            // No read carries the commit: the pooler's store remembers it.
            assertEquals("value", end(mysql, read("own-order-view", "e2", 900)));
            assertEquals(1, primary.runs.get("e2"));
            assertEquals("value", end(mysql, booking("e3", 900)));
            try (ResultSet rows = pg.createStatement().executeQuery(read("own-order-view", "e4", 900))) {
                assertTrue(rows.next());
            }
            assertEquals(1, primary.runs.get("e4"));
        }
    }

    @Test
    void reads_keep_their_bound_of_age() throws Exception {
        long stopped = System.currentTimeMillis() - 5_000;
        replica.asOf = () -> stopped;
        try (World world = world();
                Connection client = client(world)) {
            // The replica's first answer tells how far behind it is; from then on it is sent no such read.
            assertEquals("value", end(client, read("own-order-view", "f0", 900)));
            assertEquals("value", end(client, read("bag-status", "f1", 900)));
            assertEquals("value", end(client, read("bag-status", "f2", 900)));
            assertFalse(replica.runs.containsKey("f1") || replica.runs.containsKey("f2"));
        }
    }

    @Test
    void the_same_work_ends_the_same_over_both_fronts() throws Exception {
        List<String> ends = new ArrayList<>();
        try (World world = world();
                Connection mysql = client(world);
                Connection pg = world.pg()) {
            for (Connection client : List.of(mysql, pg)) {
                for (Makes makes : Makes.values()) {
                    if (makes == Makes.MISS || makes == Makes.BEHIND || makes.compareTo(Makes.DROP) > 0) {
                        continue;
                    }
                    // Misses would send the write round the members: one answer of the primary decides here.
                    primary.script.clear();
                    for (int i = 0; i < (makes == Makes.FULL ? 64 : 1); i++) {
                        primary.script.add(makes);
                    }
                    String query = booking(makes + "-" + (client == mysql), 900);
                    String end = client == mysql ? end(client, query) : pgEnd(client, query);
                    ends.add(makes + " "
                            + end.replace("53300", "refused")
                                    .replace("1226", "refused")
                                    .replace("58000", "failed")
                                    .replace("1105", "failed"));
                    primary.script.clear();
                    // A broken or silent connection ejects the primary for a moment: it must be back for the next.
                    for (int i = 0;
                            !"value"
                                    .equals(
                                            client == mysql
                                                    ? end(client, booking("w", 900))
                                                    : pgEnd(client, booking("w", 900)));
                            i++) {
                        assertTrue(i < 50);
                    }
                }
            }
        }
        assertEquals(
                List.of("SERVED value", "FULL refused", "ERROR failed", "HANG failed", "DROP failed"),
                ends.subList(0, 5));
        assertEquals(ends.subList(0, 5), ends.subList(5, 10));
    }

    private static String pgEnd(Connection client, String query) throws SQLException {
        try (Statement statement = client.createStatement()) {
            return value(statement, query);
        } catch (SQLException e) {
            return e.getSQLState();
        }
    }

    @Test
    void silent_connections_give_way_to_clients() throws Exception {
        try (World world = world(64)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                silent.add(new Socket("127.0.0.1", world.daemon.mysqlAddress().getPort()));
            }
            for (Socket socket : silent) {
                // Greeted, or told that there is no room: a connection whose greeting is on its way can't give way.
                socket.getInputStream().read();
            }
            try (Connection client = client(world)) {
                assertEquals("value", end(client, read("bag-status", "s1", 900)));
            }
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void a_spoilt_answer_may_have_run_and_bytes_behind_a_whole_one_spoil_the_connection() throws Exception {
        byte[] head = new Out().lenenc(1).packet(1);
        byte[] column = Variables.column("blob").packet(2);
        byte[] end = Protocol.Ok.PLAIN.packet(0xFE, Protocol.SESSION_TRACK, 4);
        try (World world = world();
                Connection client = client(world)) {
            int id = 0;
            for (byte[] spoilt : List.of(
                    "noise".getBytes(),
                    new byte[] {-1, -1, -1, 1, 0},
                    new Out()
                            .raw(head)
                            .raw(column)
                            .raw(new Out().int1(9).text("odd").packet(3))
                            .raw(end)
                            .payload(),
                    new Out()
                            .raw(head)
                            .raw(column)
                            .raw(new Out().counted("odd").int1(0).packet(3))
                            .raw(end)
                            .payload(),
                    new Out()
                            .raw(head)
                            .raw(new Out().counted("odd").packet(2))
                            .raw(end)
                            .payload(),
                    new Out()
                            .raw(head)
                            .raw(column)
                            .raw(new Out().counted("odd").packet(7))
                            .raw(end)
                            .payload())) {
                primary.strange = spoilt;
                primary.script.add(Makes.SPOILT);
                assertEquals("1105", end(client, booking("v" + ++id, 900)));
                assertEquals("value", end(client, booking("w" + id, 900)));
            }
            assertTrue(primary.runs.values().stream().allMatch(runs -> runs == 1));
            primary.strange = new Out().raw(head).raw(column).payload();
            primary.script.add(Makes.MORE);
            assertEquals("value", end(client, booking("x", 900)));
            assertEquals("value", end(client, booking("y", 900)));
        }
    }

    @Test
    void bad_fields_and_anothers_id_are_turned_down() throws Exception {
        primary.script.add(Makes.HANG);
        try (World world = world();
                Connection client = client(world);
                Connection stranger = client(world)) {
            Thread owner = new Thread(() -> {
                try {
                    end(client, booking("o1", 700));
                } catch (SQLException e) {
                    throw new IllegalStateException(e);
                }
            });
            owner.start();
            World.await("out", () -> primary.runs.containsKey("o1"));
            assertEquals("1064", end(stranger, booking("o1", 700)));
            assertEquals("1064", end(stranger, booking("o2", 700).replace("d=700", "d=1e3")));
            assertEquals("1064", end(stranger, booking("o2", 700).replace("id=o2,", "")));
            assertEquals(1, primary.seen.size());
            owner.join();
        }
    }

    @Test
    void broken_packets_end_their_own_connection_only() throws Exception {
        try (World world = world();
                Connection client = client(world);
                Socket broken =
                        new Socket("127.0.0.1", world.daemon.mysqlAddress().getPort())) {
            broken.setSoTimeout(10_000);
            broken.getOutputStream().write(new byte[] {1, 0, 0, 1, 0});
            byte[] all = broken.getInputStream().readAllBytes();
            assertTrue(new String(all, java.nio.charset.StandardCharsets.ISO_8859_1).contains("08S01packet too short"));
            assertEquals("value", end(client, read("bag-status", "g1", 900)));
        }
    }

    private RawMysqlClient raw(World world) throws Exception {
        return new RawMysqlClient(world.daemon.mysqlAddress(), "portal", "towel");
    }

    @Test
    void commands_past_the_bound_are_refused_in_their_turn_and_the_connection_goes_on() throws Exception {
        int waiting = 64;
        int more = 6;
        try (World world = world();
                RawMysqlClient client = raw(world)) {
            CountDownLatch held = new CountDownLatch(1);
            primary.hold = held;
            List<byte[]> commands = new ArrayList<>();
            commands.add(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            List<String> expected = new ArrayList<>();
            expected.add("rows");
            for (int i = 0; i < waiting + more; i++) {
                commands.add(RawMysqlClient.command(Protocol.COM_PING, ""));
                expected.add(i < waiting ? "ok" : "1226");
            }
            client.send(commands.toArray(new byte[0][]));
            World.await("it runs", () -> primary.runs.containsKey("a"));
            held.countDown();
            // Those behind another request of this client are told in their turn.
            assertEquals(expected, client.answers(1 + waiting + more));
            client.send(RawMysqlClient.command(Protocol.COM_PING, ""));
            assertEquals(List.of("ok"), client.answers(1));
        }
    }

    @Test
    void what_breaks_the_protocol_is_told_once_all_before_it_is_answered() throws Exception {
        try (World world = world();
                RawMysqlClient client = raw(world)) {
            CountDownLatch held = new CountDownLatch(1);
            primary.hold = held;
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            World.await("it runs", () -> primary.runs.containsKey("a"));
            client.send(RawMysqlClient.command(Protocol.COM_PING, ""), new byte[] {0, 0, (byte) 255, 0, 1});
            held.countDown();
            assertEquals(List.of("rows", "ok", "1153", "end"), client.answers(4));
        }
    }

    @Test
    void a_command_that_can_not_be_read_takes_no_answer_from_those_around_it() throws Exception {
        try (World world = world();
                RawMysqlClient client = raw(world)) {
            CountDownLatch held = new CountDownLatch(1);
            primary.hold = held;
            client.send(RawMysqlClient.command(Protocol.COM_QUERY, booking("a", 5000)));
            World.await("it runs", () -> primary.runs.containsKey("a"));
            client.send(
                    RawMysqlClient.command(Protocol.COM_PING, ""),
                    RawMysqlClient.command(Protocol.COM_EXECUTE, "x"),
                    RawMysqlClient.command(Protocol.COM_PING, ""));
            held.countDown();
            assertEquals(List.of("rows", "ok", "1153", "1153", "end"), client.answers(5));
        }
    }
}
