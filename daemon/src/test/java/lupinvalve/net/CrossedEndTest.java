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
 * What a client sends between the pooler's decision to end its connection and the end itself. The thread of the sockets
 * is held up at two points, and the statement is seen in the system's own table before it goes on: what has come by
 * that thread's last look is answered, and what comes behind it lies unread as the connection closes. A reset must say
 * so; an end in order would say that all was answered.
 */
class CrossedEndTest {
    private static final int STATEMENT = 80;

    /**
     * Why the connection is ended. MySQL drivers ask by themselves once they are in, so that none of them is silent.
     */
    enum Path {
        ROOM,
        SILENCE,
        SENT_AWAY
    }

    private static Throwable root(Throwable of) {
        return of.getCause() == null ? of : root(of.getCause());
    }

    private static FutureTask<Throwable> ask(Connection client) {
        FutureTask<Throwable> asked = new FutureTask<>(() -> {
            try {
                client.createStatement()
                        .executeQuery(
                                "SELECT blob FROM rows WHERE handle = 'k' /* id=crossed,c=bag-status,t=acme,d=400,cluster=1 */");
                return null;
            } catch (SQLException e) {
                return root(e);
            }
        });
        World.thread(asked::run);
        return asked;
    }

    private static void decide(Path path, SmallFront pool, FutureTask<Connection> newcomer) throws Exception {
        switch (path) {
            case ROOM -> World.thread(newcomer::run);
            case SENT_AWAY -> pool.loop.post(pool.closeFront);
            default -> {
                // Its time runs out.
            }
        }
    }

    /** A front whose clients have been asked to leave along a path, while the thread of its sockets stands still. */
    private static final class Decided implements Closeable {
        final SmallFront pool;
        final HeldSockets decided, looked;
        final List<Connection> clients = new ArrayList<>();

        Decided(SmallFront.Protocol protocol, Path path) throws Exception {
            pool = new SmallFront(protocol);
            decided = new HeldSockets(pool.net);
            looked = new HeldSockets(pool.net);
            for (int i = 0; i < SmallFront.MOST; i++) {
                clients.add(pool.client());
                if (path != Path.SILENCE) {
                    // Each has asked, so that it counts as resting.
                    Connection client = clients.get(i);
                    assertThrows(
                            SQLException.class,
                            () -> client.createStatement()
                                    .executeQuery(
                                            "SELECT blob FROM rows WHERE handle = 'k' /* id=first,c=bag-status,t=acme,d=400,cluster=1 */"));
                }
            }
            long rested = System.nanoTime();
            World.await("rested", () -> System.nanoTime() - rested > 200_000_000L);
            pool.hold();
            decide(path, pool, new FutureTask<>(pool::client));
            if (path == Path.ROOM) {
                World.await("connected", () -> pool.links.size() == SmallFront.MOST + 1);
            }
            decided.pause();
            pool.letGo();
            World.await("decided", pool.links.get(0)::isRetiring);
        }

        /** The first client asks; its statement is in the machine once this returns. */
        FutureTask<Throwable> asks() throws InterruptedException {
            long before = pool.bytesWaiting(0);
            FutureTask<Throwable> asked = ask(clients.get(0));
            World.await("in the machine", () -> pool.bytesWaiting(0) > before + STATEMENT);
            return asked;
        }

        @Override
        public void close() throws IOException {
            decided.close();
            looked.close();
            pool.close();
        }
    }

    @ParameterizedTest
    @CsvSource({"PG,ROOM", "PG,SILENCE", "PG,SENT_AWAY", "MYSQL,ROOM", "MYSQL,SENT_AWAY"})
    void whatComesBeforeTheLastLookIsAnswered(SmallFront.Protocol protocol, Path path) throws Exception {
        try (Decided front = new Decided(protocol, path)) {
            FutureTask<Throwable> asked = front.asks();
            front.decided.resume();
            SQLException answer = assertInstanceOf(SQLException.class, asked.get());
            assertEquals(
                    protocol == SmallFront.Protocol.PG ? "53300" : "42000", answer.getSQLState(), answer.toString());
        }
    }

