package lupinvalve.pg;

import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;

/**
 * Cuts PostgreSQL's messages, version 3: a type, a length that counts itself, a body. Types and lengths are checked as
 * soon as they are there: what can't be read is not waited for.
 */
final class PgFramer implements Framer {
    static final int SSL_REQUEST = 80877103, GSS_REQUEST = 80877104, CANCEL_REQUEST = 80877102;
    private static final int STARTUP_MOST = 10_000;
    /** What is neither a query nor a row is short. */
    private static final int OTHER_MOST = 8192;
    /** A db node's row that is longer is cut into pieces as they come; the first holds its lengths. */
    static final int WHOLE_MOST = 64 << 10, ROW_HEAD = 11;

    private static final String FROM_CLIENTS = "QXSPBEDCFHdcfp", FROM_NODES = "TDCEZSNRK";
    private final int most;
    private final boolean client;
    private boolean startup;
    /** What is still to come of a row that is cut into pieces. */
    private int left;

    /**
     * @param client whether a client sends, whose untyped startup message comes first
     * @param most bytes of a query or a row
     */
    PgFramer(boolean client, int most) {
        this.client = client;
        startup = client;
        this.most = most;
    }

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (true) {
            if (left > 0) {
                int piece = Math.min(left, to - at);
                if (piece > 0) {
                    out.add(Arrays.copyOfRange(bytes, at, at + piece));
                }
                at += piece;
                left -= piece;
                if (left > 0) {
                    return at;
                }
            }
            int head = startup ? 0 : 1;
            if (!startup && to > at && (client ? FROM_CLIENTS : FROM_NODES).indexOf(bytes[at]) < 0) {
                throw new Malformed("message type " + bytes[at]);
            }
            if (to - at < head + 4) {
                return at;
            }
            int length = int32(bytes, at + head);
            if (length < (startup ? 8 : 4) || length > (startup ? STARTUP_MOST : most(bytes[at]))) {
                throw new Malformed("message length " + length);
            }
            if (!client && bytes[at] == 'D' && length > WHOLE_MOST) {
                if (to - at < ROW_HEAD) {
                    return at;
                }
                left = head + length;
                continue;
            }
            if (to - at < head + length) {
                return at;
            }
            byte[] message = Arrays.copyOfRange(bytes, at, at + head + length);
            out.add(message);
            at += message.length;
            if (startup) {
                int code = int32(message, 4);
                startup = code == SSL_REQUEST || code == GSS_REQUEST;
            }
        }
    }

    private int most(byte type) {
        return type == (client ? 'Q' : 'D') ? most : type == 'Z' ? 5 : OTHER_MOST;
    }

    static int int32(byte[] bytes, int at) {
        return (bytes[at] & 255) << 24 | (bytes[at + 1] & 255) << 16 | (bytes[at + 2] & 255) << 8 | bytes[at + 3] & 255;
    }
}
