package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Frames records in a file. A frame has the content's length, that length inverted, the content, the content's CRC-32C,
 * and an end mark. A frame whose write a crash has torn lacks its end; any other mismatch is corruption.
 */
final class RecordFrames {
    /** Limit on the content of one record. */
    static final int MAX_CONTENT_BYTES = 64 << 20;

    private static final int HEADER_BYTES = 8;
    private static final int TRAILER_BYTES = 8;
    private static final int END_MARK = 0x4C757049;
    /** Returned in place of a position: the record is cut short. */
    private static final int TORN = -1;
    /** Returned in place of a position: a checksum or the end mark is wrong. */
    private static final int CORRUPT = -2;

    private RecordFrames() {}

    /** A file is not as it was written: a part of it is damaged or missing. */
    static final class CorruptException extends IOException {
        private static final long serialVersionUID = 1L;

        CorruptException(String message) {
            super(message);
        }
    }

    /** Returns the frame of a record with this content. */
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
     * Reads the records of a file.
     *
     * @param name the file's name, for error messages
     * @param mayEndTorn whether a torn record at the end of the file is accepted and ignored
     * @param contents receives the content of each complete record
     * @return the size of all complete records, in bytes
     * @throws CorruptException if a record is damaged, or torn where that is not accepted
     */
    static long read(String name, byte[] file, boolean mayEndTorn, List<byte[]> contents) throws CorruptException {
        int position = 0;
        while (position < file.length) {
            int next = nextPosition(file, position);
            if (next < 0) {
                String reason = next == TORN ? "a record is cut short" : "a record's checksum is wrong";
                if (next == TORN && mayEndTorn) {
                    return position;
                }
                throw new CorruptException(name + ", byte " + position + ": " + reason);
            }
            byte[] content = new byte[next - position - HEADER_BYTES - TRAILER_BYTES];
            System.arraycopy(file, position + HEADER_BYTES, content, 0, content.length);
            contents.add(content);
            position = next;
        }
        return position;
    }

    /** Returns the position after the record at a position, or {@link #TORN} or {@link #CORRUPT}. */
    private static int nextPosition(byte[] file, int position) {
        if (file.length - position < HEADER_BYTES) {
            return TORN;
        }
        ByteBuffer in = ByteBuffer.wrap(file, position, file.length - position);
        int length = in.getInt();
        int inverted = in.getInt();
        if (length != ~inverted || length < 0 || length > MAX_CONTENT_BYTES) {
            // Space that was allocated but never written reads as zeros, up to the end of the file.
            return allZeros(file, position + HEADER_BYTES) ? TORN : CORRUPT;
        }
        if (in.remaining() < length + TRAILER_BYTES) {
            return TORN;
        }
        CRC32C crc = new CRC32C();
        crc.update(file, position + HEADER_BYTES, length);
        in.position(in.position() + length);
        int storedCrc = in.getInt();
        if (in.getInt() != END_MARK) {
            // The end mark's last byte is not zero. If that byte and all bytes after it are zero, the mark was written
            // only in part; otherwise it is wrong.
            return allZeros(file, position + HEADER_BYTES + length + TRAILER_BYTES - 1) ? TORN : CORRUPT;
        }
        return storedCrc == (int) crc.getValue() ? position + HEADER_BYTES + length + TRAILER_BYTES : CORRUPT;
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
