package lupinvalve.core;

import java.math.BigDecimal;
import java.util.regex.Pattern;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.routing.LogPosition;

/** Parses the log positions in db nodes' answers: Unix time in seconds or milliseconds. Any thread. */
public final class LogPositionParser {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,12})?");
    /**
     * How far a position may lie ahead of this machine's clock: positions of commits are rounded up, and clocks are
     * synchronized, so that one further ahead must be corrupt or due to a wrong clock.
     */
    private static final long MAX_AHEAD_MICROS = 1_000_000;

    private static final RepeatedWarnings WARNINGS = new RepeatedWarnings();

    private LogPositionParser() {}

    /**
     * Parses a position. Rejects a figure too far in the future: the position recorded for a db node never goes back,
     * so a corrupt one would make the db node count as up to date for good.
     *
     * @param decimalPlaces by how many places to shift the decimal point to get microseconds: 6 for seconds, 3 for
     *     milliseconds
     * @param nowMicros the current Unix time
     * @return Unix time in microseconds, or {@link LogPosition#UNKNOWN}
     */
    public static long parse(String text, int decimalPlaces, long nowMicros) {
        if (!NUMBER.matcher(text).matches()) {
            return LogPosition.UNKNOWN;
        }
        long micros = new BigDecimal(text).movePointRight(decimalPlaces).longValue();
        if (micros > nowMicros + MAX_AHEAD_MICROS) {
            WARNINGS.warn(
                    "ignoring a db node's log position over 1 s ahead of this machine's clock: it is corrupt, or one of the clocks is wrong");
            return LogPosition.UNKNOWN;
        }
        return micros <= 0 ? LogPosition.UNKNOWN : micros;
    }
}
