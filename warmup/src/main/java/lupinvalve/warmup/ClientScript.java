package lupinvalve.warmup;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.log.Log;
import lupinvalve.net.InMemoryDialer;
import lupinvalve.routing.RequestClass;

/** A scripted client: sends reads and writes of all request classes in rotation, one by one. Not thread-safe. */
public final class ClientScript implements InMemoryDialer.Peer {
    private static final int STARTUP_HEADER_BYTES = 8;
    private static final int PROTOCOL_VERSION = 3 << 16;
    private static final int READY_FOR_QUERY_BYTES = 6;
    private static final int KEY_COUNT = 20;
    private static final int MICROS_PER_MILLI = 1000;

    private final List<RequestClass> classes;
    private final String name;
    private final int requestCount;
    private final CountDownLatch unanswered;
    private int requestedCount;
    private int servedCount;

    /**
     * @param name prefix of its request ids, different from that of each other client
     * @param requestCount number of requests that it sends
     * @param unanswered counted down by one with each answer
     */
    public ClientScript(List<RequestClass> classes, String name, int requestCount, CountDownLatch unanswered) {
        this.classes = classes;
        this.name = name;
        this.requestCount = requestCount;
        this.unanswered = unanswered;
    }

    /** Returns the startup message, which the client has to send first. */
    public static byte[] startupMessage() {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        return ByteBuffer.allocate(STARTUP_HEADER_BYTES + names.length)
                .putInt(STARTUP_HEADER_BYTES + names.length)
                .putInt(PROTOCOL_VERSION)
                .put(names)
                .array();
    }

    /** Returns the number of requests that were answered with a row. */
    public int served() {
        return servedCount;
    }

    /**
     * Takes complete messages of the pooler. Once ReadyForQuery completes an answer, returns the next request; returns
     * no bytes before that, and after the last answer.
     */
    @Override
    public byte[] answer(byte[] written) throws IOException {
        int end = written.length;
        if (end < READY_FOR_QUERY_BYTES || written[end - READY_FOR_QUERY_BYTES] != 'Z' || written[end - 1] != 'I') {
            return new byte[0];
        }
        if (requestedCount > 0) {
            String text = new String(written, UTF_8);
            if (text.contains("row")) {
                servedCount++;
            } else {
                Log.warn(
                        "scripted client: request %s-%d was answered without a row: %s",
                        name, requestedCount - 1, text);
            }
            unanswered.countDown();
        }
        return requestedCount < requestCount ? query() : new byte[0];
    }

    private byte[] query() throws IOException {
        RequestClass requestClass = classes.get(requestedCount % classes.size());
        String statement = requestClass.access() == RequestClass.Access.WRITE
                ? "INSERT INTO rows (handle, blob) VALUES ('k" + requestedCount % KEY_COUNT
                        + "', '\\x9f') RETURNING blob"
                : "SELECT blob FROM rows WHERE handle = 'k" + requestedCount % KEY_COUNT + "'";
        byte[] text = (statement + " /* id=" + name + "-" + requestedCount++ + ",c=" + requestClass.name() + ",t=a,d="
                        + requestClass.deadlineMicros() / MICROS_PER_MILLI + ",cluster=1 */\0")
                .getBytes(UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(text.length + 5);
        DataOutputStream out = new DataOutputStream(bytes);
        out.write('Q');
        out.writeInt(4 + text.length);
        out.write(text);
        return bytes.toByteArray();
    }
}
