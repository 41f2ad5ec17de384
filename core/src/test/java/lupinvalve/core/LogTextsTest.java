package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import lupinvalve.log.Log;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** The log lines about requests and endpoint lists that an on-call engineer reads at the default level. */
class LogTextsTest {
    private static DiscoveredEndpoint endpoint(String id, EndpointState state, long startedAtMicros) {
        return new DiscoveredEndpoint(
                new Endpoint(id, 1, 0, state, false, startedAtMicros), Map.of("pg", "127.0.0.1:1"));
    }

    /** Guards against clients and db nodes that fill the log with a line for each of their errors. */
    @Test
    void warningsOfOneKindAreLoggedOnceASecondWhateverTheirDetails() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        Log.setOutput(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            RepeatedWarnings warnings = new RepeatedWarnings();
            for (int i = 0; i < 10_000; i++) {
                warnings.warn("SQLSTATE", "db node answered " + i);
            }
        } finally {
            Log.setOutput(System.err);
        }
        long lines = written.toString(StandardCharsets.UTF_8).lines().count();
        assertTrue(lines >= 1 && lines <= 3, lines + " lines");
    }

    @Test
    void summaryCountsOutcomesRetriesAndFailedAttemptsByDbNode() {
        RequestSummary summary = new RequestSummary();
        summary.attemptStarted(0);
        summary.attemptStarted(1);
        assertTrue(summary.attemptEnded(AttemptOutcome.NOT_CONNECTED, "s-1"));
        assertFalse(summary.attemptEnded(AttemptOutcome.SERVED, "s-2"));
        assertFalse(summary.requestEnded(RequestOutcome.SERVED));
        assertTrue(summary.requestEnded(RequestOutcome.REJECTED));
        assertEquals("1 rejected, 1 served; 1 retries; attempts NOT_CONNECTED 1 (s-1 1)", summary.take());
        assertEquals("; 0 retries", summary.take());
    }

    @Test
    void summaryNamesTheDbNodesWithTheMostFailures() {
        RequestSummary summary = new RequestSummary();
        for (int node = 1; node <= 200; node++) {
            for (int i = 0; i < (node <= 5 ? node + 1 : 1); i++) {
                summary.attemptEnded(AttemptOutcome.TIMED_OUT, "s-" + node);
            }
        }
        assertEquals("; 0 retries; attempts TIMED_OUT 215 (others 136, s-5 6, s-4 5 and 62 more)", summary.take());
    }

    @Test
    void changesOfTheListAreNamedUpToALimit() {
        Map<String, DiscoveredEndpoint> before =
                Map.of("s-1", endpoint("s-1", EndpointState.LIVE, 1), "s-2", endpoint("s-2", EndpointState.LIVE, 1));
        assertEquals("nothing changed", EndpointListDiff.describe(before, before.values(), List.of()));
        assertEquals(
                "s-1 draining, s-2 restarted, s-3 new live, s-4 unlisted",
                EndpointListDiff.describe(
                        before,
                        List.of(
                                endpoint("s-1", EndpointState.DRAINING, 1),
                                endpoint("s-2", EndpointState.LIVE, 2),
                                endpoint("s-3", EndpointState.LIVE, 1)),
                        List.of("s-4")));
        List<String> unlisted = List.of("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        assertEquals(
                "a unlisted, b unlisted, c unlisted, d unlisted, e unlisted, f unlisted, g unlisted, h unlisted and 2 more",
                EndpointListDiff.describe(Map.of(), List.of(), unlisted));
    }
}
