package lupinvalve.pg;

import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;

/** Cuts PostgreSQL's messages, version 3: a type, a length that counts itself, a body. */
final class PgFramer implements Framer {
    static final int SSL_REQUEST = 80877103, GSS_REQUEST = 80877104, CANCEL_REQUEST = 80877102;
    private static final int STARTUP_MOST = 10_000;
    private final int most;
    private boolean startup;

    /** @param startup whether untyped startup messages come first, as clients send them */
    PgFramer(boolean startup, int most) {
        this.startup = startup;
        this.most = most;
    }

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (true) {
            int head = startup ? 0 : 1;
            if (to - at < head + 4) {
                return at;
            }
            int length = int32(bytes, at + head);
            if (length < (startup ? 8 : 4) || length > (startup ? STARTUP_MOST : most)) {
                throw new Malformed("message length " + length);
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

    static int int32(byte[] bytes, int at) {
        return (bytes[at] & 255) << 24 | (bytes[at + 1] & 255) << 16 | (bytes[at + 2] & 255) << 8
                | bytes[at + 3] & 255;
    }
}
