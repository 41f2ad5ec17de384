package lupinvalve.warmup;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import lupinvalve.net.Memory;

/** What a db node says on one connection: welcomes anybody, answers each read, and each write if it is a primary. */
public final class NodeScript implements Memory.Peer {
    private final boolean primary;
    private ByteBuffer in = ByteBuffer.allocate(16 << 10);
    private boolean welcomed;

    public NodeScript(boolean primary) {
        this.primary = primary;
    }

    @Override
    public byte[] answer(byte[] written) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        in.put(written).flip();
        for (int head = welcomed ? 1 : 0; whole(head); head = 1) {
            if (welcomed) {
                query(out);
            } else {
                in.position(in.getInt(0));
                welcomed = true;
                message(out, 'R', new byte[4]);
                message(out, 'Z', new byte[] {'I'});
            }
        }
        in.compact();
        return bytes.toByteArray();
    }

    private boolean whole(int head) {
        return in.remaining() >= head + 4 && in.remaining() >= head + in.getInt(in.position() + head);
    }

    private void query(DataOutputStream out) throws IOException {
        in.get();
        byte[] text = new byte[in.getInt() - 4];
        in.get(text);
        if (!primary && new String(text, 0, 6, UTF_8).equals("INSERT")) {
            message(out, 'E', "SERROR\0C25006\0Mno primary\0\0".getBytes(UTF_8));
        } else {
            message(out, 'T', "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(ISO_8859_1));
            message(out, 'D', "\0\1\0\0\0\3row".getBytes(UTF_8));
            message(out, 'C', "SELECT 1\0".getBytes(UTF_8));
        }
        message(out, 'S', ("as_of\0" + System.currentTimeMillis() + "\0").getBytes(UTF_8));
        message(out, 'S', ("rank\0" + (primary ? "source" : "copy") + "\0").getBytes(UTF_8));
        message(out, 'Z', new byte[] {'I'});
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }
}
