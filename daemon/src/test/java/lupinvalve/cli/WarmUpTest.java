package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import lupinvalve.config.NodeConfig;
import org.junit.jupiter.api.Test;

/** What goes before service must itself be served, or it warms up the way to an error. */
class WarmUpTest {
    @Test
    void what_the_warm_up_asks_is_served() throws Exception {
        // It ends after 2 s, which a machine with busy neighbours may need for fewer; a path that fails serves none.
        assertTrue(WarmUp.run(NodeConfig.read(Path.of("example/config.json"), null), WarmUp.MANY) > WarmUp.MANY / 2);
    }

    @Test
    void a_pooler_that_gets_little_of_the_traffic_starts_sooner() {
        assertEquals(WarmUp.MANY, WarmUp.requests(292, 1));
        assertEquals(WarmUp.MANY, WarmUp.requests(292 / 2.0, 0.5));
        assertEquals(WarmUp.FEW, WarmUp.requests(1200 / 14.0, 0.5));
        assertEquals(WarmUp.MANY, WarmUp.requests(0, 0.5), "nothing is known of the traffic");
    }

    @Test
    void the_rehearsal_of_the_build_serves_and_drains() {
        assertEquals(0, Main.run(new String[] {"rehearse", "--config", "example/config.json"}, System.err));
    }
}
