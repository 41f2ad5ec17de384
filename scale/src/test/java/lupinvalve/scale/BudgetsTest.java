package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Metrics that exceed their budget, or were not measured, are named. */
class BudgetsTest {
    private static Metrics metrics(Map<String, Double> figures) {
        return Json.MAPPER.convertValue(figures, Metrics.class);
    }

    private static final Map<String, Double> WITHIN_BUDGETS = Map.of(
            "in_force_max_ms",
            6_000.0,
            "control_cpu_core",
            0.029,
            "control_bytes_per_s",
            18_000.0,
            "control_rss_mb",
            128.0);

    private static List<String> exceeded(String name, double value) {
        Map<String, Double> figures = new java.util.HashMap<>(WITHIN_BUDGETS);
        figures.put(name, value);
        return Budgets.exceeded(metrics(figures), true);
    }

    @Test
    void eachExceededBudgetIsNamed() {
        assertEquals(List.of(), Budgets.exceeded(metrics(WITHIN_BUDGETS), true));
        assertEquals(List.of("in_force_max_ms"), exceeded("in_force_max_ms", 6_001));
        assertEquals(List.of("control_cpu_core"), exceeded("control_cpu_core", 0.0291));
        assertEquals(List.of("control_bytes_per_s"), exceeded("control_bytes_per_s", 18_001));
        assertEquals(List.of("control_rss_mb"), exceeded("control_rss_mb", 128.1));
    }

    @Test
    void metricThatWasNotMeasuredCountsAsExceeded() {
        assertEquals(4, Budgets.exceeded(metrics(Map.of()), true).size());
        assertEquals(3, Budgets.exceeded(metrics(Map.of()), false).size());
    }
}
