package lupinvalve.mysql;

import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;

/**
 * Splits a byte stream into packets of MySQL's protocol: three bytes of length, a sequence number and a payload. The
 * packets that it gives include their header. Used by one MINA thread at a time.
 */
final class MysqlFramer implements Framer {
    /** A packet's length and sequence number. */
    static final int HEADER_BYTES = 4;

    private final int maxPayloadBytes;

    /** @param maxPayloadBytes a packet with a longer payload is malformed */
    MysqlFramer(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (to - at >= HEADER_BYTES) {
            int length = bytes[at] & 255 | (bytes[at + 1] & 255) << 8 | (bytes[at + 2] & 255) << 16;
            if (length > maxPayloadBytes) {
                throw new Malformed("packet of " + length + " bytes");
            }
            if (to - at < HEADER_BYTES + length) {
                break;
            }
            out.add(Arrays.copyOfRange(bytes, at, at + HEADER_BYTES + length));
            at += HEADER_BYTES + length;
        }
        return at;
    }
}
