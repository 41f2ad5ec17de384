package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import lupinvalve.stories.World;
import org.junit.jupiter.api.Test;

/** Between the decision to end a connection and its end, bytes may come: nobody may go round for them without a pause. */
class BarredLinkTest {
    @Test
    void whatComesOnceReadingIsBarredIsLookedAtOnceAndNotAgain() throws Exception {
        try (HeldCore pooler = new HeldCore(text -> text); Socket client = pooler.client()) {
            Link link = pooler.links.get(0);
            HeldCore.Stop stop = pooler.stop();
            stop.reached();
            // The core has barred it and gets no further for a while.
            assertTrue(link.bar());
            HeldCore.ask(client, "");
            World.await("come to", () -> link.barredReads() > 0);
            pooler.rounds(20);
            assertTrue(link.barredReads() <= 2, "came to it " + link.barredReads() + " times");
            stop.letGo();
        }
    }
}
