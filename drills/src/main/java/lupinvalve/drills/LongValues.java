package lupinvalve.drills;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Values that the stand-in db nodes return: the position that the statement saw, followed by as many bytes as the
 * statement's key requests. Does no I/O.
 */
final class LongValues {
    private static final Pattern KEY = Pattern.compile("handle = 'long-(\\d{1,7})'");
    private static final char SEPARATOR = ':';
    private static final String FILLER = "x";

    private LongValues() {}

    /** The key of a row whose value has this many bytes beside its position. */
    static String key(int bytes) {
        return "long-" + bytes;
    }

    /** The value that a statement returns. */
    static String value(long position, String statement) {
        Matcher key = KEY.matcher(statement);
        return key.find()
                ? position + (SEPARATOR + FILLER.repeat(Integer.parseInt(key.group(1))))
                : Long.toString(position);
    }

    /** The position at the start of a value. */
    static long position(String value) {
        int end = value.indexOf(SEPARATOR);
        return Long.parseLong(end < 0 ? value : value.substring(0, end));
    }

    /** Whether a value has the length that its key requested. */
    static boolean isWhole(String value, int bytes) {
        return value.length() == value.indexOf(SEPARATOR) + 1 + bytes;
    }
}
