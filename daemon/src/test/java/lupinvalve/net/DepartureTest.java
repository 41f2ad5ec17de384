package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static lupinvalve.net.HeldCore.answer;
import static lupinvalve.net.HeldCore.ask;
import static lupinvalve.net.HeldCore.booking;
import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.read;
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

/** Clients that go while something is still to be done for them: nothing is begun for nobody. */
class DepartureTest {
    private static final UnaryOperator<String> AS_IT_IS = text -> text;

    enum Goes {
        CLOSE {
            @Override
            void go(Socket client) throws Exception {
                client.close();
            }
        },
        RESET {
            @Override
            void go(Socket client) throws Exception {
                client.setSoLinger(true, 0);
                client.close();
            }
        },
        HALF_CLOSE {
            @Override
            void go(Socket client) throws Exception {
                client.shutdownOutput();
            }
        };

        abstract void go(Socket client) throws Exception;
    }

    @ParameterizedTest
    @EnumSource
    void whatACoreThatIsBehindHasYetToDecideIsNotBegunForAClientThatHasGone(Goes goes) throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // A connection rests, so that nothing but the decision stands between the request and the db node.
            ask(client, booking("y", 2000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            HeldCore.Stop before = pooler.stop();
            before.reached();
            ask(client, booking("a", 2000));
            World.await("read", pooler.links.get(0)::more);
            HeldCore.Stop between = pooler.stop();
            goes.go(client);
            World.await("seen to have gone", pooler.links.get(0)::hasEnded);
            before.letGo();
            letWhatIsOutArrive(between);
            World.await("over", () -> over(pooler));
            assertNothingMoreComes(pooler, primary, 1);
        }
    }

    @ParameterizedTest
    @EnumSource
    void whatWaitsForItsConnectionIsTakenBackAlsoWhereNothingMayBeCalledOff(Goes goes) throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"may_cancel\": true", "\"may_cancel\": false"), entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            ask(client, booking("b", 2000));
            World.await("on its way", () -> primary.met.get() == 1);
            goes.go(client);
            World.await("over", () -> over(pooler));
            primary.greets.countDown();
            assertNothingMoreComes(pooler, primary, 0);
        }
    }

    @Test
    void noFurtherAttemptIsBegunOnceItsClientHasGone() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // After a miss it is tried again at once: the answer and then the client's end come while the core is held.
            primary.hold = new CountDownLatch(1);
            for (int i = 0; i < 10; i++) {
                primary.script.add(DbNode.Makes.MISS);
            }
            ask(client, booking("c", 2000));
            World.await("out", () -> primary.seen.size() == 1);
            HeldCore.Stop before = pooler.stop();
            before.reached();
            long asked = System.nanoTime();
            primary.hold.countDown();
            World.await("answered", () -> primary.restsSince > asked);
            pooler.rounds(2);
            HeldCore.Stop between = pooler.stop();
            Goes.CLOSE.go(client);
            World.await("seen to have gone", pooler.links.get(0)::hasEnded);
            before.letGo();
            letWhatIsOutArrive(between);
            World.await("over", () -> over(pooler));
            assertEquals(1, primary.seen.size());
            assertNothingMoreComes(pooler, primary, 1);
            // Nor is anything left in the books: one that seems to be out for good would keep its db node from being
            // used.
            long rested = System.nanoTime();
            World.await("rested", () -> System.nanoTime() - rested > 1_500_000_000L);
            assertNothingMoreComes(pooler, primary, 2);
        }
    }

    @Test
    void aCancelEndsTheRequestAndWhatIsOutForIt() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(primary, "p", 0));
                Socket client =
                        new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            client.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1));
            String key = answer(client).stream()
                    .filter(m -> m.startsWith("K"))
                    .findFirst()
                    .orElseThrow()
                    .substring(1);
            primary.script.add(DbNode.Makes.HANG);
            ask(client, booking("d", 2000));
            World.await("out", () -> primary.seen.size() == 1);
            // Another's key cancels nothing.
            cancel(pooler, key.substring(0, 7) + (char) (key.charAt(7) ^ 1));
            assertEquals(1, pooler.requests());
            cancel(pooler, key);
            assertEquals(List.of("57014"), answer(client));
            World.await("called off", () -> primary.open.get() == 0);
            assertEquals(0, pooler.requests());
            // One that comes when nothing is due cancels nothing, and the connection goes on.
            cancel(pooler, key);
            ask(client, booking("e", 2000));
            assertEquals(List.of("T", "D", "C"), answer(client));
        }
    }

    @Test
    void aCancelWhileItsRequestWaitsForAConnectionLeavesNothingToBeSent() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"may_cancel\": true", "\"may_cancel\": false"), entry(primary, "p", 0));
                Socket client =
                        new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            client.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1));
            String key = answer(client).stream()
                    .filter(m -> m.startsWith("K"))
                    .findFirst()
                    .orElseThrow()
                    .substring(1);
            primary.greets = new CountDownLatch(1);
            ask(client, booking("f", 2000));
            World.await("on its way", () -> primary.met.get() == 1);
            cancel(pooler, key);
            assertEquals(List.of("57014"), answer(client));
            primary.greets.countDown();
            ask(client, read("g", "own-order-view", 1000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(1, primary.seen.size());
            assertTrue(primary.seen.get(0).contains("id=g"), primary.seen.get(0));
        }
    }

    /** The core has decided and stands still: what it wrote would arrive now. */
    private static void letWhatIsOutArrive(HeldCore.Stop stop) throws InterruptedException {
        stop.reached();
        Thread.sleep(100);
        stop.letGo();
    }

    private static void cancel(HeldCore pooler, String key) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", pooler.listener.address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(("\0\0\0\20\4\322\26\56" + key).getBytes(ISO_8859_1));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    private static boolean over(HeldCore pooler) {
        try {
            return pooler.requests() == 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** A request that is served behind it on the same db node shows that whatever was to be sent has been. */
    private static void assertNothingMoreComes(HeldCore pooler, DbNode primary, int before) throws Exception {
        primary.script.clear();
        try (Socket next = pooler.client()) {
            ask(next, booking("z", 2000));
            assertEquals(List.of("T", "D", "C"), answer(next));
        }
        assertEquals(before + 1, primary.seen.size(), primary.seen.toString());
    }
}
