package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;
import lupinvalve.net.Framer;

/**
 * Reads the payload of a packet of MySQL's protocol. A field that extends past the end of the packet makes it
 * malformed.
 */
final class PacketReader {
    private final byte[] bytes;
    private int position;

    /** Starts after the packet's header of four bytes. */
    PacketReader(byte[] packet) {
        bytes = packet;
        position = 4;
    }

    /** Bytes that have not been read yet. */
    int remaining() {
        return bytes.length - position;
    }

    /** An unsigned integer of one byte. */
    int int1() throws Framer.Malformed {
        requireBytes(1);
        return bytes[position++] & 255;
    }

    /** A little-endian integer of a fixed number of bytes. */
    long fixedInt(int size) throws Framer.Malformed {
        requireBytes(size);
        long value = 0;
        for (int i = 0; i < size; i++) {
            value |= (bytes[position++] & 255L) << 8 * i;
        }
        return value;
    }

    /** A length-encoded integer; NULL and error markers are malformed. */
    long lengthEncodedInt() throws Framer.Malformed {
        int first = int1();
        return switch (first) {
            case 0xFC -> fixedInt(2);
            case 0xFD -> fixedInt(3);
            case 0xFE -> fixedInt(8);
            case 0xFB, 0xFF -> throw new Framer.Malformed("length " + first);
            default -> first;
        };
    }

    /** The next {@code size} bytes. */
    byte[] raw(long size) throws Framer.Malformed {
        requireBytes(size);
        byte[] value = Arrays.copyOfRange(bytes, position, position + (int) size);
        position += (int) size;
        return value;
    }

    /** Whether the next column of a text row is NULL; if so, skips it. */
    boolean skipNull() {
        boolean isNull = remaining() > 0 && (bytes[position] & 255) == 0xFB;
        position += isNull ? 1 : 0;
        return isNull;
    }

    /** All bytes up to the end of the packet. */
    byte[] rest() throws Framer.Malformed {
        return raw(remaining());
    }

    /** Bytes preceded by their length. */
    byte[] lengthEncodedBytes() throws Framer.Malformed {
        return raw(lengthEncodedInt());
    }

    /** A string in UTF-8, preceded by its length in bytes. */
    String lengthEncodedText() throws Framer.Malformed {
        return new String(lengthEncodedBytes(), UTF_8);
    }

    /** A string terminated by a zero byte, or by the end of the packet. */
    String nulTerminated() {
        int start = position;
        while (position < bytes.length && bytes[position] != 0) {
            position++;
        }
        String value = new String(bytes, start, position - start, UTF_8);
        position = Math.min(bytes.length, position + 1);
        return value;
    }

    /** Throws where fewer than {@code size} bytes remain. */
    private void requireBytes(long size) throws Framer.Malformed {
        if (size < 0 || size > remaining()) {
            throw new Framer.Malformed("packet too short");
        }
    }
}
