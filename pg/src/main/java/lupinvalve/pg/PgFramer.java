package lupinvalve.pg;

import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;

/**
 * Splits a byte stream into messages of PostgreSQL's protocol, version 3: a type byte, a length that includes itself,
 * and a body. The type and the length are checked as soon as they have arrived, so that an invalid message is rejected
 * without waiting for its body. Used by one MINA thread at a time.
 */
final class PgFramer implements Framer {
    static final int SSL_REQUEST_CODE = 80877103;
    static final int GSS_REQUEST_CODE = 80877104;
    static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int MAX_STARTUP_BYTES = 10_000;
    /** Bound on messages that are neither a Query nor a DataRow: all of these are short. */
    private static final int MAX_OTHER_MESSAGE_BYTES = 8192;
    /**
     * A longer DataRow from a db node is passed on in chunks as they arrive; the first chunk holds the row's header.
     */
    static final int MAX_WHOLE_ROW_BYTES = 64 << 10;
    /** Type byte, message length, column count and the length of the first column. */
    static final int ROW_HEADER_BYTES = 11;

    private static final String CLIENT_MESSAGE_TYPES = "QXSPBEDCFHdcfp";
    private static final String NODE_MESSAGE_TYPES = "TDCEZSNRK";
    private final int maxBytes;
    private final boolean fromClient;
    /** Whether the next message is an untyped startup, SSL or GSS encryption, or cancel request. */
    private boolean awaitsStartup;
    /** Bytes still to come of a row that is passed on in chunks. */
    private int rowBytesLeft;

    /**
     * @param fromClient whether a client sends the messages: its untyped startup message comes first
     * @param maxBytes bound on the length field of a client's Query or a db node's DataRow
     */
    PgFramer(boolean fromClient, int maxBytes) {
        this.fromClient = fromClient;
        awaitsStartup = fromClient;
        this.maxBytes = maxBytes;
    }

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (true) {
            if (rowBytesLeft > 0) {
                int chunkBytes = Math.min(rowBytesLeft, to - at);
                if (chunkBytes > 0) {
                    out.add(Arrays.copyOfRange(bytes, at, at + chunkBytes));
                }
                at += chunkBytes;
                rowBytesLeft -= chunkBytes;
                if (rowBytesLeft > 0) {
                    return at;
                }
            }
            int typeBytes = awaitsStartup ? 0 : 1;
            if (!awaitsStartup
                    && to > at
                    && (fromClient ? CLIENT_MESSAGE_TYPES : NODE_MESSAGE_TYPES).indexOf(bytes[at]) < 0) {
                throw new Malformed("message type " + bytes[at]);
            }
            if (to - at < typeBytes + 4) {
                return at;
            }
            int length = int32(bytes, at + typeBytes);
            if (length < (awaitsStartup ? 8 : 4)
                    || length > (awaitsStartup ? MAX_STARTUP_BYTES : maxLength(bytes[at]))) {
                throw new Malformed("message length " + length);
            }
            if (!fromClient && bytes[at] == 'D' && length > MAX_WHOLE_ROW_BYTES) {
                if (to - at < ROW_HEADER_BYTES) {
                    return at;
                }
                rowBytesLeft = typeBytes + length;
                continue;
            }
            if (to - at < typeBytes + length) {
                return at;
            }
            byte[] message = Arrays.copyOfRange(bytes, at, at + typeBytes + length);
            out.add(message);
            at += message.length;
            if (awaitsStartup) {
                int code = int32(message, 4);
                awaitsStartup = code == SSL_REQUEST_CODE || code == GSS_REQUEST_CODE;
            }
        }
    }

    /** The largest length field that a message of this type may have. */
    private int maxLength(byte type) {
        return type == (fromClient ? 'Q' : 'D') ? maxBytes : type == 'Z' ? 5 : MAX_OTHER_MESSAGE_BYTES;
    }

    /** A big-endian Int32, which is how the protocol sends all integers of four bytes. */
    static int int32(byte[] bytes, int at) {
        return (bytes[at] & 255) << 24 | (bytes[at + 1] & 255) << 16 | (bytes[at + 2] & 255) << 8 | bytes[at + 3] & 255;
    }
}
