package lupinvalve.net;

import static lupinvalve.net.HeldCore.draining;
import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.insertQuery;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
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
}
