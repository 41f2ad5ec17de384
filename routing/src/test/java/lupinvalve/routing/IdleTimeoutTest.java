package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The idle timeout after a connection was dropped without notice while it was idle. */
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
        String node = lastServer("r0");
        now += 20 * MS;
        attemptEnded("r0", 0, node, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        now += 1000 * MS;
        request("r1", READ, null, 800 * MS);
        assertEquals(node, lastServer("r1"));
        now += 790 * MS;
        handle(new RouterEvent.AttemptEnded(
                "r1", 0, node, AttemptOutcome.TIMED_OUT, 790 * MS, false, LogPosition.UNKNOWN, ServerRole.UNKNOWN));
        assertEquals(1, closedIdleConnections(), "idle connections to the server are closed after the drop");
        for (int i = 0; i < 2; i++) {
            now += 1000 * MS;
            request("s" + i, READ, null, 800 * MS);
        }
        assertTrue(
                node.equals(lastServer("s0")) || node.equals(lastServer("s1")),
                "no read went to " + node + ", which must stay in use");
    }
}
