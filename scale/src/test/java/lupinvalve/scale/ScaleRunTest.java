package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A small run of each design with real processes. Checks the findings and that metrics are present, not the costs on
 * this machine.
 */
class ScaleRunTest {
    private static final Path CONFIG = Path.of("example/config.json");

    private static RunResult run(Design design, Load.Kind load, int poolers, int daemons, int seconds)
            throws Exception {
        RunSpec spec = new RunSpec(design, load, poolers, 100, daemons, seconds, 7, 40, 200, 0, CONFIG, false);
        try (ScaleRun run = new ScaleRun(spec, new Progress(true))) {
            return run.run();
        }
    }

    private static void assertNoFindings(RunResult result) {
        assertEquals(List.of(), result.findings());
        assertEquals(0, result.divergent());
        assertEquals(0, result.lost());
        assertEquals(0, result.unfencedLate());
        assertTrue(result.changes() > 0);
        assertTrue(result.metrics().inForceMaxMs() > 0);
        assertTrue(result.metrics().controlBytesPerS() > 0);
        assertTrue(result.metrics().leaderCpuCore() > 0);
    }

    @Test
    void fewMembersAdoptChanges() throws Exception {
        assertNoFindings(run(Design.MEMBERS, Load.Kind.CHANGES, 3, 1, 5));
    }

    @Test
    void thirtySubscribersAndTwoDaemonsPassAllFaults() throws Exception {
        RunResult result = run(Design.SUBSCRIPTIONS, Load.Kind.MIXED, 30, 2, 5);
        assertNoFindings(result);
        assertTrue(result.metrics().herdReadyMs() > 0);
        assertTrue(result.metrics().regionReadyMs() > 0);
        assertTrue(result.metrics().toldMs() > 0);
        assertTrue(result.metrics().realInForceMaxMs() > 0);
    }
}
