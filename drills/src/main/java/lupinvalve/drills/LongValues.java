package lupinvalve.drills;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Values of the stand-in db nodes: the position that was seen, followed by as many bytes as the statement's key asks
 * for. Without I/O.
 */
final class LongValues {
    private static final Pattern KEY = Pattern.compile("handle = 'long-(\\d{1,7})'");
    private static final char END = ':';
    private static final String FILLER = "x";

    private LongValues() {}

    /** The key of a row with so long a value. */
    static String key(int bytes) {
        return "long-" + bytes;
    }

    /** What a statement is answered with. */
    static String value(long position, String statement) {
        Matcher key = KEY.matcher(statement);
        return key.find() ? position + (END + FILLER.repeat(Integer.parseInt(key.group(1)))) : Long.toString(position);
    }

    /** The position that a value begins with. */
    static long position(String value) {
        int end = value.indexOf(END);
        return Long.parseLong(end < 0 ? value : value.substring(0, end));
    }

    /** Whether a value is as long as the key asked for. */
    static boolean isWhole(String value, int bytes) {
        return value.length() == value.indexOf(END) + 1 + bytes;
    }
}
