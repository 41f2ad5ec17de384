package lupinvalve.net;

import static lupinvalve.net.HeldCore.answer;
import static lupinvalve.net.HeldCore.ask;
import static lupinvalve.net.HeldCore.booking;
import static lupinvalve.net.HeldCore.draining;
import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.gone;
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

/** What was decided when a connection was asked for may no longer hold once it is up, nor may it lead where it did. */
class LateConnectionTest {
    private static final UnaryOperator<String> AS_IT_IS = text -> text;

    @Test
    void aRepeatGoesOutWithinItsWindowOrNotAtAll() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"unsafe\"", "\"keyed\"")
                                .replace("5000000", "300000")
                                .replace("\"group\": \"all\"", "\"group\": \"cell\""),
                        entry(primary, "p", 0));
                Socket client = pooler.client()) {
            // The first attempt may have run; the repeat's connection comes up when the window is over.
            primary.script.add(DbNode.Makes.DROP);
            primary.hold = new CountDownLatch(1);
            ask(client, booking("a", 1900));
            World.await("out", () -> primary.seen.size() == 1);
            primary.greets = new CountDownLatch(1);
            long dropped = System.nanoTime();
            primary.hold.countDown();
            World.await("repeat on its way", () -> primary.met.get() == 2);
            assertTrue(System.nanoTime() - dropped < 250_000_000L, "too late on this machine to tell");
            World.await("window over", () -> System.nanoTime() - dropped > 400_000_000L);
            primary.greets.countDown();
            assertEquals(List.of("58000"), answer(client));
            assertEquals(1, primary.seen.size(), primary.seen.toString());
        }
    }

    @Test
    void aReadGoesOutWhileItsDbNodeIsFreshEnoughOrNotThere() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                DbNode replica = new DbNode("r", false);
                HeldCore pooler = new HeldCore(
                        text -> text.replace("\"bounce\"", "\"silent\"")
                                .replace("\"aim_us\": 600000", "\"aim_us\": 1500000"),
                        entry(primary, "p", 0),
                        entry(replica, "r", 0));
                Socket client = pooler.client()) {
            // Read until both have told what they have, then the replica stands still.
            World.await("the replica serves", () -> {
                try {
                    ask(client, read("a" + System.nanoTime(), "bag-status", 1900));
                    return answer(client).contains("D") && !replica.seen.isEmpty();
                } catch (java.io.IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            long stands = System.currentTimeMillis();
            replica.asOf = () -> stands;
            int seen = replica.seen.size();
            pooler.onCore(() -> {
                pooler.pool.closeIdleConnections("r");
                return null;
            });
            int met = replica.met.get();
            replica.greets = new CountDownLatch(1);
            ask(client, read("b", "bag-status", 1900));
            World.await("on its way", () -> replica.met.get() > met);
            World.await("too old", () -> System.currentTimeMillis() > stands + 700);
            replica.greets.countDown();
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(seen, replica.seen.size(), "sent to a db node that was too far behind by then");
            assertTrue(primary.seen.get(primary.seen.size() - 1).contains("id=b"));
        }
    }

    @Test
    void whatWaitsForItsConnectionDoesNotGoToOneThatMayHaveBeenDrainedLongAgo() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            ask(client, booking("a", 1900));
            World.await("on its way", () -> primary.met.get() == 1);
            pooler.listedWhole(draining(primary, "p"));
            primary.greets.countDown();
            assertEquals(List.of("53300"), answer(client));
            assertEquals(List.of(), primary.seen);
        }
    }

    @Test
    void whatWaitsForItsConnectionGoesToAPrimaryWhoseDrainIsNew() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(
                        text -> text.replace(
                                "\"stop_sending_within_us\": 250000", "\"stop_sending_within_us\": 4000000"),
                        entry(primary, "p", 0));
                Socket client = pooler.client()) {
            primary.greets = new CountDownLatch(1);
            ask(client, booking("a", 1900));
            World.await("on its way", () -> primary.met.get() == 1);
            pooler.listed(draining(primary, "p"));
            primary.greets.countDown();
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(1, primary.seen.size());
        }
    }

    @Test
    void aRestingConnectionIsNotUsedOnceItsDbNodeIsElsewhere() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(first, "p", 0));
                Socket client = pooler.client()) {
            ask(client, booking("a", 1000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            pooler.listed(entry(second, "p", 0));
            World.await("closed", () -> first.open.get() == 0);
            ask(client, booking("b", 1000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(1, first.seen.size());
            assertEquals(1, second.seen.size());
        }
    }

    @Test
    void aBusyConnectionIsNotUsedAgainOnceItsDbNodeHasLeftAndCameBackElsewhere() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(first, "p", 0));
                Socket client = pooler.client()) {
            first.hold = new CountDownLatch(1);
            ask(client, booking("a", 1900));
            World.await("out", () -> first.seen.size() == 1);
            pooler.listed(gone("p"));
            pooler.listed(entry(second, "p", 0));
            first.hold.countDown();
            assertEquals(List.of("T", "D", "C"), answer(client));
            World.await("closed", () -> first.open.get() == 0);
            ask(client, booking("b", 1900));
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(1, first.seen.size());
            assertEquals(1, second.seen.size());
        }
    }

    @Test
    void aRestartedDbNodeGetsNothingOnConnectionsFromBefore() throws Exception {
        try (DbNode node = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(node, "p", 0));
                Socket client = pooler.client()) {
            ask(client, booking("a", 1900));
            assertEquals(List.of("T", "D", "C"), answer(client));
            pooler.listed(entry(node, "p", System.currentTimeMillis() * 1000));
            World.await("closed", () -> node.open.get() == 0);
            ask(client, booking("b", 1900));
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(2, node.met.get());
        }
    }

    @Test
    void whatWaitsForAConnectionToAFormerAddressGoesToTheNewOne() throws Exception {
        try (DbNode first = new DbNode("p", true);
                DbNode second = new DbNode("p", true);
                HeldCore pooler = new HeldCore(AS_IT_IS, entry(first, "p", 0));
                Socket client = pooler.client()) {
            first.greets = new CountDownLatch(1);
            ask(client, booking("a", 1900));
            World.await("on its way", () -> first.met.get() == 1);
            pooler.listed(entry(second, "p", 0));
            first.greets.countDown();
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(List.of(), first.seen);
            assertEquals(1, second.seen.size());
            World.await("closed", () -> first.open.get() == 0);
        }
    }
}
