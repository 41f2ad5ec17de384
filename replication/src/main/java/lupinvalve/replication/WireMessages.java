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
 * The messages between members, operators and subscribers: a length, a kind, and a CBOR body. An instance splits one
 * connection's byte stream into messages, on that connection's thread.
 */
public final class WireMessages implements Framer {
    /** The kind of a message; its ordinal is sent on the wire. */
    enum Kind {
        HELLO,
        RAFT,
        REQUEST,
        RESPONSE,
        HEARTBEAT
    }

    /** The result of a request; its ordinal is sent on the wire. */
    public enum Status {
        OK,
        /** The expected revision is not the current one. */
        CONFLICT,
        /** The request can't be carried out, and a retry would not help. */
        REJECTED,
        /** The request was not carried out, and a retry may help. */
        RETRY,
        /** The request may or may not have been carried out. */
        INDETERMINATE
    }

    private static final int PROTOCOL_VERSION = 1;
    /** Limit on one message, without its length field. */
    static final int MAX_MESSAGE_BYTES = 16 << 20;
    /** Limit on the first message of a connection, lower because its peer is not identified yet. */
    private static final int MAX_FIRST_MESSAGE_BYTES = 64 << 10;

    private static final int MAX_ARGUMENTS = 16;
    private static final int LENGTH_FIELD_BYTES = 4;

    /**
     * The first message from each end of a connection, which identifies its sender; a member sends it again to the
     * others when its announcement changes.
     *
     * @param address where a member listens; empty for an operator or a subscriber
     * @param announcement a member's identity and bootstrap phase; null for an operator or a subscriber
     */
    record Hello(String cluster, String name, String address, ClusterBootstrap.Announcement announcement) {
        byte[] write() {
            Cbor.Writer out = new Cbor.Writer()
                    .number(PROTOCOL_VERSION)
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
            if (version != PROTOCOL_VERSION) {
                throw new DecodingException(
                        "protocol version " + version + " is not supported; this program supports " + PROTOCOL_VERSION);
            }
            return new Hello(
                    in.text(), in.text(), in.text(), in.flag() ? ClusterBootstrap.Announcement.read(in) : null);
        }
    }

    /**
     * A request to a member.
     *
     * @param id the number of the request on its connection; its response has the same
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
            for (int remaining = in.count(MAX_ARGUMENTS); remaining > 0; remaining--) {
                arguments.add(in.bytes());
            }
            return new Request(id, name, arguments);
        }
    }

    /**
     * The response to a request.
     *
     * @param text where the status is OK, the result, which is JSON for operators; else the reason
     * @param content binary content, or empty; versions without subscriptions neither send nor read it
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
        return ByteBuffer.allocate(LENGTH_FIELD_BYTES + 1 + body.length)
                .putInt(1 + body.length)
                .put((byte) kind.ordinal())
                .put(body)
                .array();
    }

    static Kind kind(byte[] message) throws IOException {
        if (message[0] < 0 || message[0] >= Kind.values().length) {
            throw new DecodingException("unknown message kind " + message[0]);
        }
        return Kind.values()[message[0]];
    }

    static byte[] body(byte[] message) {
        return Arrays.copyOfRange(message, 1, message.length);
    }

    /** Whether the first message of the connection has been received. */
    private boolean firstMessageReceived;

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int position = from;
        while (to - position >= LENGTH_FIELD_BYTES) {
            int length = ByteBuffer.wrap(bytes, position, LENGTH_FIELD_BYTES).getInt();
            int maxBytes = firstMessageReceived ? MAX_MESSAGE_BYTES : MAX_FIRST_MESSAGE_BYTES;
            if (length < 1 || length > maxBytes) {
                throw new Malformed("message of " + length + " bytes, expected 1 to " + maxBytes);
            }
            if (to - position - LENGTH_FIELD_BYTES < length) {
                break;
            }
            int messageStart = position + LENGTH_FIELD_BYTES;
            out.add(Arrays.copyOfRange(bytes, messageStart, messageStart + length));
            position = messageStart + length;
            firstMessageReceived = true;
        }
        return position;
    }
}
