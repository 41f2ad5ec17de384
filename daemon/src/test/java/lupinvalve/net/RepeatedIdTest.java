package lupinvalve.net;

import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.insertQuery;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;

/** Ids that come again before their request was answered: it runs once. */
class RepeatedIdTest {
    private static final UnaryOperator<String> UNCHANGED = text -> text;

    /** Guards against an id that runs twice, as its first client has left before the answer. */
    @Test
    void anIdThatComesAgainAfterItsClientHasLeftRunsOnce() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket first = pooler.client();
                Socket second = pooler.client()) {
            primary.hold = new CountDownLatch(1);
            sendQuery(first, insertQuery("a", 2000));
            World.await("runs", () -> primary.runs.containsKey("a"));
            DepartureTest.Departure.CLOSE.leave(first);
            World.await("no open request", () -> openRequests(pooler) == 0);
            primary.hold.countDown();
            sendQuery(second, insertQuery("a", 2000));
            assertEquals(List.of("58000"), readAnswer(second));
            sendQuery(second, insertQuery("b", 2000));
            assertEquals(List.of("T", "D", "C"), readAnswer(second));
            assertEquals(1, primary.runs.get("a"));
        }
    }

    private static int openRequests(HeldCore pooler) {
        try {
            return pooler.openRequests();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
