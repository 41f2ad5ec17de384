package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records in a file, each with checksums: its length and that length inverted, the content, the content's CRC-32C, and
 * an end mark. A write that a crash has torn lacks its end; whatever else does not fit is damage.
 */
final class RecordFrames {
    /** Of one record's content. */
    static final int MOST = 64 << 20;

    private static final int HEAD = 8, TAIL = 8, END = 0x4C757049;

    private RecordFrames() {}

    /** A file, or a part of it, that is not what was written. */
    static final class Damaged extends IOException {
        private static final long serialVersionUID = 1L;

        Damaged(String what) {
            super(what);
        }
    }

    static byte[] frame(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return ByteBuffer.allocate(HEAD + content.length + TAIL)
                .putInt(content.length)
                .putInt(~content.length)
                .put(content)
                .putInt((int) crc.getValue())
                .putInt(END)
                .array();
    }

    /**
     * Takes the contents off a file.
     *
     * @param last whether a torn record may stand at its end
     * @return how many bytes hold whole records
     */
    static long read(String name, byte[] file, boolean last, List<byte[]> contents) throws Damaged {
        int at = 0;
        while (at < file.length) {
            int next = next(file, at);
            if (next < 0) {
                String why = next == TORN ? "a record is cut short" : "a record's checksum is wrong";
                if (next == TORN && last) {
                    return at;
                }
                throw new Damaged(name + ", byte " + at + ": " + why);
            }
            byte[] content = new byte[next - at - HEAD - TAIL];
            System.arraycopy(file, at + HEAD, content, 0, content.length);
            contents.add(content);
            at = next;
        }
        return at;
    }

    private static final int TORN = -1, WRONG = -2;

    /** Where the next record begins, or why this one is none. */
    private static int next(byte[] file, int at) {
        if (file.length - at < HEAD) {
            return TORN;
        }
        ByteBuffer in = ByteBuffer.wrap(file, at, file.length - at);
        int length = in.getInt();
        int inverted = in.getInt();
        if (length != ~inverted || length < 0 || length > MOST) {
            // Space that was set aside and never written is all zeros, to the end.
            return zeros(file, at + HEAD) ? TORN : WRONG;
        }
        if (in.remaining() < length + TAIL) {
            return TORN;
        }
        CRC32C crc = new CRC32C();
        crc.update(file, at + HEAD, length);
        in.position(in.position() + length);
        int written = in.getInt();
        if (in.getInt() != END) {
            // The mark ends in a byte that is not zero, so that one which is there in part can be told from a wrong
            // one.
            return zeros(file, at + HEAD + length + TAIL - 1) ? TORN : WRONG;
        }
        return written == (int) crc.getValue() ? at + HEAD + length + TAIL : WRONG;
    }

    private static boolean zeros(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