    @ParameterizedTest
    @CsvSource({"PG,ROOM", "PG,SILENCE", "PG,SENT_AWAY", "MYSQL,ROOM", "MYSQL,SENT_AWAY"})
    void whatComesBeforeTheEndIsLeftUnreadUnderAReset(SmallFront.Protocol protocol, Path path) throws Exception {
        try (Decided front = new Decided(protocol, path)) {
            front.looked.pauseAtNextRead();
            front.decided.resume();
            front.looked.awaitPaused();
            assertTrue(front.pool.links.get(0).isBarred(), "the last look has been taken");
            FutureTask<Throwable> asked = front.asks();
            front.looked.resume();
            assertInstanceOf(SocketException.class, asked.get());
        }
    }

    /**
     * A connection past the bound on clients, whose startup and first statements come as it is ended for saying
     * nothing.
     */
    @Test
    void whatANewcomerPastTheBoundSendsAsItEndsIsLeftUnreadUnderAReset() throws Exception {
        try (SmallFront pool = new SmallFront(SmallFront.Protocol.PG);
                HeldSockets decided = new HeldSockets(pool.net);
                HeldSockets looked = new HeldSockets(pool.net)) {
            pool.fillWithBusyClients();
            try (Socket newcomer =
                    new Socket("127.0.0.1", pool.listener.address().getPort())) {
                newcomer.setSoTimeout(10_000);
                World.await("taken", () -> pool.links.size() == SmallFront.MOST + 1);
                decided.pause();
                World.await("decided", pool.links.get(SmallFront.MOST)::isRetiring);
                looked.pauseAtNextRead();
                decided.resume();
                looked.awaitPaused();
                newcomer.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0\0\5\0".getBytes(ISO_8859_1));
                World.await("in the machine", () -> pool.bytesWaiting(SmallFront.MOST) > 0);
                looked.resume();
                assertThrows(
                        SocketException.class, () -> newcomer.getInputStream().read());
            }
        }
    }

    /** Without anything unread the end is one in order, as ever. */
    @ParameterizedTest
    @CsvSource({"PG", "MYSQL"})
    void anEndThatNothingCrossesIsInOrder(SmallFront.Protocol protocol) throws Exception {
        try (SmallFront pool = new SmallFront(protocol);
                Socket client = new Socket("127.0.0.1", pool.listener.address().getPort())) {
            client.setSoTimeout(10_000);
            World.await("taken", () -> pool.links.size() == 1);
            pool.loop.post(pool.closeFront);
            DataInputStream in = new DataInputStream(client.getInputStream());
            if (protocol == SmallFront.Protocol.MYSQL) {
                byte[] head = in.readNBytes(4);
                in.skipNBytes(head[0] & 255);
            }
            assertEquals(-1, in.read());
            assertTrue(pool.links.get(0).isBarred());
        }
    }

    /**
     * A connection that was asked to end, is used after all, and then ends with its last word: a late last look takes
     * nothing of that.
     */
    @Test
    void aLastLookThatComesLateCutsNoLastWord() throws Exception {
        byte[] lastWord = new byte[8 << 20];
        try (SmallFront pool = new SmallFront(SmallFront.Protocol.PG);
                HeldSockets sockets = new HeldSockets(pool.net);
                Socket client = new Socket("127.0.0.1", pool.listener.address().getPort())) {
            client.setSoTimeout(10_000);
            World.await("taken", () -> pool.links.size() == 1);
            sockets.pause();
            Link link = pool.links.get(0);
            pool.loop.post(() -> {
                link.retire(0, EndReason.MADE_ROOM);
                link.write(lastWord);
                link.finish();
            });
            World.await("decided", link::isBarred);
            sockets.resume();
            assertEquals(lastWord.length, client.getInputStream().readAllBytes().length);
        }
    }
}
