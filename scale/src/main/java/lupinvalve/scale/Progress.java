package lupinvalve.scale;

import java.util.Locale;

/** Prints a run's progress to standard error if there is a terminal; otherwise nothing. */
final class Progress {
    private final long startNanos = System.nanoTime();
    private final boolean enabled;

    Progress(boolean quiet) {
        enabled = !quiet && System.console() != null;
    }

    void say(String what) {
        if (enabled) {
            System.err.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - startNanos) / 1e9, what);
        }
    }
}
