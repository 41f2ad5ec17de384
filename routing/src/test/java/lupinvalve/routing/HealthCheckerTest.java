package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Effects of failed health checks. */
class HealthCheckerTest extends RouterFixture {
    @Test
    void failedHealthChecksAloneEjectNoServer() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        for (int i = 0; i < 3; i++) {
            now += 300 * MS;
            healthCheckTimedOut("b");
            healthCheckTimedOut("c");
        }
        request("r", READ, null, 800 * MS);
        assertTrue(
                List.of("b", "c").contains(lastServer("r")),
                "failed checks must not eject the replicas, but the read went to " + lastServer("r"));
    }
}
