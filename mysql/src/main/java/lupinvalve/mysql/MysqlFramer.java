package lupinvalve.mysql;

import java.util.Arrays;
import java.util.List;
import lupinvalve.net.Framer;

/** Cuts MySQL's packets: three bytes of length, a sequence number, a payload. Packets keep their heads. */
final class MysqlFramer implements Framer {
    private final int most;

    MysqlFramer(int most) {
        this.most = most;
    }

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int at = from;
        while (to - at >= 4) {
            int length = bytes[at] & 255 | (bytes[at + 1] & 255) << 8 | (bytes[at + 2] & 255) << 16;
            if (length > most) {
                throw new Malformed("packet of " + length + " bytes");
            }
            if (to - at < 4 + length) {
                break;
            }
            out.add(Arrays.copyOfRange(bytes, at, at + 4 + length));
            at += 4 + length;
        }
        return at;
    }
}
