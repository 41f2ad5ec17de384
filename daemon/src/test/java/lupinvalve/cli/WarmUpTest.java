package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import lupinvalve.config.NodeConfig;
import org.junit.jupiter.api.Test;

/** The warm-up's requests must be served; otherwise it compiles the error path and not the request path. */
class WarmUpTest {
    @Test
    void warmUpRequestsAreServed() throws Exception {
        // The warm-up ends after 2 s, in which a busy machine may not serve all requests; if the request path fails,
        // none is served.
        assertTrue(WarmUp.run(NodeConfig.read(Path.of("example/config.json"), null), WarmUp.FULL_REQUESTS_COUNT)
                > WarmUp.FULL_REQUESTS_COUNT / 2);
    }

    @Test
    void poolerWithLowRequestRateRunsReducedWarmUp() {
        assertEquals(WarmUp.FULL_REQUESTS_COUNT, WarmUp.requests(292, 1));
        assertEquals(WarmUp.FULL_REQUESTS_COUNT, WarmUp.requests(292 / 2.0, 0.5));
        assertEquals(WarmUp.REDUCED_REQUESTS_COUNT, WarmUp.requests(1200 / 14.0, 0.5));
        assertEquals(WarmUp.FULL_REQUESTS_COUNT, WarmUp.requests(0, 0.5), "the request rate is unknown");
    }

    @Test
    void rehearsalServesAndDrains() {
        assertEquals(0, Main.run(new String[] {"rehearse", "--config", "example/config.json"}, System.err));
    }
}
