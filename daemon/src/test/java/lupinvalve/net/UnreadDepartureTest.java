package lupinvalve.net;

import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.insertQuery;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.function.UnaryOperator;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/** Clients that leave while much of their input is unread. */
class UnreadDepartureTest {
    private static final UnaryOperator<String> UNCHANGED = text -> text;
    /** An empty statement. */
    private static final byte[] EMPTY = {'Q', 0, 0, 0, 5, 0};

    private static final int ROUNDS = 20;
    private static final int EMPTY_COUNT = 400_000;

    private static void sendEmptyStatements(Socket client) throws IOException {
        byte[] bytes = new byte[EMPTY.length * EMPTY_COUNT];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = EMPTY[i % EMPTY.length];
        }
        client.getOutputStream().write(bytes);
    }

    /** Guards against requests that begin long after their client has left, whose end stands behind unread input. */
    @Test
    void nothingBeginsOfAClientWhoseEndStandsBehindUnreadInput() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            HeldCore.Pause pause = pooler.pauseCore();
            pause.awaitReached();
            sendQuery(client, insertQuery("a", 2000));
            World.thread(() -> {
                sendEmptyStatements(client);
                DepartureTest.Departure.CLOSE.leave(client);
            });
            World.await("much is read", () -> pooler.links.get(0).bytesRead() > 30_000);
            Thread.sleep(300);
            pause.resume();
            Thread.sleep(500);
            assertEquals(List.of(), List.copyOf(primary.seen));
            try (Socket next = pooler.client()) {
                sendQuery(next, insertQuery("b", 2000));
                assertEquals(List.of("T", "D", "C"), readAnswer(next));
            }
        }
    }

    /**
     * Guards against a check that refuses requests of a client whose input is read at once, and against a connection
     * that is never read again after a pause, which takes several rounds to show.
     */
    @RepeatedTest(ROUNDS)
    void requestsBehindMuchOtherInputAreServedWhileTheirClientStays() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(UNCHANGED, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            World.thread(() -> client.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
            sendEmptyStatements(client);
            World.await("all is read", () -> pooler.links.get(0).bytesRead() > EMPTY.length * EMPTY_COUNT);
            Thread.sleep(100);
            sendQuery(client, insertQuery("a", 2000));
            World.await("served", () -> primary.runs.containsKey("a"));
        }
    }
}
