package lupinvalve.net;

import static lupinvalve.net.HeldCore.departed;
import static lupinvalve.net.HeldCore.draining;
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

/** A decision made when a connection was requested may be outdated once it is established, and so may its address. */
class LateConnectionTest {
    private static final UnaryOperator<String> UNCHANGED = text -> text;

    @Test
    void retryIsSentWithinItsWindowOrNotAtAll() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"unsafe\"", "\"keyed\"")
                                .replace("5000000", "300000")
                                .replace("\"group\": \"all\"", "\"group\": \"cell\""),
                        entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // The first attempt may have run; the retry's connection is established after its window.
            primary.script.add(DbNode.Makes.DROP);
            primary.hold = new CountDownLatch(1);
            sendQuery(client, insertQuery("a", 1900));
            World.await("request sent", () -> primary.seen.size() == 1);
            primary.greets = new CountDownLatch(1);
            long droppedNanos = System.nanoTime();
            primary.hold.countDown();
            World.await("retry waits for its connection", () -> primary.met.get() == 2);
            assertTrue(
                    System.nanoTime() - droppedNanos < 250_000_000L,
                    "this machine was too slow to test the retry window");
            World.await("retry window passed", () -> System.nanoTime() - droppedNanos > 400_000_000L);
            primary.greets.countDown();
            assertEquals(List.of("58000"), readAnswer(client));
            assertEquals(1, primary.seen.size(), primary.seen.toString());
        }
    }

    @Test
    void readIsNotSentToADbNodeThatHasBecomeStale() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                DbNode replica = new DbNode("r", false);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"bounce\"", "\"silent\"")
                                .replace("\"aim_us\": 600000", "\"aim_us\": 1500000"),
                        entry(primary, "p", 0),
                        entry(replica, "r", 0));
                Socket client = pooler.client()) {
            // Read until both positions are known; then the replica's position stops advancing.
            World.await("the replica serves", () -> {
                try {
                    sendQuery(client, selectQuery("a" + System.nanoTime(), "bag-status", 1900));
                    return readAnswer(client).contains("D") && !replica.seen.isEmpty();
                } catch (java.io.IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            long positionMillis = System.currentTimeMillis();
            replica.asOf = () -> positionMillis;
            int seen = replica.seen.size();
            pooler.onCore(() -> {
                pooler.pool.closeIdleConnections("r");
                return null;
            });
            int met = replica.met.get();
            replica.greets = new CountDownLatch(1);
            sendQuery(client, selectQuery("b", "bag-status", 1900));
            World.await("connection attempted", () -> replica.met.get() > met);
            World.await("replica stale", () -> System.currentTimeMillis() > positionMillis + 700);
            replica.greets.countDown();
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(seen, replica.seen.size(), "sent to a db node that was too far behind by then");
            assertTrue(primary.seen.get(primary.seen.size() - 1).contains("id=b"));
        }
    }

    @Test
    void requestWaitingForAConnectionIsNotSentAfterADrainOfUnknownAge() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            sendQuery(client, insertQuery("a", 1900));
            World.await("connection attempted", () -> primary.met.get() == 1);
            pooler.applyFullList(draining(primary, "p"));
            primary.greets.countDown();
            assertEquals(List.of("53300"), readAnswer(client));
            assertEquals(List.of(), primary.seen);
        }
    }

    @Test
    void requestWaitingForAConnectionIsSentIfTheDrainIsRecent() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace(
                                "\"stop_sending_within_us\": 250000", "\"stop_sending_within_us\": 4000000"),
                        entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            sendQuery(client, insertQuery("a", 1900));
            World.await("connection attempted", () -> primary.met.get() == 1);
            pooler.applyUpdate(draining(primary, "p"));
            primary.greets.countDown();
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(1, primary.seen.size());
        }
    }

    @Test
    void idleConnectionIsNotUsedOnceItsDbNodeHasMoved() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(first, "p", 0));
                Socket client = pooler.client()) {
            sendQuery(client, insertQuery("a", 1000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            pooler.applyUpdate(entry(second, "p", 0));
            World.await("closed", () -> first.open.get() == 0);
            sendQuery(client, insertQuery("b", 1000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(1, first.seen.size());
            assertEquals(1, second.seen.size());
        }
    }

    @Test
    void busyConnectionIsNotReusedOnceItsDbNodeHasLeftAndReturnedElsewhere() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(first, "p", 0));
                Socket client = pooler.client()) {
            first.hold = new CountDownLatch(1);
            sendQuery(client, insertQuery("a", 1900));
            World.await("request sent", () -> first.seen.size() == 1);
            pooler.applyUpdate(departed("p"));
            pooler.applyUpdate(entry(second, "p", 0));
            first.hold.countDown();
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            World.await("closed", () -> first.open.get() == 0);
            sendQuery(client, insertQuery("b", 1900));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(1, first.seen.size());
            assertEquals(1, second.seen.size());
        }
    }

    @Test
    void connectionsFromBeforeARestartAreNotUsed() throws Exception {
        try (DbNode node = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(node, "p", 0));
                Socket client = pooler.client()) {
            sendQuery(client, insertQuery("a", 1900));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            pooler.applyUpdate(entry(node, "p", System.currentTimeMillis() * 1000));
            World.await("closed", () -> node.open.get() == 0);
            sendQuery(client, insertQuery("b", 1900));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(2, node.met.get());
        }
    }

    @Test
    void requestWaitingForAConnectionToAnOldAddressIsSentToTheNewOne() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(first, "p", 0));
                Socket client = pooler.client()) {
            first.greets = new CountDownLatch(1);
            sendQuery(client, insertQuery("a", 1900));
            World.await("connection attempted", () -> first.met.get() == 1);
            pooler.applyUpdate(entry(second, "p", 0));
            first.greets.countDown();
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(List.of(), first.seen);
            assertEquals(1, second.seen.size());
            World.await("closed", () -> first.open.get() == 0);
        }
    }
}
