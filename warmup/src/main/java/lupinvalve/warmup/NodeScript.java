package lupinvalve.warmup;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import lupinvalve.net.InMemoryDialer;

/**
 * One connection of a scripted db node: accepts any user and answers each read with a row, and each write too if it is
 * a primary; a replica rejects writes. Not thread-safe.
 */
public final class NodeScript implements InMemoryDialer.Peer {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int LENGTH_BYTES = 4;

    private final boolean primary;
    private ByteBuffer in = ByteBuffer.allocate(BUFFER_BYTES);
    private boolean authenticated;

    /** @param primary whether the db node accepts writes */
    public NodeScript(boolean primary) {
        this.primary = primary;
    }

    @Override
    public byte[] answer(byte[] written) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        in.put(written).flip();
        for (int typeBytes = authenticated ? 1 : 0; hasMessage(typeBytes); typeBytes = 1) {
            if (authenticated) {
                answerQuery(out);
            } else {
                in.position(in.getInt(0));
                authenticated = true;
                writeMessage(out, 'R', new byte[4]);
                writeMessage(out, 'Z', new byte[] {'I'});
            }
        }
        in.compact();
        return bytes.toByteArray();
    }

    /** Whether the buffer contains a complete message; {@code typeBytes} is 0 for the startup message, else 1. */
    private boolean hasMessage(int typeBytes) {
        return in.remaining() >= typeBytes + LENGTH_BYTES
                && in.remaining() >= typeBytes + in.getInt(in.position() + typeBytes);
    }

    private void answerQuery(DataOutputStream out) throws IOException {
        in.get();
        byte[] text = new byte[in.getInt() - LENGTH_BYTES];
        in.get(text);
        if (!primary && new String(text, 0, 6, UTF_8).equals("INSERT")) {
            writeMessage(out, 'E', "SERROR\0C25006\0Mno primary\0\0".getBytes(UTF_8));
        } else {
            writeMessage(out, 'T', "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(ISO_8859_1));
            writeMessage(out, 'D', "\0\1\0\0\0\3row".getBytes(UTF_8));
            writeMessage(out, 'C', "SELECT 1\0".getBytes(UTF_8));
        }
        writeMessage(out, 'S', ("as_of\0" + System.currentTimeMillis() + "\0").getBytes(UTF_8));
        writeMessage(out, 'S', ("rank\0" + (primary ? "source" : "copy") + "\0").getBytes(UTF_8));
        writeMessage(out, 'Z', new byte[] {'I'});
    }

    private static void writeMessage(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + LENGTH_BYTES);
        out.write(body);
    }
}
