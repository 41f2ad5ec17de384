package lupinvalve.net;

import static lupinvalve.net.HeldCore.draining;
import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.insertQuery;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.selectQuery;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.function.UnaryOperator;
import lupinvalve.core.EventLoop;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;

/**
 * A request is sent while the decision for it is valid, or not at all: a drain is obeyed by the time of the first byte.
 */
class FirstByteTest {
    @Test
    void requestDelayedBySlowIoThreadIsNotSentToADrainingDbNode() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                HeldSockets sockets = new HeldSockets(pooler.net);
                Socket client = pooler.client()) {
            // An idle connection makes the core write the request as soon as it has decided.
            sendQuery(client, insertQuery("y", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            HeldCore.Pause beforeDecision = pooler.pauseCore();
            beforeDecision.awaitReached();
            sendQuery(client, insertQuery("a", 2000));
            World.await("read", pooler.links.get(0)::hasMoreInput);
            sockets.pause();
            beforeDecision.resume();
            pooler.onCore(() -> null);
            long decidedMicros = pooler.loop.now();
            pooler.applyUpdate(draining(primary, "p"));
            World.await("send deadline passed", () -> pooler.loop.now() > decidedMicros + 320_000);
            sockets.resume();
            assertEquals(List.of("53300"), readAnswer(client));
            assertEquals(1, primary.seen.size(), primary.seen.toString());
        }
    }

    @Test
    void requestDelayedBySlowIoThreadIsRoutedAgain() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                HeldSockets sockets = new HeldSockets(pooler.net);
                Socket client = pooler.client()) {
            sendQuery(client, insertQuery("y", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            HeldCore.Pause beforeDecision = pooler.pauseCore();
            beforeDecision.awaitReached();
            sendQuery(client, insertQuery("a", 2000));
            World.await("read", pooler.links.get(0)::hasMoreInput);
            sockets.pause();
            beforeDecision.resume();
            pooler.onCore(() -> null);
            long decidedMicros = pooler.loop.now();
            World.await("send deadline passed", () -> pooler.loop.now() > decidedMicros + 320_000);
            sockets.resume();
            // No db node drains: the request is sent once, on another connection.
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(2, primary.seen.size(), primary.seen.toString());
            assertEquals(2, primary.met.get());
        }
    }

    /** Guards against reads that the I/O thread sends once their replica's data is older than the class permits. */
    @Test
    void readDelayedBySlowIoThreadIsNotSentToAStaleReplica() throws Exception {
        UnaryOperator<String> settings = text -> text.replace("\"bounce\"", "\"silent\"")
                .replace("\"aim_us\": 600000", "\"aim_us\": 1500000")
                .replace("\"stop_sending_within_us\": 250000", "\"stop_sending_within_us\": 4000000");
        try (DbNode primary = new DbNode("p", true);
                DbNode replica = new DbNode("r", false);
                HeldCore pooler = new HeldCore(settings, entry(primary, "p", 0), entry(replica, "r", 0));
                HeldSockets sockets = new HeldSockets(pooler.net);
                Socket client = pooler.client()) {
            for (int i = 0; replica.seen.isEmpty(); i++) {
                assertTrue(i < 200, "the replica serves");
                sendQuery(client, selectQuery("a" + i, "bag-status", 1900));
                assertEquals(List.of("T", "D", "C"), readAnswer(client));
            }
            HeldCore.Pause beforeDecision = pooler.pauseCore();
            beforeDecision.awaitReached();
            sendQuery(client, selectQuery("b", "bag-status", 1900));
            World.await("read", pooler.links.get(0)::hasMoreInput);
            sockets.pause();
            long positionMillis = System.currentTimeMillis();
            replica.asOf = () -> positionMillis;
            int seen = replica.seen.size();
            beforeDecision.resume();
            pooler.onCore(() -> null);
            World.await("stale", () -> System.currentTimeMillis() > positionMillis + 600);
            sockets.resume();
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            assertEquals(seen, replica.seen.size(), "sent to a db node that was too far behind by then");
            assertTrue(primary.seen.get(primary.seen.size() - 1).contains("id=b"));
        }
    }

    /** Guards against the rest of a request that a db node takes long after it has taken the request's beginning. */
    @Test
    void restOfARequestIsNotSentAfterItsDeadline() {
        EventLoop loop = new EventLoop();
        Link link = new Link(loop, (bytes, from, to, out) -> to, null);
        long now = loop.now();
        link.setSendDeadline(now - 1, now + 1_000_000);
        assertTrue(link.checkSendDeadline(0), "the first byte is late");
        Link begun = new Link(loop, (bytes, from, to, out) -> to, null);
        begun.setSendDeadline(now + 1_000_000, now - 1);
        assertTrue(begun.checkSendDeadline(10), "a later byte is late");
        Link inTime = new Link(loop, (bytes, from, to, out) -> to, null);
        inTime.setSendDeadline(now - 1, now + 1_000_000);
        assertFalse(inTime.checkSendDeadline(10), "the first byte was in time, and so is a later one");
    }
}
