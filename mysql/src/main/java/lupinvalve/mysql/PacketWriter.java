package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;

/**
 * Builds a packet of MySQL's protocol from the manual's basic types: fixed-length and length-encoded integers and
 * strings.
 */
final class PacketWriter {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** An integer of one byte. */
    PacketWriter int1(int value) {
        bytes.write(value);
        return this;
    }

    /** A little-endian integer of a fixed number of bytes. */
    PacketWriter fixedInt(long value, int size) {
        for (int i = 0; i < size; i++) {
            bytes.write((int) (value >> 8 * i));
        }
        return this;
    }

    /** A length-encoded integer. */
    PacketWriter lengthEncodedInt(long value) {
        if (value < 251) {
            return int1((int) value);
        }
        int size = value < 1 << 16 ? 2 : value < 1 << 24 ? 3 : 8;
        return int1(size == 2 ? 0xFC : size == 3 ? 0xFD : 0xFE).fixedInt(value, size);
    }

    /** Bytes without a length. */
    PacketWriter raw(byte[] value) {
        bytes.writeBytes(value);
        return this;
    }

    /** A string without a length, as UTF-8. */
    PacketWriter text(String value) {
        return raw(value.getBytes(UTF_8));
    }

    /** A string terminated by a zero byte. */
    PacketWriter nulTerminated(String value) {
        return text(value).int1(0);
    }

    /** Bytes preceded by their length as a length-encoded integer. */
    PacketWriter lengthEncoded(byte[] value) {
        return lengthEncodedInt(value.length).raw(value);
    }

    /** A string in UTF-8, preceded by its length in bytes as a length-encoded integer. */
    PacketWriter lengthEncoded(String value) {
        return lengthEncoded(value.getBytes(UTF_8));
    }

    /** What has been written so far, without a packet header. */
    byte[] payload() {
        return bytes.toByteArray();
    }

    /** The packet: a header with the length and the sequence number, then the payload. */
    byte[] packet(int sequence) {
        return packet(payload(), 0, sequence);
    }

    /** A packet whose payload is the given bytes from the index {@code start} on. */
    static byte[] packet(byte[] bytes, int start, int sequence) {
        int length = bytes.length - start;
        byte[] out = new byte[length + 4];
        out[0] = (byte) length;
        out[1] = (byte) (length >> 8);
        out[2] = (byte) (length >> 16);
        out[3] = (byte) sequence;
        System.arraycopy(bytes, start, out, 4, length);
        return out;
    }
}
