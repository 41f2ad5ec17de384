package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What a client sends between the pooler's decision to close its connection and the close. The thread of the sockets is
 * paused at two points, and the statement is seen in the system's table of sockets before the thread continues: what
 * arrives before the final read is answered; what arrives after it is unread when the connection closes. The client
 * must then see a reset, as an orderly end would mean that everything was answered.
 */
class CrossedEndTest {
    private static final int STATEMENT_MIN_BYTES = 80;

    /**
     * Why the connection is closed. MySQL drivers send a command by themselves after the login, so none of them is
     * silent.
     */
    enum Cause {
        MADE_ROOM,
        SILENCE,
        SENT_AWAY
    }

    private static Throwable rootCause(Throwable error) {
        return error.getCause() == null ? error : rootCause(error.getCause());
    }

    private static FutureTask<Throwable> sendQuery(Connection client) {
        FutureTask<Throwable> answer = new FutureTask<>(() -> {
            try {
                client.createStatement()
                        .executeQuery(
                                "SELECT blob FROM rows WHERE handle = 'k' /* id=crossed,c=bag-status,t=acme,d=400,cluster=1 */");
                return null;
            } catch (SQLException e) {
                return rootCause(e);
            }
        });
        World.thread(answer::run);
        return answer;
    }

    private static void triggerClose(Cause cause, SmallFront smallFront, FutureTask<Connection> newClient)
            throws Exception {
        switch (cause) {
            case MADE_ROOM -> World.thread(newClient::run);
            case SENT_AWAY -> smallFront.loop.post(smallFront.closeFront);
            default -> {
                // Its time runs out by itself.
            }
        }
    }

    /** A front that has requested the close of its clients' connections while the thread of the sockets is paused. */
    private static final class PendingClose implements Closeable {
        final SmallFront smallFront;
        final HeldSockets beforeRead;
        final HeldSockets beforeClose;
        final List<Connection> clients = new ArrayList<>();

        PendingClose(SmallFront.Protocol protocol, Cause cause) throws Exception {
            smallFront = new SmallFront(protocol);
            beforeRead = new HeldSockets(smallFront.net);
            beforeClose = new HeldSockets(smallFront.net);
            for (int i = 0; i < SmallFront.MAX_CLIENTS; i++) {
                clients.add(smallFront.client());
                if (cause != Cause.SILENCE) {
                    // Each has sent a request, so that it counts as idle.
                    Connection client = clients.get(i);
                    assertThrows(
                            SQLException.class,
                            () -> client.createStatement()
                                    .executeQuery(
                                            "SELECT blob FROM rows WHERE handle = 'k' /* id=first,c=bag-status,t=acme,d=400,cluster=1 */"));
                }
            }
            long idleStartNanos = System.nanoTime();
            World.await("idle long enough", () -> System.nanoTime() - idleStartNanos > 200_000_000L);
            smallFront.pauseCore();
            triggerClose(cause, smallFront, new FutureTask<>(smallFront::client));
            if (cause == Cause.MADE_ROOM) {
                World.await("connected", () -> smallFront.links.size() == SmallFront.MAX_CLIENTS + 1);
            }
            beforeRead.pause();
            smallFront.resumeCore();
            World.await("decided", smallFront.links.get(0)::isRetiring);
        }

        /** The first client sends a statement, which is in this machine's receive buffer when this returns. */
        FutureTask<Throwable> sendStatement() throws InterruptedException {
            long before = smallFront.bytesWaiting(0);
            FutureTask<Throwable> answer = sendQuery(clients.get(0));
            World.await("in the receive buffer", () -> smallFront.bytesWaiting(0) > before + STATEMENT_MIN_BYTES);
            return answer;
        }

        @Override
        public void close() throws IOException {
            beforeRead.close();
            beforeClose.close();
            smallFront.close();
        }
    }

    @ParameterizedTest
    @CsvSource({"PG,MADE_ROOM", "PG,SILENCE", "PG,SENT_AWAY", "MYSQL,MADE_ROOM", "MYSQL,SENT_AWAY"})
    void statementBeforeTheFinalReadIsAnswered(SmallFront.Protocol protocol, Cause cause) throws Exception {
        try (PendingClose pending = new PendingClose(protocol, cause)) {
            FutureTask<Throwable> answer = pending.sendStatement();
            pending.beforeRead.resume();
            SQLException error = assertInstanceOf(SQLException.class, answer.get());
            assertEquals(protocol == SmallFront.Protocol.PG ? "53300" : "42000", error.getSQLState(), error.toString());
        }
    }

