package lupinvalve.log;

import java.io.PrintStream;
import java.time.Instant;

/** The program's own log: one line an event on standard error, at or above one level. Safe for all threads. */
public final class Log {
    /** How much a line matters. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    private static volatile Level least = Level.INFO;
    private static final ThreadLocal<Level> LEAST_HERE = new ThreadLocal<>();
    private static volatile PrintStream out = System.err;

    private Log() {}

    /** Lines under this level are dropped. */
    public static void least(Level level) {
        least = level;
    }

    /** Lines of the calling thread under this level are dropped, whatever holds for other threads. */
    public static void leastHere(Level level) {
        LEAST_HERE.set(level);
    }

    private static Level leastForThisThread() {
        Level here = LEAST_HERE.get();
        return here == null ? least : here;
    }

    public static Level least() {
        return least;
    }

    /** Where lines go, for tests. */
    public static void to(PrintStream stream) {
        out = stream;
    }

    public static boolean debugs() {
        return leastForThisThread() == Level.DEBUG;
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
        if (level.compareTo(leastForThisThread()) < 0) {
            return;
        }
        // One line a call, whatever came from outside: control characters could forge further lines.
        StringBuilder text = filled(format, values);
        for (int i = 0; i < text.length(); i++) {
            if (Character.isISOControl(text.charAt(i))) {
                text.setCharAt(i, ' ');
            }
        }
        out.println(text.insert(0, " ").insert(0, level).insert(0, " ").insert(0, Instant.now()));
    }

    /**
     * Puts the values where the format says {@code %s} or {@code %d}. String.format would load the texts and numbers of
     * a language first, which costs a pooler that starts some tens of milliseconds of its part of a core.
     */
    private static StringBuilder filled(String format, Object... values) {
        StringBuilder text = new StringBuilder();
        int value = 0;
        for (int i = 0; i < format.length(); i++) {
            char c = format.charAt(i);
            if (c == '%' && i + 1 < format.length() && value < values.length) {
                text.append(values[value++]);
                i++;
            } else {
                text.append(c);
            }
        }
        return text;
    }
}
