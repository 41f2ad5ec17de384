package lupinvalve.scale;

import java.util.ArrayList;
import java.util.List;

/** What the operators allow at full size, and what of it a run exceeded. */
final class Budgets {
    /** A change is in force everywhere within this time, or who lacks it may not act. */
    static final long IN_FORCE_MILLIS = 6_000;
    /** Of a core, for control, at a pooler. */
    static final double CONTROL_CPU_CORE = 0.029;

    static final double CONTROL_MEGABYTES = 128;
    static final double CONTROL_BYTES_PER_SECOND = 18_000;
    static final double CHANGES_A_DAY = 3_800;
    static final double RESTARTS_A_DAY = 340;
    static final double DAY_SECONDS = 86_400;

    private Budgets() {}

    /**
     * Names of the metrics that are over their budgets, or were not measured.
     *
     * @param changed whether there were changes that could come in force
     */
    static List<String> exceeded(Metrics metrics, boolean changed) {
        List<String> over = new ArrayList<>();
        if (changed) {
            add(over, "in_force_max_ms", metrics.inForceMaxMs(), IN_FORCE_MILLIS);
        }
        add(over, "control_cpu_core", metrics.controlCpuCore(), CONTROL_CPU_CORE);
        add(over, "control_bytes_per_s", metrics.controlBytesPerS(), CONTROL_BYTES_PER_SECOND);
        add(over, "control_rss_mb", metrics.controlRssMb(), CONTROL_MEGABYTES);
        return over;
    }

    private static void add(List<String> over, String name, Double measured, double budget) {
        if (measured == null || measured > budget) {
            over.add(name);
        }
    }
}
