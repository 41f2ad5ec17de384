package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How idle connections that were dropped unseen shorten the timeout. */
class IdleTimeoutTest extends RouterFixture {
    private long closedIdleConnections() {
        return actions.stream()
                .filter(a -> a instanceof RouterAction.CloseIdleConnections)
                .count();
    }

    @Test
    void connectionDroppedWhileIdleShortensTheTimeoutAndEjectsNoServer() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("r0", READ, null, 800 * MS);
        String first = lastServer("r0");
        now += 20 * MS;
        attemptEnded("r0", 0, first, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        now += 1000 * MS;
        request("r1", READ, null, 800 * MS);
        assertEquals(first, lastServer("r1"));
        now += 790 * MS;
        handle(new RouterEvent.AttemptEnded(
                "r1", 0, first, AttemptOutcome.TIMED_OUT, 790 * MS, false, LogPosition.UNKNOWN, ServerRole.UNKNOWN));
        assertEquals(1, closedIdleConnections(), "the lost connection is closed");
        for (int i = 0; i < 2; i++) {
            now += 1000 * MS;
            request("s" + i, READ, null, 800 * MS);
        }
        assertTrue(
                first.equals(lastServer("s0")) || first.equals(lastServer("s1")), "the member stays in use: " + first);
    }
}