    @ParameterizedTest
    @CsvSource({"PG,MADE_ROOM", "PG,SILENCE", "PG,SENT_AWAY", "MYSQL,MADE_ROOM", "MYSQL,SENT_AWAY"})
    void statementAfterTheFinalReadGetsAReset(SmallFront.Protocol protocol, Cause cause) throws Exception {
        try (PendingClose pending = new PendingClose(protocol, cause)) {
            pending.beforeClose.pauseAtNextRead();
            pending.beforeRead.resume();
            pending.beforeClose.awaitPaused();
            assertTrue(pending.smallFront.links.get(0).isReadingStopped(), "the final read has been done");
            FutureTask<Throwable> answer = pending.sendStatement();
            pending.beforeClose.resume();
            assertInstanceOf(SocketException.class, answer.get());
        }
    }

    /**
     * A connection over the limit on clients, whose startup and first statement arrive while it is closed as silent.
     */
    @Test
    void clientOverTheLimitThatSendsAfterTheFinalReadGetsAReset() throws Exception {
        try (SmallFront smallFront = new SmallFront(SmallFront.Protocol.PG);
                HeldSockets beforeRead = new HeldSockets(smallFront.net);
                HeldSockets beforeClose = new HeldSockets(smallFront.net)) {
            smallFront.fillWithBusyClients();
            try (Socket newClient =
                    new Socket("127.0.0.1", smallFront.listener.address().getPort())) {
                newClient.setSoTimeout(10_000);
                World.await("accepted", () -> smallFront.links.size() == SmallFront.MAX_CLIENTS + 1);
                beforeRead.pause();
                World.await("decided", smallFront.links.get(SmallFront.MAX_CLIENTS)::isRetiring);
                beforeClose.pauseAtNextRead();
                beforeRead.resume();
                beforeClose.awaitPaused();
                newClient.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0\0\5\0".getBytes(ISO_8859_1));
                World.await("in the receive buffer", () -> smallFront.bytesWaiting(SmallFront.MAX_CLIENTS) > 0);
                beforeClose.resume();
                assertThrows(
                        SocketException.class, () -> newClient.getInputStream().read());
            }
        }
    }

    /** If nothing is unread the client sees an orderly end. */
    @ParameterizedTest
    @CsvSource({"PG", "MYSQL"})
    void closeWithoutUnreadInputIsOrderly(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront smallFront = new SmallFront(protocol);
                Socket client =
                        new Socket("127.0.0.1", smallFront.listener.address().getPort())) {
            client.setSoTimeout(10_000);
            World.await("accepted", () -> smallFront.links.size() == 1);
            smallFront.loop.post(smallFront.closeFront);
            DataInputStream in = new DataInputStream(client.getInputStream());
            if (protocol == SmallFront.Protocol.MYSQL) {
                byte[] head = in.readNBytes(4);
                in.skipNBytes(head[0] & 255);
            }
            assertEquals(-1, in.read());
            assertTrue(smallFront.links.get(0).isReadingStopped());
        }
    }

    /**
     * A connection whose close was requested is used after all and then finished: a final read that runs late must not
     * discard what is left to flush.
     */
    @Test
    void lateFinalReadDoesNotTruncateTheFinalAnswer() throws Exception {
        byte[] finalAnswer = new byte[8 << 20];
        try (SmallFront smallFront = new SmallFront(SmallFront.Protocol.PG);
                HeldSockets sockets = new HeldSockets(smallFront.net);
                Socket client =
                        new Socket("127.0.0.1", smallFront.listener.address().getPort())) {
            client.setSoTimeout(10_000);
            World.await("accepted", () -> smallFront.links.size() == 1);
            sockets.pause();
            Link link = smallFront.links.get(0);
            smallFront.loop.post(() -> {
                link.retire(0, EndReason.MADE_ROOM);
                link.write(finalAnswer);
                link.finish();
            });
            World.await("decided", link::isReadingStopped);
            sockets.resume();
            assertEquals(finalAnswer.length, client.getInputStream().readAllBytes().length);
        }
    }
}
