package lupinvalve.core;

import java.math.BigDecimal;
import java.util.regex.Pattern;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.routing.LogPosition;

/** Parses log positions as db nodes write them: Unix time in some unit. Any thread. */
public final class LogPositionParser {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,12})?");
    /** A commit is rounded up, and clocks agree; what lies further ahead is no position. */
    private static final long MAX_AHEAD_MICROS = 1_000_000;

    private static final RepeatedWarnings IMPOSSIBLE = new RepeatedWarnings();

    private LogPositionParser() {}

    /**
     * Parses a position. Rejects figures that can't be one: a position never goes back, so a corrupt one that lies in
     * the future would make its db node look fresh for good.
     *
     * @param digits how many decimal places the unit lies before microseconds
     * @param nowMicros Unix time
     * @return microseconds, or {@link LogPosition#UNKNOWN}
     */
    public static long parse(String text, int digits, long nowMicros) {
        if (!NUMBER.matcher(text).matches()) {
            return LogPosition.UNKNOWN;
        }
        long micros = new BigDecimal(text).movePointRight(digits).longValue();
        if (micros > nowMicros + MAX_AHEAD_MICROS) {
            IMPOSSIBLE.warn(
                    "a db node's position lies over 1 s ahead of this machine's wall clock and is ignored: corrupt, or one of the clocks is wrong");
            return LogPosition.UNKNOWN;
        }
        return micros <= 0 ? LogPosition.UNKNOWN : micros;
    }
}
