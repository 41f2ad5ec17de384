package lupinvalve.net;

import static lupinvalve.net.HeldCore.answer;
import static lupinvalve.net.HeldCore.ask;
import static lupinvalve.net.HeldCore.booking;
import static lupinvalve.net.HeldCore.draining;
import static lupinvalve.net.HeldCore.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;

/**
 * What was decided goes out in the time for which the decision holds, or not at all: a drain counts at the first byte.
 */
class FirstByteTest {
    @Test
    void whatASlowThreadHasNotBegunToWriteDoesNotGoToADbNodeThatDrains() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                HeldSockets sockets = new HeldSockets(pooler.net);
                Socket client = pooler.client()) {
            // A connection rests, so that the request is written as soon as it is decided.
            ask(client, booking("y", 2000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            HeldCore.Stop before = pooler.stop();
            before.reached();
            ask(client, booking("a", 2000));
            World.await("read", pooler.links.get(0)::more);
            sockets.pause();
            before.letGo();
            pooler.onCore(() -> null);
            long decided = pooler.loop.now();
            pooler.listed(draining(primary, "p"));
            World.await("its time is over", () -> pooler.loop.now() > decided + 320_000);
            sockets.resume();
            assertEquals(List.of("53300"), answer(client));
            assertEquals(1, primary.seen.size(), primary.seen.toString());
        }
    }

    @Test
    void whatASlowThreadHasNotBegunToWriteIsDecidedAnew() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                HeldSockets sockets = new HeldSockets(pooler.net);
                Socket client = pooler.client()) {
            ask(client, booking("y", 2000));
            assertEquals(List.of("T", "D", "C"), answer(client));
            HeldCore.Stop before = pooler.stop();
            before.reached();
            ask(client, booking("a", 2000));
            World.await("read", pooler.links.get(0)::more);
            sockets.pause();
            before.letGo();
            pooler.onCore(() -> null);
            long decided = pooler.loop.now();
            World.await("its time is over", () -> pooler.loop.now() > decided + 320_000);
            sockets.resume();
            // Nothing drains: it goes out once, on another connection.
            assertEquals(List.of("T", "D", "C"), answer(client));
            assertEquals(2, primary.seen.size(), primary.seen.toString());
            assertEquals(2, primary.met.get());
        }
    }
}
