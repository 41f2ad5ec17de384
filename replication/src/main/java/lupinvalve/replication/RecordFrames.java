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
    static final int MAX_CONTENT_BYTES = 64 << 20;

    private static final int HEADER_BYTES = 8;
    private static final int TRAILER_BYTES = 8;
    private static final int END_MARK = 0x4C757049;
    /** In place of a position: the record is cut short. */
    private static final int TORN = -1;
    /** In place of a position: a checksum is wrong. */
    private static final int CORRUPT = -2;

    private RecordFrames() {}

    /** A file, or a part of it, that is not what was written. */
    static final class CorruptException extends IOException {
        private static final long serialVersionUID = 1L;

        CorruptException(String message) {
            super(message);
        }
    }

    /** A record as it stands in a file. */
    static byte[] frame(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return ByteBuffer.allocate(HEADER_BYTES + content.length + TRAILER_BYTES)
                .putInt(content.length)
                .putInt(~content.length)
                .put(content)
                .putInt((int) crc.getValue())
                .putInt(END_MARK)
                .array();
    }

    /**
     * Takes the contents off a file.
     *
     * @param last whether a torn record may stand at its end
     * @return how many bytes hold whole records
     */
    static long read(String name, byte[] file, boolean last, List<byte[]> contents) throws CorruptException {
        int at = 0;
        while (at < file.length) {
            int next = next(file, at);
            if (next < 0) {
                String why = next == TORN ? "a record is cut short" : "a record's checksum is wrong";
                if (next == TORN && last) {
                    return at;
                }
                throw new CorruptException(name + ", byte " + at + ": " + why);
            }
            byte[] content = new byte[next - at - HEADER_BYTES - TRAILER_BYTES];
            System.arraycopy(file, at + HEADER_BYTES, content, 0, content.length);
            contents.add(content);
            at = next;
        }
        return at;
    }

    /** Where the next record begins, or why this one is none. */
    private static int next(byte[] file, int at) {
        if (file.length - at < HEADER_BYTES) {
            return TORN;
        }
        ByteBuffer in = ByteBuffer.wrap(file, at, file.length - at);
        int length = in.getInt();
        int inverted = in.getInt();
        if (length != ~inverted || length < 0 || length > MAX_CONTENT_BYTES) {
            // Space that was set aside and never written is all zeros, to the end.
            return allZeros(file, at + HEADER_BYTES) ? TORN : CORRUPT;
        }
        if (in.remaining() < length + TRAILER_BYTES) {
            return TORN;
        }
        CRC32C crc = new CRC32C();
        crc.update(file, at + HEADER_BYTES, length);
        in.position(in.position() + length);
        int written = in.getInt();
        if (in.getInt() != END_MARK) {
            // The mark ends in a byte that is not zero, so that one which is there in part can be told from a wrong
            // one.
            return allZeros(file, at + HEADER_BYTES + length + TRAILER_BYTES - 1) ? TORN : CORRUPT;
        }
        return written == (int) crc.getValue() ? at + HEADER_BYTES + length + TRAILER_BYTES : CORRUPT;
    }

    private static boolean allZeros(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
