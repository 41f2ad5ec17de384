package lupinvalve.warmup;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.log.Log;
import lupinvalve.net.Memory;
import lupinvalve.routing.RequestClass;

/** A client that asks one thing after another, reads and writes of all classes in turn. */
public final class ClientScript implements Memory.Peer {
    private final List<RequestClass> classes;
    private final String name;
    private final int most;
    private final CountDownLatch left;
    private int asked, served;

    /**
     * @param name distinguishes its requests from those of other clients
     * @param most how many requests it makes
     * @param left counts answers down
     */
    public ClientScript(List<RequestClass> classes, String name, int most, CountDownLatch left) {
        this.classes = classes;
        this.name = name;
        this.most = most;
        this.left = left;
    }

    /** The startup message. */
    public static byte[] hello() {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        return java.nio.ByteBuffer.allocate(8 + names.length)
                .putInt(8 + names.length)
                .putInt(3 << 16)
                .put(names)
                .array();
    }

    public int served() {
        return served;
    }

    /** Takes one or several whole messages; the last of an answer is ReadyForQuery. */
    @Override
    public byte[] answer(byte[] written) throws IOException {
        int end = written.length;
        if (end < 6 || written[end - 6] != 'Z' || written[end - 1] != 'I') {
            return new byte[0];
        }
        if (asked > 0) {
            String text = new String(written, UTF_8);
            if (text.contains("row")) {
                served++;
            } else {
                Log.warn("%s-%d was not served: %s", name, asked - 1, text);
            }
            left.countDown();
        }
        return asked < most ? query() : new byte[0];
    }

    private byte[] query() throws IOException {
        RequestClass kind = classes.get(asked % classes.size());
        String head = kind.access() == RequestClass.Access.WRITE
                ? "INSERT INTO rows (handle, blob) VALUES ('k" + asked % 20 + "', '\\x9f') RETURNING blob"
                : "SELECT blob FROM rows WHERE handle = 'k" + asked % 20 + "'";
        byte[] text = (head + " /* id=" + name + "-" + asked++ + ",c=" + kind.name() + ",t=a,d="
                        + kind.deadlineMicros() / 1000 + ",cluster=1 */\0")
                .getBytes(UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(text.length + 5);
        DataOutputStream out = new DataOutputStream(bytes);
        out.write('Q');
        out.writeInt(4 + text.length);
        out.write(text);
        return bytes.toByteArray();
    }
}
