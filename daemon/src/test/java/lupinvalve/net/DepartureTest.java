package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.insertQuery;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.selectQuery;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that leave while their requests are in progress: no further attempt may be sent for them. */
class DepartureTest {
    private static final UnaryOperator<String> UNCHANGED = text -> text;

    enum Departure {
        CLOSE {
            @Override
            void leave(Socket client) throws Exception {
                client.close();
            }
        },
        RESET {
            @Override
            void leave(Socket client) throws Exception {
                client.setSoLinger(true, 0);
                client.close();
            }
        },
        HALF_CLOSE {
            @Override
            void leave(Socket client) throws Exception {
                client.shutdownOutput();
            }
        };

        abstract void leave(Socket client) throws Exception;
    }

    @ParameterizedTest
    @EnumSource
    void requestQueuedForTheCoreIsNotSentOnceItsClientHasLeft(Departure departure) throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // An idle connection to the db node makes the core send the request as soon as it has decided.
            sendQuery(client, insertQuery("y", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            HeldCore.Pause beforeDecision = pooler.pauseCore();
            beforeDecision.awaitReached();
            sendQuery(client, insertQuery("a", 2000));
            World.await("read", pooler.links.get(0)::hasMoreInput);
            HeldCore.Pause afterDecision = pooler.pauseCore();
            departure.leave(client);
            World.await("end of the client connection seen", pooler.links.get(0)::hasEnded);
            beforeDecision.resume();
            allowSentToArrive(afterDecision);
            World.await("no open request", () -> hasNoOpenRequest(pooler));
            assertNoFurtherRequest(pooler, primary, 1);
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestWaitingForAConnectionIsDroppedEvenIfCancellationIsDisabled(Departure departure) throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"may_cancel\": true", "\"may_cancel\": false"), entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            sendQuery(client, insertQuery("b", 2000));
            World.await("connection attempted", () -> primary.met.get() == 1);
            departure.leave(client);
            World.await("no open request", () -> hasNoOpenRequest(pooler));
            primary.greets.countDown();
            assertNoFurtherRequest(pooler, primary, 0);
        }
    }

    @Test
    void noRetryStartsOnceTheClientHasLeft() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // A miss is retried at once: its answer and then the client's end arrive while the core is paused.
            primary.hold = new CountDownLatch(1);
            for (int i = 0; i < 10; i++) {
                primary.script.add(DbNode.Makes.MISS);
            }
            sendQuery(client, insertQuery("c", 2000));
            World.await("request sent", () -> primary.seen.size() == 1);
            HeldCore.Pause beforeDecision = pooler.pauseCore();
            beforeDecision.awaitReached();
            long askedNanos = System.nanoTime();
            primary.hold.countDown();
            World.await("answered", () -> primary.restsSince > askedNanos);
            pooler.awaitSelectRounds(2);
            HeldCore.Pause afterDecision = pooler.pauseCore();
            Departure.CLOSE.leave(client);
            World.await("end of the client connection seen", pooler.links.get(0)::hasEnded);
            beforeDecision.resume();
            allowSentToArrive(afterDecision);
            World.await("no open request", () -> hasNoOpenRequest(pooler));
            assertEquals(1, primary.seen.size());
            assertNoFurtherRequest(pooler, primary, 1);
            // Nor does an attempt stay counted as in flight: one that seemed to be for good would keep its db node
            // from being used.
            long waitStartNanos = System.nanoTime();
            World.await("idle long enough", () -> System.nanoTime() - waitStartNanos > 1_500_000_000L);
            assertNoFurtherRequest(pooler, primary, 2);
        }
    }

    @Test
    void cancelEndsTheRequestAndItsAttempt() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client =
                        new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            client.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1));
            String key = readAnswer(client).stream()
                    .filter(m -> m.startsWith("K"))
                    .findFirst()
                    .orElseThrow()
                    .substring(1);
            primary.script.add(DbNode.Makes.HANG);
            sendQuery(client, insertQuery("d", 2000));
            World.await("request sent", () -> primary.seen.size() == 1);
            // A wrong key cancels nothing.
            cancel(pooler, key.substring(0, 7) + (char) (key.charAt(7) ^ 1));
            assertEquals(1, pooler.openRequests());
            cancel(pooler, key);
            assertEquals(List.of("57014"), readAnswer(client));
            World.await("attempt closed", () -> primary.open.get() == 0);
            assertEquals(0, pooler.openRequests());
            // A cancel that arrives with no request open does nothing, and the connection stays open.
            cancel(pooler, key);
            sendQuery(client, insertQuery("e", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
        }
    }

    @Test
    void cancelWhileTheRequestWaitsForAConnectionSendsNothing() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"may_cancel\": true", "\"may_cancel\": false"), entry(primary, "p", 0));
                Socket client =
                        new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            client.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1));
            String key = readAnswer(client).stream()
                    .filter(m -> m.startsWith("K"))
                    .findFirst()
                    .orElseThrow()
                    .substring(1);
            primary.greets = new CountDownLatch(1);
            sendQuery(client, insertQuery("f", 2000));
            World.await("connection attempted", () -> primary.met.get() == 1);
            cancel(pooler, key);
            assertEquals(List.of("57014"), readAnswer(client));
            primary.greets.countDown();
            sendQuery(client, selectQuery("g", "own-order-view", 1000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(1, primary.seen.size());
            assertTrue(primary.seen.get(0).contains("id=g"), primary.seen.get(0));
        }
    }

    /** The core has decided and is paused: what it has sent arrives now. */
    private static void allowSentToArrive(HeldCore.Pause pause) throws InterruptedException {
        pause.awaitReached();
        Thread.sleep(100);
        pause.resume();
    }

    private static void cancel(HeldCore pooler, String key) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(("\0\0\0\20\4\322\26\56" + key).getBytes(ISO_8859_1));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    private static boolean hasNoOpenRequest(HeldCore pooler) {
        try {
            return pooler.openRequests() == 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** A request served afterwards by the same db node shows that everything that was to be sent has been. */
    private static void assertNoFurtherRequest(HeldCore pooler, DbNode primary, int seenBefore) throws Exception {
        primary.script.clear();
        try (Socket next = pooler.client()) {
            sendQuery(next, insertQuery("z", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(next));
        }
        assertEquals(seenBefore + 1, primary.seen.size(), primary.seen.toString());
    }
}
