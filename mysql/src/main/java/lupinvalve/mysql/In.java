package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;
import lupinvalve.net.Framer;

/** Reads a packet; what runs over its end is malformed. */
final class In {
    private final byte[] bytes;
    private int at;

    /** Starts behind the packet's head. */
    In(byte[] packet) {
        bytes = packet;
        at = 4;
    }

    int left() {
        return bytes.length - at;
    }

    int int1() throws Framer.Malformed {
        need(1);
        return bytes[at++] & 255;
    }

    long fixed(int size) throws Framer.Malformed {
        need(size);
        long value = 0;
        for (int i = 0; i < size; i++) {
            value |= (bytes[at++] & 255L) << 8 * i;
        }
        return value;
    }

    long lenenc() throws Framer.Malformed {
        int first = int1();
        return switch (first) {
            case 0xFC -> fixed(2);
            case 0xFD -> fixed(3);
            case 0xFE -> fixed(8);
            case 0xFB, 0xFF -> throw new Framer.Malformed("length " + first);
            default -> first;
        };
    }

    byte[] raw(long size) throws Framer.Malformed {
        need(size);
        byte[] value = Arrays.copyOfRange(bytes, at, at + (int) size);
        at += (int) size;
        return value;
    }

    /** Whether a NULL of a text row stands here, and steps over it. */
    boolean absent() {
        boolean absent = left() > 0 && (bytes[at] & 255) == 0xFB;
        at += absent ? 1 : 0;
        return absent;
    }

    byte[] rest() throws Framer.Malformed {
        return raw(left());
    }

    byte[] counted() throws Framer.Malformed {
        return raw(lenenc());
    }

    String countedText() throws Framer.Malformed {
        return new String(counted(), UTF_8);
    }

    /** A text ended by a zero byte, or by the packet's end. */
    String zero() {
        int from = at;
        while (at < bytes.length && bytes[at] != 0) {
            at++;
        }
        String value = new String(bytes, from, at - from, UTF_8);
        at = Math.min(bytes.length, at + 1);
        return value;
    }

    private void need(long size) throws Framer.Malformed {
        if (size < 0 || size > left()) {
            throw new Framer.Malformed("packet too short");
        }
    }
}
