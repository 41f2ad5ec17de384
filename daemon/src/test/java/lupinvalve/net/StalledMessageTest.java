package lupinvalve.net;

import static lupinvalve.net.HeldCore.entry;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.selectQuery;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lupinvalve.integration.DbNode;
import org.junit.jupiter.api.Test;

/** Clients that stop in the middle of a message and stay: they get their error and the close within 3 s. */
class StalledMessageTest {
    private static final byte[] HALF = {'Q', 0, 0, 2, 0, 'S', 'E', 'L'};

    /** Guards against clients that keep memory for half a message for good. */
    @Test
    void aClientThatStopsWithinALaterMessageIsEndedWithAnError() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            sendQuery(client, selectQuery("a", "own-order-view", 1000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            long startNanos = System.nanoTime();
            client.getOutputStream().write(HALF);
            assertEquals(List.of("08P01", "end"), readAnswer(client));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(millis < 3_000, "ended after " + millis + " ms");
        }
    }

    @Test
    void aClientThatWritesSlowlyIsServed() throws Exception {
        try (DbNode primary = new DbNode("p", true);
                HeldCore pooler = new HeldCore(text -> text, entry(primary, "p", 0));
                Socket client = pooler.client()) {
            sendQuery(client, selectQuery("a", "own-order-view", 1000));
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
            String query = selectQuery("b", "own-order-view", 1000);
            byte[] message = ("Q\0\0\0" + (char) (query.length() + 5) + query + "\0")
                    .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
            int pieceBytes = message.length / 5;
            for (int i = 0; i < message.length; i += pieceBytes) {
                client.getOutputStream().write(message, i, Math.min(pieceBytes, message.length - i));
                Thread.sleep(800);
            }
            assertEquals(List.of("T", "D", "C"), readAnswer(client));
        }
    }
}
