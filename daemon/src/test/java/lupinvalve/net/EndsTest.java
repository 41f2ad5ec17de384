package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Ends that the pooler chooses while a request is on its way: the core is held up, so that the request has been read
 * and framed but not told when the core decides. There is no db node, so the answer is a refusal; what counts is that
 * there is one.
 */
class EndsTest {
    /** What a query ends as: the error's code. */
    private static FutureTask<String> ask(Connection client, String id) {
        FutureTask<String> asked = new FutureTask<>(() -> {
            try {
                client.createStatement()
                        .executeQuery("SELECT blob FROM rows WHERE handle = 'k1' /* id=" + id
                                + ",c=bag-status,t=acme,d=400,cluster=1 */");
                return "served";
            } catch (SQLException e) {
                return e.getSQLState() + " " + e.getErrorCode();
            }
        });
        World.thread(asked::run);
        return asked;
    }

    private static String refused(SmallFront.Protocol protocol) {
        return protocol == SmallFront.Protocol.PG ? "53300 0" : "42000 1226";
    }

    @ParameterizedTest
    @EnumSource
    void a_connection_whose_request_is_under_way_does_not_make_room(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront pool = new SmallFront(protocol)) {
            List<Connection> resting = new ArrayList<>();
            for (int i = 0; i < SmallFront.MOST; i++) {
                resting.add(pool.client());
                assertEquals(refused(protocol), ask(resting.get(i), "a" + i).get());
            }
            long rested = System.nanoTime();
            World.await("rested", () -> System.nanoTime() - rested > 200_000_000L);
            pool.hold();
            FutureTask<Connection> newcomer = new FutureTask<>(pool::client);
            World.thread(newcomer::run);
            World.await("connected", () -> pool.links.size() == SmallFront.MOST + 1);
            FutureTask<String> asked = ask(resting.get(0), "b");
            World.await("read", pool.links.get(0)::more);
            pool.letGo();
            assertEquals(refused(protocol), asked.get());
            // The next one had nothing under way.
            newcomer.get().close();
            assertTrue(ask(resting.get(1), "c").get().startsWith("08"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void a_request_that_crosses_with_the_end_of_the_program_is_answered(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront pool = new SmallFront(protocol);
                Connection client = pool.client();
                Connection idle = pool.client()) {
            // One that was only just opened would be given a moment for its first request.
            assertEquals(refused(protocol), ask(idle, "i").get());
            pool.hold();
            pool.loop.post(pool.closeFront);
            FutureTask<String> asked = ask(client, "d");
            World.await("read", pool.links.get(0)::more);
            pool.letGo();
            assertEquals(refused(protocol), asked.get());
            assertTrue(ask(idle, "e").get().startsWith("08"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void a_request_under_way_is_answered_before_its_silent_connection_ends(SmallFront.Protocol protocol)
            throws Exception {
        try (SmallFront pool = new SmallFront(protocol);
                Connection client = pool.client()) {
            // Logged in, but without a command so far: silent to the front.
            World.await("told", () -> !pool.links.get(0).more());
            pool.hold();
            pool.fill();
            FutureTask<String> asked = ask(client, "f");
            World.await("read", pool.links.get(0)::more);
            long start = System.nanoTime();
            World.await("due", () -> System.nanoTime() - start > 2_700_000_000L);
            pool.letGo();
            assertTrue(asked.get().startsWith(refused(protocol)));
        }
    }

    @ParameterizedTest
    @EnumSource
    void newcomers_past_the_bound_are_told_so_whatever_has_been_read(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront pool = new SmallFront(protocol)) {
            List<Connection> first = new ArrayList<>();
            for (int i = 0; i < SmallFront.MOST; i++) {
                first.add(pool.client());
                assertEquals(refused(protocol), ask(first.get(i), "g" + i).get());
            }
            // Busy while the newcomers are told of, so that there is nobody to make room.
            pool.hold();
            List<FutureTask<String>> busy = new ArrayList<>();
            for (int i = 0; i < SmallFront.MOST; i++) {
                busy.add(ask(first.get(i), "h" + i));
                World.await("read", pool.links.get(i)::more);
            }
            byte[] bytes = "\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0\0\5\0".getBytes(ISO_8859_1);
            List<Socket> newcomers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket socket = new Socket("127.0.0.1", pool.listener.address().getPort());
                socket.setSoTimeout(10_000);
                newcomers.add(socket);
                int count = SmallFront.MOST + i + 1;
                socket.getOutputStream().write(bytes, 0, 1);
                World.await(
                        "begun",
                        () -> pool.links.size() == count
                                && pool.links.get(count - 1).more());
            }
            pool.fill();
            for (int i = 0; i < 40; i++) {
                Link link = pool.links.get(SmallFront.MOST + i);
                newcomers.get(i).getOutputStream().write(bytes, 1, bytes.length - 1);
                World.await("read", () -> link.read() == bytes.length);
            }
            pool.letGo();
            for (Socket socket : newcomers) {
                int type = protocol == SmallFront.Protocol.PG
                        ? socket.getInputStream().read()
                        : socket.getInputStream().readNBytes(5)[4] & 255;
                assertEquals(protocol == SmallFront.Protocol.PG ? 'E' : 255, type);
                socket.close();
            }
            for (FutureTask<String> asked : busy) {
                assertEquals(refused(protocol), asked.get());
            }
        }
    }

    /** Statements that come with a startup past the bound have been read: each is told that it is refused. */
    @Test
    void eachStatementOfANewcomerPastTheBoundIsRefused() throws Exception {
        try (SmallFront pool = new SmallFront(SmallFront.Protocol.PG)) {
            pool.fillWithBusyClients();
            byte[] startup = "\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1);
            byte[] statement = "Q\0\0\0\15SELECT 1\0".getBytes(ISO_8859_1);
            try (Socket newcomer =
                    new Socket("127.0.0.1", pool.listener.address().getPort())) {
                newcomer.setSoTimeout(10_000);
                World.await("taken", () -> pool.links.size() == SmallFront.MOST + 1);
                pool.hold();
                Link link = pool.links.get(SmallFront.MOST);
                newcomer.getOutputStream().write(startup);
                World.await("read", () -> link.read() == startup.length);
                for (int i = 1; i <= 3; i++) {
                    int count = startup.length + i * statement.length;
                    newcomer.getOutputStream().write(statement);
                    World.await("read", () -> link.read() == count);
                }
                pool.letGo();
                // One for the startup, which came alone, and one for each statement.
                String told = new String(newcomer.getInputStream().readAllBytes(), ISO_8859_1);
                assertEquals(4, told.split("C53300").length - 1, told);
            }
        }
    }
}
