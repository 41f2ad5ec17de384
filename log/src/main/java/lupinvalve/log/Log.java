package lupinvalve.log;

import java.io.PrintStream;
import java.time.Instant;

/** The program's own log: one line an event on standard error, at or above one level. Safe for all threads. */
public final class Log {
    /** Severity of a line. */
    public enum Level {
        /** For each request; off by default. */
        DEBUG,
        /** What the program does. */
        INFO,
        /** What may need a look. */
        WARN,
        /** What is wrong. */
        ERROR
    }

    private static final int FAILURE_FRAMES_COUNT = 6;
    private static final ThreadLocal<Level> THREAD_LEVEL = new ThreadLocal<>();
    private static volatile Level level = Level.INFO;
    private static volatile PrintStream output = System.err;

    private Log() {}

    /** Drops lines below this level. */
    public static void setLevel(Level threshold) {
        level = threshold;
    }

    /**
     * Drops lines of the calling thread below this level, whatever the level of the others; null for the common one.
     */
    public static void setThreadLevel(Level threshold) {
        THREAD_LEVEL.set(threshold);
    }

    /** The level below which lines are dropped, unless a thread has its own. */
    public static Level level() {
        return level;
    }

    /** Sets where lines go, for tests. */
    public static void setOutput(PrintStream stream) {
        output = stream;
    }

    /** Whether the calling thread's debug lines are written. */
    public static boolean isDebugEnabled() {
        return effectiveLevel() == Level.DEBUG;
    }

    private static Level effectiveLevel() {
        Level threadLevel = THREAD_LEVEL.get();
        return threadLevel == null ? level : threadLevel;
    }

    /** Writes a line at level DEBUG; {@code %s} and {@code %d} in the format stand for the values in order. */
    public static void debug(String format, Object... values) {
        write(Level.DEBUG, format, values);
    }

    /** The same at level INFO. */
    public static void info(String format, Object... values) {
        write(Level.INFO, format, values);
    }

    /** The same at level WARN. */
    public static void warn(String format, Object... values) {
        write(Level.WARN, format, values);
    }

    /** The same at level ERROR. */
    public static void error(String format, Object... values) {
        write(Level.ERROR, format, values);
    }

    /** A failure of the program itself, with where it happened. */
    public static void failure(String what, Throwable failure) {
        StringBuilder text = new StringBuilder(what).append(": ").append(failure);
        StackTraceElement[] trace = failure.getStackTrace();
        for (int i = 0; i < Math.min(FAILURE_FRAMES_COUNT, trace.length); i++) {
            text.append(" < ").append(trace[i]);
        }
        write(Level.ERROR, "%s", text);
    }

    private static void write(Level severity, String format, Object... values) {
        if (severity.compareTo(effectiveLevel()) < 0) {
            return;
        }
        // Control characters in a value from outside could forge further lines.
        StringBuilder text = substitute(format, values);
        for (int i = 0; i < text.length(); i++) {
            if (Character.isISOControl(text.charAt(i))) {
                text.setCharAt(i, ' ');
            }
        }
        output.println(text.insert(0, " ").insert(0, severity).insert(0, " ").insert(0, Instant.now()));
    }

    /**
     * Puts the values where the format says {@code %s} or {@code %d}. String.format would load a locale's data first,
     * which delays a pooler's start.
     */
    private static StringBuilder substitute(String format, Object... values) {
        StringBuilder text = new StringBuilder();
        int value = 0;
        for (int i = 0; i < format.length(); i++) {
            char symbol = format.charAt(i);
            if (symbol == '%' && i + 1 < format.length() && value < values.length) {
                text.append(values[value++]);
                i++;
            } else {
                text.append(symbol);
            }
        }
        return text;
    }
}
