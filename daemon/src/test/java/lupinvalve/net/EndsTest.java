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
 * Closes that the pooler decides on while a request is in flight: the core is paused, so that the request has been read
 * and framed but not delivered when the core decides. There is no db node, so the answer is a rejection; what counts is
 * that there is an answer.
 */
class EndsTest {
    /** Sends a query; its result is the error's codes, or "served". */
    private static FutureTask<String> sendQuery(Connection client, String id) {
        FutureTask<String> answer = new FutureTask<>(() -> {
            try {
                client.createStatement()
                        .executeQuery("SELECT blob FROM rows WHERE handle = 'k1' /* id=" + id
                                + ",c=bag-status,t=acme,d=400,cluster=1 */");
                return "served";
            } catch (SQLException e) {
                return e.getSQLState() + " " + e.getErrorCode();
            }
        });
        World.thread(answer::run);
        return answer;
    }

    private static String rejection(SmallFront.Protocol protocol) {
        return protocol == SmallFront.Protocol.PG ? "53300 0" : "42000 1226";
    }

    @ParameterizedTest
    @EnumSource
    void connectionWithRequestInFlightIsNotEvicted(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront front = new SmallFront(protocol)) {
            List<Connection> idle = new ArrayList<>();
            for (int i = 0; i < SmallFront.MAX_CLIENTS; i++) {
                idle.add(front.client());
                assertEquals(
                        rejection(protocol), sendQuery(idle.get(i), "a" + i).get());
            }
            long idleStartNanos = System.nanoTime();
            World.await("idle long enough", () -> System.nanoTime() - idleStartNanos > 200_000_000L);
            front.pauseCore();
            FutureTask<Connection> newClient = new FutureTask<>(front::client);
            World.thread(newClient::run);
            World.await("connected", () -> front.links.size() == SmallFront.MAX_CLIENTS + 1);
            FutureTask<String> answer = sendQuery(idle.get(0), "b");
            World.await("read", front.links.get(0)::hasMoreInput);
            front.resumeCore();
            assertEquals(rejection(protocol), answer.get());
            // The next one had no request in flight.
            newClient.get().close();
            assertTrue(sendQuery(idle.get(1), "c").get().startsWith("08"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestThatCrossesWithShutdownIsAnswered(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront front = new SmallFront(protocol);
                Connection client = front.client();
                Connection idle = front.client()) {
            // A connection that was only just opened would get some time for its first request.
            assertEquals(rejection(protocol), sendQuery(idle, "i").get());
            front.pauseCore();
            front.loop.post(front.closeFront);
            FutureTask<String> answer = sendQuery(client, "d");
            World.await("read", front.links.get(0)::hasMoreInput);
            front.resumeCore();
            assertEquals(rejection(protocol), answer.get());
            assertTrue(sendQuery(idle, "e").get().startsWith("08"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestInFlightIsAnsweredBeforeSilentConnectionCloses(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront front = new SmallFront(protocol);
                Connection client = front.client()) {
            // Logged in but without a command so far, which makes it silent for the front.
            World.await("delivered", () -> !front.links.get(0).hasMoreInput());
            front.pauseCore();
            front.fillQueue();
            FutureTask<String> answer = sendQuery(client, "f");
            World.await("read", front.links.get(0)::hasMoreInput);
            long start = System.nanoTime();
            World.await("due", () -> System.nanoTime() - start > 2_700_000_000L);
            front.resumeCore();
            assertTrue(answer.get().startsWith(rejection(protocol)));
        }
    }

    @ParameterizedTest
    @EnumSource
    void clientsOverTheLimitGetAnErrorWhateverHasBeenRead(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront front = new SmallFront(protocol)) {
            List<Connection> first = new ArrayList<>();
            for (int i = 0; i < SmallFront.MAX_CLIENTS; i++) {
                first.add(front.client());
                assertEquals(
                        rejection(protocol), sendQuery(first.get(i), "g" + i).get());
            }
            // All are busy when the core hears of the new clients, so that none can be evicted.
            front.pauseCore();
            List<FutureTask<String>> busy = new ArrayList<>();
            for (int i = 0; i < SmallFront.MAX_CLIENTS; i++) {
                busy.add(sendQuery(first.get(i), "h" + i));
                World.await("read", front.links.get(i)::hasMoreInput);
            }
            byte[] bytes = "\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0\0\5\0".getBytes(ISO_8859_1);
            List<Socket> newcomers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket socket = new Socket("127.0.0.1", front.listener.address().getPort());
                socket.setSoTimeout(10_000);
                newcomers.add(socket);
                int count = SmallFront.MAX_CLIENTS + i + 1;
                socket.getOutputStream().write(bytes, 0, 1);
                World.await(
                        "begun",
                        () -> front.links.size() == count
                                && front.links.get(count - 1).hasMoreInput());
            }
            front.fillQueue();
            for (int i = 0; i < 40; i++) {
                Link link = front.links.get(SmallFront.MAX_CLIENTS + i);
                newcomers.get(i).getOutputStream().write(bytes, 1, bytes.length - 1);
                World.await("read", () -> link.bytesRead() == bytes.length);
            }
            front.resumeCore();
            for (Socket socket : newcomers) {
                int type = protocol == SmallFront.Protocol.PG
                        ? socket.getInputStream().read()
                        : socket.getInputStream().readNBytes(5)[4] & 255;
                assertEquals(protocol == SmallFront.Protocol.PG ? 'E' : 255, type);
                socket.close();
            }
            for (FutureTask<String> answer : busy) {
                assertEquals(rejection(protocol), answer.get());
            }
        }
    }

    /** Statements that arrive together with a startup over the limit have been read, so each gets its own rejection. */
    @Test
    void eachStatementOfAClientOverTheLimitIsRejected() throws Exception {
        try (SmallFront front = new SmallFront(SmallFront.Protocol.PG)) {
            front.fillWithBusyClients();
            byte[] startup = "\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1);
            byte[] statement = "Q\0\0\0\15SELECT 1\0".getBytes(ISO_8859_1);
            try (Socket newClient =
                    new Socket("127.0.0.1", front.listener.address().getPort())) {
                newClient.setSoTimeout(10_000);
                World.await("accepted", () -> front.links.size() == SmallFront.MAX_CLIENTS + 1);
                front.pauseCore();
                Link link = front.links.get(SmallFront.MAX_CLIENTS);
                newClient.getOutputStream().write(startup);
                World.await("read", () -> link.bytesRead() == startup.length);
                for (int i = 1; i <= 3; i++) {
                    int count = startup.length + i * statement.length;
                    newClient.getOutputStream().write(statement);
                    World.await("read", () -> link.bytesRead() == count);
                }
                front.resumeCore();
                // One for the startup, which came alone, and one for each statement.
                String answers = new String(newClient.getInputStream().readAllBytes(), ISO_8859_1);
                assertEquals(4, answers.split("C53300").length - 1, answers);
            }
        }
    }
}
