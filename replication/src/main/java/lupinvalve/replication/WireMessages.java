package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.DecodingException;

/**
 * The messages between members, operators and subscribers: a length, a kind, and CBOR. Cuts them off a stream; one
 * instance a connection, on that connection's thread.
 */
public final class WireMessages implements Framer {
    /** What a message is. */
    enum Kind {
        HELLO,
        RAFT,
        REQUEST,
        RESPONSE,
        HEARTBEAT
    }

    /** How a request ended; the numbers are the wire's. */
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

    private static final int VERSION = 1;
    /** Of one message. */
    static final int MAX_LENGTH_BYTES = 16 << 20;
    /** Of the first message of a connection: nothing is known of its peer yet. */
    private static final int MAX_FIRST_LENGTH_BYTES = 64 << 10;

    private static final int MAX_ARGUMENTS = 16;
    private static final int LENGTH_BYTES = 4;

    /**
     * Who is at this end of a connection.
     *
     * @param announcement how far a member's bootstrap is; null for an operator or a subscriber
     */
    record Hello(String cluster, String name, String address, ClusterBootstrap.Announcement announcement) {
        byte[] write() {
            Cbor.Writer out = new Cbor.Writer()
                    .number(VERSION)
                    .text(cluster)
                    .text(name)
                    .text(address)
                    .flag(announcement != null);
            if (announcement != null) {
                announcement.write(out);
            }
            return message(Kind.HELLO, out.toByteArray());
        }

        static Hello read(byte[] body) throws IOException {
            Cbor.Reader in = new Cbor.Reader(body);
            long version = in.number();
            if (version != VERSION) {
                throw new DecodingException(
                        "version " + version + " of the store's wire; this program speaks " + VERSION);
            }
            return new Hello(
                    in.text(), in.text(), in.text(), in.flag() ? ClusterBootstrap.Announcement.read(in) : null);
        }
    }

    /**
     * A request to a member.
     *
     * @param id numbers the requests of one connection; the response has the same
     */
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
            for (int left = in.count(MAX_ARGUMENTS); left > 0; left--) {
                arguments.add(in.bytes());
            }
            return new Request(id, name, arguments);
        }
    }

    /**
     * The response to a request: a JSON text, or why there is none.
     *
     * @param content what is no text, or empty; versions before subscriptions neither send nor see it
     */
    public record Response(long id, Status status, String text, byte[] content) {
        /** A response without content. */
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
        return ByteBuffer.allocate(LENGTH_BYTES + 1 + body.length)
                .putInt(1 + body.length)
                .put((byte) kind.ordinal())
                .put(body)
                .array();
    }

    static Kind kind(byte[] message) throws IOException {
        if (message[0] < 0 || message[0] >= Kind.values().length) {
            throw new DecodingException("a message of the unknown kind " + message[0]);
        }
        return Kind.values()[message[0]];
    }

    static byte[] body(byte[] message) {
        return Arrays.copyOfRange(message, 1, message.length);
    }

    /** Whether a first message has come. */
    private boolean greeted;

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (to - at >= LENGTH_BYTES) {
            int length = ByteBuffer.wrap(bytes, at, LENGTH_BYTES).getInt();
            if (length < 1 || length > (greeted ? MAX_LENGTH_BYTES : MAX_FIRST_LENGTH_BYTES)) {
                throw new Malformed("a message of " + length + " bytes");
            }
            if (to - at - LENGTH_BYTES < length) {
                break;
            }
            out.add(Arrays.copyOfRange(bytes, at + LENGTH_BYTES, at + LENGTH_BYTES + length));
            at += LENGTH_BYTES + length;
            greeted = true;
        }
        return at;
    }
}
