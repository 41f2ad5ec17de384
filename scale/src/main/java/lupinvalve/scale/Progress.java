package lupinvalve.scale;

import java.util.Locale;

/** Says on a terminal how far a run is; where there is none, nothing. */
final class Progress {
    private final long begun = System.nanoTime();
    private final boolean on;

    Progress(boolean quiet) {
        on = !quiet && System.console() != null;
    }

    void say(String what) {
        if (on) {
            System.err.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - begun) / 1e9, what);
        }
    }
}
