package lupinvalve.log;

import java.io.PrintStream;
import java.time.Instant;

/** The program's log: one line per event on standard error, at or above a threshold level. Thread-safe. */
public final class Log {
    /** Severity of a line. */
    public enum Level {
        /** Details of each request; off by default. */
        DEBUG,
        /** Normal operation. */
        INFO,
        /** A condition that may need attention. */
        WARN,
        /** A fault. */
        ERROR
    }

    private static final int FAILURE_FRAMES_COUNT = 6;
    private static final ThreadLocal<Level> THREAD_LEVEL = new ThreadLocal<>();
    private static volatile Level commonLevel = Level.INFO;
    private static volatile PrintStream output = System.err;

    private Log() {}

    /** Sets the threshold below which lines are dropped. */
    public static void setLevel(Level threshold) {
        commonLevel = threshold;
    }

    /**
     * Sets a threshold for the lines of the calling thread in place of the common one; null restores the common one.
     */
    public static void setThreadLevel(Level threshold) {
        THREAD_LEVEL.set(threshold);
    }

    /** The threshold below which lines are dropped, for threads that have none of their own. */
    public static Level level() {
        return commonLevel;
    }

    /** Redirects the log; for tests. */
    public static void setOutput(PrintStream stream) {
        output = stream;
    }

    /** Whether the calling thread's debug lines are written. */
    public static boolean isDebugEnabled() {
        return effectiveLevel() == Level.DEBUG;
    }

    private static Level effectiveLevel() {
        Level threadLevel = THREAD_LEVEL.get();
        return threadLevel == null ? commonLevel : threadLevel;
    }

    /** Logs at level DEBUG; each {@code %s} and {@code %d} in the format is replaced by the next value. */
    public static void debug(String format, Object... values) {
        write(Level.DEBUG, format, values);
    }

    /** Logs at level INFO; the format is that of {@link #debug}. */
    public static void info(String format, Object... values) {
        write(Level.INFO, format, values);
    }

    /** Logs at level WARN; the format is that of {@link #debug}. */
    public static void warn(String format, Object... values) {
        write(Level.WARN, format, values);
    }

    /** Logs at level ERROR; the format is that of {@link #debug}. */
    public static void error(String format, Object... values) {
        write(Level.ERROR, format, values);
    }

    /**
     * Logs an unexpected exception at level ERROR, with the innermost frames of its stack trace.
     *
     * @param context the component or thread in which it occurred
     */
    public static void failure(String context, Throwable failure) {
        StringBuilder text = new StringBuilder(context).append(": ").append(failure);
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
        // A control character in a value from outside the program could forge further lines.
        StringBuilder text = substitute(format, values);
        for (int i = 0; i < text.length(); i++) {
            if (Character.isISOControl(text.charAt(i))) {
                text.setCharAt(i, ' ');
            }
        }
        output.println(text.insert(0, " ").insert(0, severity).insert(0, " ").insert(0, Instant.now()));
    }

    /**
     * Replaces each {@code %s} and {@code %d} by the next value. String.format would load locale data on first use,
     * which delays the start of a pooler.
     */
    private static StringBuilder substitute(String format, Object... values) {
        StringBuilder text = new StringBuilder();
        int next = 0;
        for (int i = 0; i < format.length(); i++) {
            char symbol = format.charAt(i);
            if (symbol == '%' && i + 1 < format.length() && next < values.length) {
                text.append(values[next++]);
                i++;
            } else {
                text.append(symbol);
            }
        }
        return text;
    }
}
