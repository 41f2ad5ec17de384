package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Read-your-writes with session tokens that the router stores or that requests carry. */
class SessionTokensTest extends RouterFixture {
    @Test
    void sessionReadGoesOnlyToReplicaThatHasReachedTheToken() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", lastServer("w"));
        now += 20 * MS;
        attemptEnded("w", 0, "a", AttemptOutcome.SERVED, now - MS, ServerRole.PRIMARY);
        request("r", SESSION_READ, "s", 800 * MS);
        assertNull(lastServer("r"), "no replica has reached the token yet");
        now += 10 * MS;
        healthCheckServed("c", now, ServerRole.REPLICA);
        assertEquals("c", lastServer("r"));
    }

    @Test
    void sessionWithoutTokenReadsFromAReplicaAtOnce() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("r", SESSION_READ, "other", 800 * MS);
        assertTrue(List.of("b", "c").contains(lastServer("r")));
    }

    @Test
    void carriedTokenBindsWhereServersCheckFreshness() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        healthCheckServed("a", now, ServerRole.PRIMARY);
        healthCheckServed("b", now - 3000 * MS, ServerRole.REPLICA);
        healthCheckServed("c", now - 10 * MS, ServerRole.REPLICA);
        for (int i = 0; i < 6; i++) {
            handle(new RouterEvent.RequestArrived("r" + i, SESSION_READ, false, "s", 300 * MS, 1, 800 * MS));
            assertEquals("c", lastServer("r" + i));
        }
    }
}
