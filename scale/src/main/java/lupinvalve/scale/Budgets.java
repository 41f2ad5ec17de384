package lupinvalve.scale;

import java.util.ArrayList;
import java.util.List;

/** The operators' limits for a full-size deployment, and the check of a run's metrics against them. */
final class Budgets {
    /**
     * A change must be in force everywhere within this time; a pooler without it must have lost the right to act by
     * then.
     */
    static final long IN_FORCE_MILLIS = 6_000;
    /** Share of a core for the control code of one pooler. */
    static final double CONTROL_CPU_CORE = 0.029;

    static final double CONTROL_MEGABYTES = 128;
    static final double CONTROL_BYTES_PER_SECOND = 18_000;
    static final double CHANGES_PER_DAY = 3_800;
    static final double RESTARTS_PER_DAY = 340;
    static final double SECONDS_PER_DAY = 86_400;

    private Budgets() {}

    /**
     * Returns the names of the metrics that exceed their budgets or were not measured.
     *
     * @param changed whether there were changes whose time to be in force could be measured
     */
    static List<String> exceeded(Metrics metrics, boolean changed) {
        List<String> over = new ArrayList<>();
        if (changed) {
            addIfExceeded(over, "in_force_max_ms", metrics.inForceMaxMs(), IN_FORCE_MILLIS);
        }
        addIfExceeded(over, "control_cpu_core", metrics.controlCpuCore(), CONTROL_CPU_CORE);
        addIfExceeded(over, "control_bytes_per_s", metrics.controlBytesPerS(), CONTROL_BYTES_PER_SECOND);
        addIfExceeded(over, "control_rss_mb", metrics.controlRssMb(), CONTROL_MEGABYTES);
        return over;
    }

    private static void addIfExceeded(List<String> over, String name, Double measured, double budget) {
        if (measured == null || measured > budget) {
            over.add(name);
        }
    }
}
