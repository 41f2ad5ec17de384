package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;

/** Writes a packet's payload. */
final class Out {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    Out int1(int value) {
        bytes.write(value);
        return this;
    }

    Out fixed(long value, int size) {
        for (int i = 0; i < size; i++) {
            bytes.write((int) (value >> 8 * i));
        }
        return this;
    }

    /** A length-encoded integer. */
    Out lenenc(long value) {
        if (value < 251) {
            return int1((int) value);
        }
        int size = value < 1 << 16 ? 2 : value < 1 << 24 ? 3 : 8;
        return int1(size == 2 ? 0xFC : size == 3 ? 0xFD : 0xFE).fixed(value, size);
    }

    Out raw(byte[] value) {
        bytes.writeBytes(value);
        return this;
    }

    Out text(String value) {
        return raw(value.getBytes(UTF_8));
    }

    /** A text ended by a zero byte. */
    Out zero(String value) {
        return text(value).int1(0);
    }

    /** Bytes after their length. */
    Out counted(byte[] value) {
        return lenenc(value.length).raw(value);
    }

    Out counted(String value) {
        return counted(value.getBytes(UTF_8));
    }

    byte[] payload() {
        return bytes.toByteArray();
    }

    /** The whole packet. */
    byte[] packet(int sequence) {
        return packet(payload(), 0, sequence);
    }

    /** A packet of the payload that starts at a place of the given bytes. */
    static byte[] packet(byte[] from, int at, int sequence) {
        int length = from.length - at;
        byte[] out = new byte[length + 4];
        out[0] = (byte) length;
        out[1] = (byte) (length >> 8);
        out[2] = (byte) (length >> 16);
        out[3] = (byte) sequence;
        System.arraycopy(from, at, out, 4, length);
        return out;
    }
}
