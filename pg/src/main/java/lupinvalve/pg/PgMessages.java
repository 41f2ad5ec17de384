package lupinvalve.pg;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;

/** PostgreSQL's messages, as far as the pooler words any itself. */
final class PgMessages {
    static final byte[] READY = message('Z', new byte[] {'I'});
    static final byte[] EMPTY = message('I', new byte[0]);
    static final byte[] AUTHENTICATED = message('R', new byte[4]);
    /** SSL is not spoken here. */
    static final byte[] NO = {'N'};

    private PgMessages() {}

    static byte[] message(char type, byte[] body) {
        byte[] out = new byte[body.length + 5];
        out[0] = (byte) type;
        put32(out, 1, body.length + 4);
        System.arraycopy(body, 0, out, 5, body.length);
        return out;
    }

    private static void put32(byte[] out, int at, int value) {
        for (int i = 0; i < 4; i++) {
            out[at + i] = (byte) (value >> 24 - 8 * i);
        }
    }

    /** BackendKeyData: what a cancel of the connection's requests has to name. */
    static byte[] key(long key) {
        byte[] body = new byte[8];
        put32(body, 0, (int) (key >> 32));
        put32(body, 4, (int) key);
        return message('K', body);
    }

    /** A message whose body is texts, each ended by a zero byte. */
    static byte[] texts(char type, String... texts) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (String text : texts) {
            body.writeBytes(text.getBytes(UTF_8));
            body.write(0);
        }
        return message(type, body.toByteArray());
    }

    /** An ErrorResponse; {@code detail} may be null. */
    static byte[] error(String severity, String code, String text, String detail) {
        return detail == null
                ? texts('E', "S" + severity, "V" + severity, "C" + code, "M" + text, "")
                : texts('E', "S" + severity, "V" + severity, "C" + code, "M" + text, "D" + detail, "");
    }

    static byte[] startup(String user, String database) {
        byte[] typed = texts(' ', "user", user, "database", database, "");
        byte[] out = new byte[typed.length + 3];
        put32(out, 0, out.length);
        put32(out, 4, 196608);
        System.arraycopy(typed, 5, out, 8, typed.length - 5);
        return out;
    }

    /** The text that starts at a place and ends before the next zero byte. */
    static String text(byte[] message, int from) {
        int to = from;
        while (to < message.length && message[to] != 0) {
            to++;
        }
        return new String(message, from, to - from, UTF_8);
    }

    /** A field of an ErrorResponse, or an empty text. */
    static String errorField(byte[] message, char field) {
        for (int at = 5; at < message.length && message[at] != 0; at++) {
            if (message[at] == field) {
                return text(message, at + 1);
            }
            while (at < message.length && message[at] != 0) {
                at++;
            }
        }
        return "";
    }

    /** Whether the lengths inside a db node's message agree with its own. */
    static boolean sound(byte[] message) {
        int length = message.length;
        return switch (message[0]) {
            case 'T' -> length > 7 && int16(message, 5) == 1 && end(message, 7) + 18 == length;
            case 'D' -> row(message, length);
            case 'C' -> end(message, 5) == length && length > 6;
            case 'S' -> end(message, end(message, 5)) == length;
            case 'E', 'N' -> fields(message);
            case 'Z' -> length == 6 && "ITE".indexOf(message[5]) >= 0;
            case 'R' -> length == 9 && PgFramer.int32(message, 5) == 0;
            case 'K' -> length == 13;
            default -> false;
        };
    }

    /** Whether a row, or the first piece of one, says of itself what a row of one column and so many bytes does. */
    static boolean row(byte[] message, int length) {
        return length >= PgFramer.ROW_HEAD
                && int16(message, 5) == 1
                && Math.max(0, PgFramer.int32(message, 7)) == length - PgFramer.ROW_HEAD
                && PgFramer.int32(message, 7) >= -1;
    }

    /** Fields of a type and a text each, closed by one zero byte; an error names a code of five characters. */
    private static boolean fields(byte[] message) {
        int at = 5;
        while (at < message.length && message[at] != 0) {
            at = end(message, at + 1);
        }
        return at == message.length - 1
                && (message[0] == 'N' || errorField(message, 'C').length() == 5);
    }

    private static int int16(byte[] bytes, int at) {
        return (bytes[at] & 255) << 8 | bytes[at + 1] & 255;
    }

    /** Behind the zero byte that ends a text; past the message's end where there is none. */
    private static int end(byte[] message, int from) {
        int to = from;
        while (to < message.length && message[to] != 0) {
            to++;
        }
        return to + 1;
    }
}
