package lupinvalve.pg;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;

/** Builds the PostgreSQL protocol messages that the pooler sends itself, and checks those that db nodes send. */
final class PgMessages {
    /** ReadyForQuery, outside a transaction. */
    static final byte[] READY_FOR_QUERY = message('Z', new byte[] {'I'});

    static final byte[] EMPTY_QUERY_RESPONSE = message('I', new byte[0]);
    static final byte[] AUTHENTICATION_OK = message('R', new byte[4]);
    /** The answer to SSLRequest and GSSENCRequest: the connection stays unencrypted. */
    static final byte[] ENCRYPTION_REFUSED = {'N'};

    private static final int VERSION_3_0 = 196608;

    private PgMessages() {}

    static byte[] message(char type, byte[] body) {
        byte[] out = new byte[body.length + 5];
        out[0] = (byte) type;
        putInt32(out, 1, body.length + 4);
        System.arraycopy(body, 0, out, 5, body.length);
        return out;
    }

    private static void putInt32(byte[] out, int at, int value) {
        for (int i = 0; i < 4; i++) {
            out[at + i] = (byte) (value >> 24 - 8 * i);
        }
    }

    /** BackendKeyData: the process number and secret key that a CancelRequest for this connection must carry. */
    static byte[] backendKeyData(long key) {
        byte[] body = new byte[8];
        putInt32(body, 0, (int) (key >> 32));
        putInt32(body, 4, (int) key);
        return message('K', body);
    }

    /** A message whose body is strings, each terminated by a zero byte. */
    static byte[] textMessage(char type, String... texts) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (String text : texts) {
            body.writeBytes(text.getBytes(UTF_8));
            body.write(0);
        }
        return message(type, body.toByteArray());
    }

    /**
     * An ErrorResponse.
     *
     * @param code the SQLSTATE
     * @param detail the optional detail field, or null for none
     */
    static byte[] error(String severity, String code, String text, String detail) {
        return detail == null
                ? textMessage('E', "S" + severity, "V" + severity, "C" + code, "M" + text, "")
                : textMessage('E', "S" + severity, "V" + severity, "C" + code, "M" + text, "D" + detail, "");
    }

    /** A startup message for protocol 3.0. */
    static byte[] startup(String user, String database) {
        byte[] typed = textMessage(' ', "user", user, "database", database, "");
        byte[] out = new byte[typed.length + 3];
        putInt32(out, 0, out.length);
        putInt32(out, 4, VERSION_3_0);
        System.arraycopy(typed, 5, out, 8, typed.length - 5);
        return out;
    }

    /** The string that starts at the given index and ends before the next zero byte. */
    static String text(byte[] message, int from) {
        int to = from;
        while (to < message.length && message[to] != 0) {
            to++;
        }
        return new String(message, from, to - from, UTF_8);
    }

    /** The value of a field of an ErrorResponse, or an empty string where the field is missing. */
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

    /** Whether the lengths inside a message from a db node agree with the length of the message. */
    static boolean isWellFormed(byte[] message) {
        int length = message.length;
        return switch (message[0]) {
            case 'T' -> length > 7 && int16(message, 5) == 1 && textEnd(message, 7) + 18 == length;
            case 'D' -> isSingleColumnRow(message, length);
            case 'C' -> textEnd(message, 5) == length && length > 6;
            case 'S' -> textEnd(message, textEnd(message, 5)) == length;
            case 'E', 'N' -> hasWellFormedFields(message);
            case 'Z' -> length == 6 && "ITE".indexOf(message[5]) >= 0;
            case 'R' -> length == 9 && PgFramer.int32(message, 5) == 0;
            case 'K' -> length == 13;
            default -> false;
        };
    }

    /**
     * Whether the header of a DataRow is that of a row of one column whose length agrees with that of the message.
     *
     * @param message the row, or the first chunk of it
     * @param length bytes of the whole message, its type byte included
     */
    static boolean isSingleColumnRow(byte[] message, int length) {
        return length >= PgFramer.ROW_HEADER_BYTES
                && int16(message, 5) == 1
                && Math.max(0, PgFramer.int32(message, 7)) == length - PgFramer.ROW_HEADER_BYTES
                && PgFramer.int32(message, 7) >= -1;
    }

    /**
     * Whether the body is a list of fields, a type byte and a string each, terminated by one zero byte. An
     * ErrorResponse must also have an SQLSTATE of five characters; a NoticeResponse need not.
     */
    private static boolean hasWellFormedFields(byte[] message) {
        int at = 5;
        while (at < message.length && message[at] != 0) {
            at = textEnd(message, at + 1);
        }
        return at == message.length - 1
                && (message[0] == 'N' || errorField(message, 'C').length() == 5);
    }

    private static int int16(byte[] bytes, int at) {
        return (bytes[at] & 255) << 8 | bytes[at + 1] & 255;
    }

    /** The index after the zero byte that terminates a string; past the end of the message where there is none. */
    private static int textEnd(byte[] message, int from) {
        int to = from;
        while (to < message.length && message[to] != 0) {
            to++;
        }
        return to + 1;
    }
}
