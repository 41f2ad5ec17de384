package lupinvalve.core;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;

/** Reads one quoted literal of an SQL text from behind its opening quote, and decodes its value. Not thread-safe. */
final class SqlLiteral {
    /** How the characters between the quotes are encoded. */
    enum Encoding {
        /** A doubled quote stands for one quote. */
        PLAIN,
        /** As {@link #PLAIN}, with MySQL's backslash escapes. */
        MYSQL_ESCAPES,
        /** As {@link #PLAIN}, with the backslash escapes of PostgreSQL's {@code E''}. */
        POSTGRESQL_ESCAPES,
        /** As {@link #PLAIN}, with the code points of PostgreSQL's {@code U&''}. */
        UNICODE_ESCAPES,
        /** Pairs of hexadecimal digits; decoded by {@link #decodeHex}. */
        HEX
    }

    private static final int HEX_RADIX = 16;
    private static final int OCTAL_RADIX = 8;
    private static final int MAX_OCTAL_DIGITS = 3;
    private static final int MAX_HEX_DIGITS = 2;
    private static final int SHORT_CODE_POINT_DIGITS = 4;
    private static final int UNICODE_CODE_POINT_DIGITS = 6;
    private static final int LONG_CODE_POINT_DIGITS = 8;
    /** Control-Z, which MySQL writes as {@code \Z}. */
    private static final int CONTROL_Z = 26;

    private final byte[] text;
    private final Encoding encoding;
    /** Null if the value is not kept. */
    private final ByteArrayOutputStream value;

    private int position;

    /** @param isValueKept false for a text that is only read to find its end */
    SqlLiteral(byte[] text, Encoding encoding, boolean isValueKept) {
        this.text = text;
        this.encoding = encoding;
        value = isValueKept ? new ByteArrayOutputStream() : null;
    }

    /** The value of all parts that have been read; only if it is kept. */
    String value() {
        byte[] bytes = value.toByteArray();
        return encoding == Encoding.HEX ? decodeHex(bytes) : new String(bytes, UTF_8);
    }

    Encoding encoding() {
        return encoding;
    }

    /**
     * Reads a part and appends its value.
     *
     * @param start index behind the opening quote
     * @return the index behind the closing quote, or {@link SqlText#NONE} if there is none
     */
    int read(int start, byte quote) {
        position = start;
        int verbatimStart = start;
        while (position < text.length) {
            byte current = text[position];
            if (current == quote) {
                append(verbatimStart, position);
                position++;
                if (byteAt(position) != quote) {
                    return position;
                }
                verbatimStart = position;
                position++;
            } else if (current == '\\' && hasEscapes()) {
                append(verbatimStart, position);
                position++;
                readEscape();
                verbatimStart = position;
            } else {
                position++;
            }
        }
        return SqlText.NONE;
    }

    private boolean hasEscapes() {
        return encoding != Encoding.PLAIN && encoding != Encoding.HEX;
    }

    /** Appends a part of the text as it is. */
    void append(int start, int end) {
        if (value != null) {
            value.write(text, start, end - start);
        }
    }

    private void write(int character) {
        if (value != null) {
            value.write(character);
        }
    }

    private int byteAt(int index) {
        return index < text.length ? text[index] : SqlText.NONE;
    }

    /** Reads what follows a backslash. */
    private void readEscape() {
        if (encoding == Encoding.UNICODE_ESCAPES) {
            readUnicodeEscape();
        } else if (position == text.length) {
            write('\\');
        } else if (encoding == Encoding.MYSQL_ESCAPES) {
            readMysqlEscape(text[position++]);
        } else {
            readPostgresqlEscape(text[position++]);
        }
    }

    private void readMysqlEscape(byte escaped) {
        switch (escaped) {
            case '0' -> write(0);
            case 'b' -> write('\b');
            case 'n' -> write('\n');
            case 'r' -> write('\r');
            case 't' -> write('\t');
            case 'Z' -> write(CONTROL_Z);
            case '%', '_' -> {
                // Kept for patterns of LIKE.
                write('\\');
                write(escaped);
            }
            default -> write(escaped);
        }
    }

    private void readPostgresqlEscape(byte escaped) {
        switch (escaped) {
            case 'b' -> write('\b');
            case 'f' -> write('\f');
            case 'n' -> write('\n');
            case 'r' -> write('\r');
            case 't' -> write('\t');
            case 'x' -> write(isDigit(position, HEX_RADIX) ? readNumber(HEX_RADIX, MAX_HEX_DIGITS) : escaped);
            case 'u' -> writeCodePoint(SHORT_CODE_POINT_DIGITS);
            case 'U' -> writeCodePoint(LONG_CODE_POINT_DIGITS);
            default -> {
                if (escaped >= '0' && escaped < '0' + OCTAL_RADIX) {
                    position--;
                    write(readNumber(OCTAL_RADIX, MAX_OCTAL_DIGITS));
                } else {
                    write(escaped);
                }
            }
        }
    }

    private void readUnicodeEscape() {
        if (byteAt(position) == '\\') {
            write('\\');
            position++;
        } else if (byteAt(position) == '+') {
            position++;
            writeCodePoint(UNICODE_CODE_POINT_DIGITS);
        } else {
            writeCodePoint(SHORT_CODE_POINT_DIGITS);
        }
    }

    private void writeCodePoint(int digits) {
        int codePoint = readNumber(HEX_RADIX, digits);
        if (Character.isValidCodePoint(codePoint)) {
            for (byte character : Character.toString(codePoint).getBytes(UTF_8)) {
                write(character);
            }
        }
    }

    /** Reads a number of at most this many digits; 0 where there are none. */
    private int readNumber(int radix, int maxDigits) {
        int end = position + maxDigits;
        int number = 0;
        while (position < end && isDigit(position, radix)) {
            number = number * radix + Character.digit(text[position++], radix);
        }
        return number;
    }

    private boolean isDigit(int index, int radix) {
        return index < text.length && Character.digit(text[index], radix) >= 0;
    }

    /** The value of a text of hexadecimal digits; the text itself if it is none. */
    private static String decodeHex(byte[] digits) {
        byte[] bytes = new byte[digits.length / 2];
        for (int i = 0; i < bytes.length; i++) {
            int high = Character.digit(digits[2 * i], HEX_RADIX);
            int low = Character.digit(digits[2 * i + 1], HEX_RADIX);
            if (high < 0 || low < 0) {
                return new String(digits, US_ASCII);
            }
            bytes[i] = (byte) (high * HEX_RADIX + low);
        }
        return new String(digits.length % 2 == 0 ? bytes : digits, UTF_8);
    }
}
