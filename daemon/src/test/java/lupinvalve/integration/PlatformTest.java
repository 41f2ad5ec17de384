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

/** The platform's front: one story for each way in which a day could be lost. */
class PlatformTest {
    static String read(String id, int wait) {
        return "SELECT blob FROM rows WHERE handle = 'k1' /* id=" + id + ",c=bag-status,t=acme,d=" + wait
                + ",cluster=1 */";
    }

    /** Messages of a greeting: R, K, four of S, Z. */
    static final int GREETING = 7;

    static String booking(String id, int wait) {
        return "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f') RETURNING blob /* id=" + id
                + ",c=pickup-booking,t=acme,d=" + wait + ",cluster=1 */";
    }

    static World calm(DbNode... nodes) throws Exception {
        return new World(OperatorConfig.NONE, nodes);
    }

    /** What a query ends as: the value, or the error's code. */
    static String end(Connection client, String query) throws SQLException {
        try (ResultSet rows = client.createStatement().executeQuery(query)) {
            rows.next();
            return rows.getString(1);
        } catch (SQLException e) {
            return e.getSQLState();
        }
    }

    /** Reads messages until so many of a type have come; gives their types and, for errors, the code. */
    static List<String> messages(Socket socket, char last, int times) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        List<String> got = new ArrayList<>();
        int left = times;
        while (left > 0) {
            int type = in.read();
            if (type < 0) {
                got.add("end");
                return got;
            }
            String body = new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
            got.add(type == 'E' ? "E" + body.replaceAll("(?s).*\0C(.{5}).*", "$1") : "" + (char) type);
            left -= type == last ? 1 : 0;
        }
        return got;
    }

    @Test
    void serves_and_passes_statements_on_with_only_the_wait_rewritten() throws Exception {
        DbNode replica = new DbNode("s-2", false);
        try (World world = calm(new DbNode("s-1", true), replica);
                Connection client = world.pg()) {
            assertEquals("value", end(client, read("a1", 900)));
            String seen = replica.seen.get(0);
            String[] sent = read("a1", 900).split("d=900");
            assertTrue(seen.startsWith(sent[0]) && seen.endsWith(sent[1]), seen);
            int left = Integer.parseInt(seen.substring(sent[0].length() + 2, seen.length() - sent[1].length()));
            assertTrue(left > 0 && left <= 900, seen);
        }
    }

    @Test
    void takes_bytes_in_any_pieces_and_answers_a_pipeline_in_order() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.ERROR);
        try (World world = calm(primary, new DbNode("s-2", false));
                Socket whole = world.raw();
                Socket pieces = world.raw(booking("b1", 900), "", read("b2", 900))) {
            messages(whole, 'Z', 1);
            for (byte b : new byte[] {'Q', 0, 0, 0, 5, 0}) {
                whole.getOutputStream().write(b);
                whole.getOutputStream().flush();
            }
            assertEquals(List.of("I", "Z"), messages(whole, 'Z', 1));
            messages(pieces, 'Z', 1);
            // The booking failed last in time, but first in order.
            assertEquals(List.of("E58000", "Z", "I", "Z", "T", "D", "C", "Z"), messages(pieces, 'Z', 3));
        }
    }

    @Test
    void a_booking_that_may_have_run_fails_and_goes_out_once() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.DROP);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            assertEquals("58000", end(client, booking("c1", 900)));
            assertEquals(1, primary.runs.get("c1"));
            assertEquals(1, primary.seen.size());
        }
    }

    @Test
    void a_db_node_that_refuses_connections_has_not_run_it_so_another_serves() throws Exception {
        DbNode dead = new DbNode("s-2", false);
        try (World world = calm(new DbNode("s-1", true), dead);
                Connection client = world.pg()) {
            dead.close();
            assertEquals("value", end(client, read("e1", 900)));
        }
    }

    @Test
    void a_full_primary_leads_to_a_refusal_with_advice_and_never_ran() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        for (int i = 0; i < 64; i++) {
            primary.script.add(DbNode.Makes.FULL);
        }
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            SQLException refused = assertThrows(
                    SQLException.class, () -> client.createStatement().executeQuery(booking("f1", 400)));
            assertEquals("53300", refused.getSQLState());
            assertTrue(refused.getMessage().contains("Detail: 50"), refused.getMessage());
            assertTrue(primary.runs.isEmpty());
        }
    }

    @Test
    void a_silent_db_node_costs_no_more_than_the_clients_wait_and_loses_its_connection() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg()) {
            long start = System.nanoTime();
            assertEquals("58000", end(client, booking("g1", 300)));
            long took = (System.nanoTime() - start) / 1_000_000;
            assertTrue(took >= 250 && took < 1500, "took ms: " + took);
            World.await("connection closed", () -> primary.open.get() == 0);
        }
    }

    @Test
    void a_client_that_goes_takes_its_attempt_along() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = calm(primary, new DbNode("s-2", false))) {
            try (Socket client = world.raw(booking("h1", 2000))) {
                World.await("attempt out", () -> primary.runs.containsKey("h1"));
                client.getOutputStream().flush();
            }
            World.await("attempt called off", () -> primary.open.get() == 0);
        }
    }

    @Test
    void bad_input_ends_its_own_connection_only() throws Exception {
        try (World world = calm(new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg();
                Socket oversized = world.raw();
                Socket strange = world.raw("SELECT 2")) {
            messages(oversized, 'Z', 1);
            oversized.getOutputStream().write(new byte[] {'Q', 127, 0, 0, 0});
            assertEquals(List.of("E08P01", "end"), messages(oversized, 'Z', 1));
            messages(strange, 'Z', 1);
            assertEquals(List.of("E42601", "Z"), messages(strange, 'Z', 1));
            assertEquals("value", end(client, read("i1", 900)));
        }
    }

    @Test
    void past_its_bound_it_says_so() throws Exception {
        // 64 sockets are the least it plans with: 35 of them for clients.
        try (World world = new World(64, OperatorConfig.NONE, new DbNode("s-1", true))) {
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < 35; i++) {
                // Each has a request open, so none can be closed to make room.
                world.nodes.get(0).script.add(DbNode.Makes.HANG);
                open.add(world.raw(booking("p" + i, 2000)));
                messages(open.get(i), 'Z', 1);
            }
            try (Socket extra = world.raw()) {
                assertEquals(List.of("E53300", "end"), messages(extra, 'Z', 1));
            }
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    @Test
    void nothing_new_goes_to_a_draining_db_node() throws Exception {
        DbNode leaving = new DbNode("s-2", false);
        DbNode staying = new DbNode("s-3", false);
        try (World world = calm(new DbNode("s-1", true), leaving, staying);
                Connection client = world.pg()) {
            World.await("watching", () -> world.watches.get() > 0);
            world.phase(leaving, "terminated");
            // Its idle connections are closed with the news; until then it may still be sent reads.
            AtomicReference<String> last = new AtomicReference<>("");
            World.await("told", () -> {
                try {
                    int before = leaving.seen.size();
                    last.set(end(client, read("j" + System.nanoTime(), 900)));
                    return leaving.seen.size() == before && leaving.open.get() == 0;
                } catch (SQLException e) {
                    throw new IllegalStateException(e);
                }
            });
            int before = leaving.seen.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("value", end(client, read("k" + i, 900)));
            }
            assertEquals(before, leaving.seen.size());
        }
    }

    @Test
    void a_request_that_waits_for_its_connection_does_not_go_to_a_db_node_that_has_left() throws Exception {
        DbNode leaving = new DbNode("s-2", false);
        try (World world = calm(new DbNode("s-1", true), leaving);
                Socket client = world.raw()) {
            messages(client, 'Z', 1);
            World.await("watching", () -> world.watches.get() > 0);
            leaving.greets = new CountDownLatch(1);
            client.getOutputStream().write(query(read("w1", 900)));
            World.await("on its way", () -> leaving.met.get() > 0);
            world.phase(leaving, "terminated");
            // It is told on another connection than the one that comes up: a moment for the news to arrive first.
            Thread.sleep(60);
            leaving.greets.countDown();
            assertEquals(List.of("T", "D", "C", "Z"), messages(client, 'Z', 1));
            assertEquals(List.of(), leaving.seen);
        }
    }

    @Test
    void a_watch_gone_silent_is_replaced_within_the_six_seconds() throws Exception {
        try (World world = calm(new DbNode("s-1", true))) {
            World.await("watching", () -> world.watches.get() == 1);
            world.beats = false;
            long start = System.nanoTime();
            World.await("watching again", () -> world.watches.get() == 2);
            assertTrue(System.nanoTime() - start < 6_000_000_000L);
        }
    }

    @Test
    void told_to_stop_it_answers_what_it_took_and_closes_the_rest() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        try (World world = calm(primary, new DbNode("s-2", false));
                Socket idle = world.raw();
                Socket busy = world.raw(booking("l1", 1500))) {
            messages(idle, 'Z', 1);
            messages(busy, 'Z', 1);
            World.await("attempt out", () -> primary.runs.containsKey("l1"));
            CountDownLatch stopped = new CountDownLatch(1);
            world.daemon.drain(stopped::countDown);
            try (Socket late = world.raw(read("l2", 900))) {
                assertEquals(List.of("R", "K", "S", "S", "S", "S", "Z", "T", "D", "C", "Z"), messages(late, 'Z', 2));
            }
            assertEquals(List.of("end"), messages(idle, 'Z', 1));
            assertEquals(List.of("E58000", "Z", "end"), messages(busy, 'Z', 2));
            assertTrue(stopped.await(3, TimeUnit.SECONDS));
            assertThrows(ConnectException.class, () -> world.raw().close());
        }
    }

    @Test
    void told_to_stop_it_serves_on_for_as_long_as_answers_come_before_the_kill() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = calm(primary, new DbNode("s-2", false));
                Connection client = world.pg();
                Socket late = world.raw()) {
            messages(late, 'Z', 1);
            CountDownLatch stopped = new CountDownLatch(1);
            long start = System.nanoTime();
            world.daemon.drain(stopped::countDown);
            long served = 0;
            boolean asked = false;
            for (int id = 0; "value".equals(end(client, read("t" + id, 900))); id++) {
                served = System.nanoTime() - start;
                if (served > 1_000_000_000L && !asked) {
                    asked = true;
                    primary.script.add(DbNode.Makes.HANG);
                    late.getOutputStream().write(query(booking("late", 2000)));
                }
            }
            assertTrue(asked);
            // Its wait was cut: SIGKILL may come 0.7 s after the longest deadline, which is 2 s here.
            assertEquals(List.of("E58000", "Z", "end"), messages(late, 'Z', 2));
            assertTrue(stopped.await(3, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - start < 2_700_000_000L);
        }
    }

    static byte[] query(String text) {
        return ("Q\0\0" + (char) ((text.length() + 5) >> 8) + (char) ((text.length() + 5) & 255) + text + "\0")
                .getBytes(ISO_8859_1);
    }

    /**
     * More statements at once than may wait, and a goodbye behind them: each is answered before the connection ends in
     * order.
     */
    @Test
    void whatIsAskedAtOnceIsAnsweredBeforeAGoodbyeEndsTheConnection() throws Exception {
        int statements = 70;
        try (World world = calm(new DbNode("s-1", true), new DbNode("s-2", false))) {
            String[] queries = new String[statements];
            for (int i = 0; i < statements; i++) {
                queries[i] = read("g" + i, 900);
            }
            try (Socket client = world.raw(queries)) {
                client.getOutputStream().write(new byte[] {'X', 0, 0, 0, 4});
                List<String> told = messages(client, 'Z', statements + 2);
                assertEquals(statements + 1, told.stream().filter("Z"::equals).count());
                assertEquals("end", told.get(told.size() - 1));
            }
        }
    }
}
