package lupinvalve.log;

import java.io.PrintStream;
import java.time.Instant;

/** The program's own log: one line an event on standard error, at or above one level. Safe for all threads. */
public final class Log {
    /** How much a line matters. */
    public enum Level { DEBUG, INFO, WARN, ERROR }

    private static volatile Level least = Level.INFO;
    private static volatile PrintStream out = System.err;

    private Log() {}

    /** Lines under this level are dropped. */
    public static void least(Level level) {
        least = level;
    }

    public static Level least() {
        return least;
    }

    /** Where lines go, for tests. */
    public static void to(PrintStream stream) {
        out = stream;
    }

    public static boolean debugs() {
        return least == Level.DEBUG;
    }

    public static void debug(String format, Object... values) {
        line(Level.DEBUG, format, values);
    }

    public static void info(String format, Object... values) {
        line(Level.INFO, format, values);
    }

    public static void warn(String format, Object... values) {
        line(Level.WARN, format, values);
    }

    public static void error(String format, Object... values) {
        line(Level.ERROR, format, values);
    }

    /** A failure of the program itself, with where it happened. */
    public static void failure(String what, Throwable failure) {
        StringBuilder text = new StringBuilder(what).append(": ").append(failure);
        StackTraceElement[] trace = failure.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
            text.append(" < ").append(trace[i]);
        }
        line(Level.ERROR, "%s", text);
    }

    private static void line(Level level, String format, Object... values) {
        if (level.compareTo(least) < 0) {
            return;
        }
        String text = values.length == 0 ? format : String.format(format, values);
        // One line a call, whatever came from outside: control characters could forge further lines.
        out.println(Instant.now() + " " + level + " " + text.replaceAll("\\p{Cntrl}", " "));
    }
}
