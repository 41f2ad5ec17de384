package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import lupinvalve.capacity.Slopes.Design;
import org.junit.jupiter.api.Test;

/** Estimates that are measured, computed, trials, guesses or not run, from a hand-written fixture. */
class EstimateTest {
    private static final double EXACT = 1e-9;

    static Slopes fixture() throws IOException {
        try (InputStream in = EstimateTest.class.getResourceAsStream("/fixture-slopes.json")) {
            return Slopes.read(in.readAllBytes());
        }
    }

    private static Estimate of(Design design, Metric metric) throws IOException {
        return Estimate.of(fixture(), design, metric, Demand.OPERATORS);
    }

    @Test
    void worstRunOfFullSizeIsUsedAsMeasured() throws IOException {
        Estimate estimate = of(Design.SUBSCRIPTIONS, Metric.IN_FORCE_P99_MS);
        assertEquals(1200, estimate.value());
        assertEquals(Basis.MEASURED, estimate.basis());
        assertTrue(estimate.from().startsWith("changes, 910 poolers"), estimate.from());
    }

    @Test
    void lineIsUsedAndGivesTheSizeAtWhichTheBudgetIsExceeded() throws IOException {
        Estimate estimate = of(Design.MEMBERS, Metric.CONTROL_BYTES_PER_S);
        assertEquals(91_000, estimate.value());
        assertEquals(Basis.GUESSED, estimate.basis(), "the line rests on 15 poolers");
        assertEquals(181, estimate.failsAt(), "18,000 are reached at 180");
    }

    @Test
    void missingDatabasesAreAdded() throws IOException {
        Estimate estimate = of(Design.SUBSCRIPTIONS, Metric.MEMBER_CPU_CORE);
        assertEquals(0.0095 + 0.0091 + 0.08, estimate.value(), EXACT);
    }

    @Test
    void loadAboveIdleIsDividedByTheLoadFactor() throws IOException {
        Estimate estimate = of(Design.SUBSCRIPTIONS, Metric.CONTROL_CPU_CORE);
        assertEquals(0.01 + 0.2 / 20, estimate.value(), EXACT);
        assertEquals(Basis.COMPUTED, estimate.basis());
        assertTrue(
                estimate.from().contains("changes x 20") && estimate.from().endsWith("as run 0.210 cores"),
                estimate.from());
    }

    @Test
    void trialWithLargerRunsIsPreferredAndMarkedAsTrial() throws IOException {
        Estimate estimate = of(Design.MEMBERS, Metric.LEADER_CPU_CORE);
        assertEquals(0.2 + 9.1 / 10, estimate.value(), EXACT);
        assertEquals(Basis.TRIAL, estimate.basis());
        assertTrue(estimate.from().contains("trial: bounds lifted"), estimate.from());
        assertEquals(801, estimate.failsAt(), "0.2 + 800 * 0.01 / 10 is one core");
    }

    @Test
    void negativeLineUsesTheLargestRunAndTwoPointsGiveNoLine() throws IOException {
        Estimate estimate = of(Design.MEMBERS, Metric.CONTROL_RSS_MB);
        assertEquals(50, estimate.value(), "the line has -810 at 910 poolers");
        assertTrue(estimate.from().startsWith("falls with size, taken as at 15"), estimate.from());
        assertEquals(Basis.GUESSED, estimate.basis(), "15 poolers are too few for more");
        assertEquals(Basis.NOT_RUN, of(Design.MEMBERS, Metric.LOG_BYTES).basis());
        assertEquals("1,500 B/s (15 poolers)", Estimate.largest(fixture(), Design.MEMBERS, Metric.CONTROL_BYTES_PER_S));
    }

    @Test
    void failedRunOfFullSizeIsNotedBesideTheLine() throws IOException {
        String from = of(Design.MEMBERS, Metric.CONTROL_BYTES_PER_S).from();
        assertTrue(from.endsWith("; **a run of 910 failed**"), from);
        assertTrue(!of(Design.SUBSCRIPTIONS, Metric.MEMBER_CPU_CORE).from().contains("failed"));
    }

    @Test
    void lastOfRepeatedRunsCounts() throws IOException {
        Slopes slopes = fixture();
        assertEquals(slopes.runs().size() - 1, slopes.latest().size());
        assertEquals(
                700,
                Estimate.of(slopes, Design.SUBSCRIPTIONS, Metric.TOLD_MS, Demand.OPERATORS)
                        .value());
    }

    @Test
    void metricWithoutRunIsNotRun() throws IOException {
        Estimate estimate = of(Design.SUBSCRIPTIONS, Metric.LEADER_CPU_CORE);
        assertTrue(Double.isNaN(estimate.value()));
        assertEquals(Basis.NOT_RUN, estimate.basis());
        assertEquals(
                Basis.NOT_RUN,
                of(Design.MEMBERS, Metric.IN_FORCE_P99_MS).basis(),
                "one run of 15 poolers makes no line");
    }
}
