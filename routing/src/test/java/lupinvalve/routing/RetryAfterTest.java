package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the Retry-After of rejected reads and writes. */
class RetryAfterTest {
    private static final long MS = 1000;
    private static final RequestClass READ = requestClass(RequestClass.Access.ANY);
    private static final RequestClass WRITE = requestClass(RequestClass.Access.WRITE);

    private static RequestClass requestClass(RequestClass.Access access) {
        return new RequestClass(
                access.name(),
                access,
                0,
                RequestClass.Effect.SAFE,
                RequestClass.KeyScope.ALL,
                0,
                1000 * MS,
                4000 * MS,
                1,
                0);
    }

    private static RetryAfter retryAfter(boolean allowed, long maxMicros) {
        RouterSettings settings = new RouterSettings(
                0,
                1,
                0,
                false,
                List.of(READ, WRITE),
                new RouterSettings.DeploymentLimits(5, false, true, true, allowed, maxMicros, 1000),
                new RouterSettings.Rules(0, 0, 0, 0.2, 0, 2, 0),
                new RouterSettings.Replication(
                        RouterSettings.FreshnessCheck.SILENT, 0, RouterSettings.TokenSource.CARRIED));
        return new RetryAfter(new RouterContext(settings, 7, 0, action -> {}));
    }

    @Test
    void retryAfterOfReadsIsSpreadOverAPartOfTheirObjective() {
        RetryAfter retryAfter = retryAfter(true, 5000 * MS);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 1000; i++) {
            long micros = retryAfter.micros(READ);
            least = Math.min(least, micros);
            most = Math.max(most, micros);
        }
        assertTrue(least >= 90 * MS && least < 95 * MS, "least " + least);
        assertTrue(most <= 270 * MS && most > 265 * MS, "most " + most);
    }

    @Test
    void retryAfterOfWritesIsFixed() {
        assertEquals(50 * MS, retryAfter(true, 5000 * MS).micros(WRITE));
    }

    @Test
    void deploymentBoundsRetryAfterOrAllowsNone() {
        assertEquals(20 * MS, retryAfter(true, 20 * MS).micros(READ));
        assertEquals(20 * MS, retryAfter(true, 20 * MS).micros(WRITE));
        assertEquals(0, retryAfter(false, 5000 * MS).micros(READ));
        assertEquals(0, retryAfter(false, 5000 * MS).micros(WRITE));
    }
}
