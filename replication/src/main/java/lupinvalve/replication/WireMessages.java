package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;

/** The store's own wire: a length, a kind, and CBOR. */
public final class WireMessages implements Framer {
    /** What a message is. */
    enum Kind {
        HELLO,
        RAFT,
        REQUEST,
        RESPONSE,
        HEARTBEAT
    }

    /** How a call ended; the numbers are the wire's. */
    public enum Status {
        OK,
        /** The revision expected is not the one that holds. */
        CONFLICT,
        /** It can't be done, and asking again does not help. */
        REJECTED,
        /** Nothing has happened, and asking again may help. */
        RETRY,
        /** It may have happened. */
        INDETERMINATE
    }

    private static final int VERSION = 1, LENGTH_MOST = 16 << 20, ARGUMENTS_MOST = 16;
    /** Of whose first word nothing is known but that it came: a client's, or no word of this wire's. */
    private static final int FIRST_MOST = 64 << 10;

    /**
     * Who speaks. A member says what it is of the group; an operator says nothing of that.
     *
     * @param word null for an operator
     */
    record Hello(String cluster, String name, String address, ClusterBootstrap.Announcement word) {
        byte[] write() {
            Cbor.Writer out = new Cbor.Writer()
                    .number(VERSION)
                    .text(cluster)
                    .text(name)
                    .text(address)
                    .flag(word != null);
            if (word != null) {
                word.write(out);
            }
            return message(Kind.HELLO, out.toByteArray());
        }

        static Hello read(byte[] body) throws IOException {
            Cbor.Reader in = new Cbor.Reader(body);
            long version = in.number();
            if (version != VERSION) {
                throw new IOException("version " + version + " of the store's wire; this program speaks " + VERSION);
            }
            return new Hello(
                    in.text(), in.text(), in.text(), in.flag() ? ClusterBootstrap.Announcement.read(in) : null);
        }
    }

    /** Something asked of a member. */
    public record Request(long id, String name, List<byte[]> arguments) {
        byte[] write() {
            Cbor.Writer out = new Cbor.Writer().number(id).text(name).number(arguments.size());
            arguments.forEach(out::bytes);
            return message(Kind.REQUEST, out.toByteArray());
        }

        static Request read(byte[] body) throws IOException {
            Cbor.Reader in = new Cbor.Reader(body);
            long id = in.number();
            String name = in.text();
            List<byte[]> arguments = new ArrayList<>();
            for (int left = in.count(ARGUMENTS_MOST); left > 0; left--) {
                arguments.add(in.bytes());
            }
            return new Request(id, name, arguments);
        }
    }

    /**
     * What came of a call: a JSON text, or why not.
     *
     * @param content what is no text, or empty; programs of before subscriptions neither send nor see it
     */
    public record Response(long id, Status status, String text, byte[] content) {
        public Response(long id, Status status, String text) {
            this(id, status, text, new byte[0]);
        }

        byte[] write() {
            Cbor.Writer out =
                    new Cbor.Writer().number(id).number(status.ordinal()).text(text);
            return message(Kind.RESPONSE, (content.length == 0 ? out : out.bytes(content)).toByteArray());
        }

        static Response read(byte[] body) throws IOException {
            Cbor.Reader in = new Cbor.Reader(body);
            return new Response(
                    in.number(), Status.values()[in.count(Status.values().length - 1)], in.text(), in.bytesOrEmpty());
        }
    }

    static byte[] message(Kind kind, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .putInt(1 + body.length)
                .put((byte) kind.ordinal())
                .put(body)
                .array();
    }

    static Kind kind(byte[] message) throws IOException {
        if (message[0] < 0 || message[0] >= Kind.values().length) {
            throw new IOException("a message of the unknown kind " + message[0]);
        }
        return Kind.values()[message[0]];
    }

    static byte[] body(byte[] message) {
        return Arrays.copyOfRange(message, 1, message.length);
    }

    private boolean greeted;

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (to - at >= 4) {
            int length = ByteBuffer.wrap(bytes, at, 4).getInt();
            if (length < 1 || length > (greeted ? LENGTH_MOST : FIRST_MOST)) {
                throw new Malformed("a message of " + length + " bytes");
            }
            if (to - at - 4 < length) {
                break;
            }
            out.add(Arrays.copyOfRange(bytes, at + 4, at + 4 + length));
            at += 4 + length;
            greeted = true;
        }
        return at;
    }
}
