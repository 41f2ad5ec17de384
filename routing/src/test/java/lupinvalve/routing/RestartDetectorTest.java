package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which failures make a server count as restarted, and so put it into slow start. */
class RestartDetectorTest extends RouterFixture {
    /** A timed-out attempt is no sign of a restart, so the server must not enter slow start (incident ia16a3b). */
    @Test
    void timeoutsDoNotPutAServerIntoSlowStart() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("t", READ, null, 400 * MS);
        String node = lastServer("t");
        now += 300 * MS;
        attemptEnded("t", 0, node, AttemptOutcome.TIMED_OUT, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        handle(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, now - 10 * MS, ServerRole.REPLICA));
        int readsAtServer = 0;
        for (int i = 0; i < 12; i++) {
            request("r" + i, READ, null, 400 * MS);
            readsAtServer += node.equals(lastServer("r" + i)) ? 1 : 0;
        }
        assertTrue(readsAtServer >= 4, "reads at the server, of 12: " + readsAtServer);
    }

    @Test
    void serverThatLostConnectionsAndWasIdleAfterwardsIsNotTakenForRestarted() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        for (String id : List.of("x1", "x2")) {
            request(id, WRITE, "s", 2000 * MS);
        }
        attemptEnded("x1", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        attemptEnded("x2", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        advance(3000 * MS);
        healthCheckServed("a", now, ServerRole.PRIMARY);
        request("x3", WRITE, "s", 2000 * MS);
        attemptEnded("x3", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        // A server in slow start would admit only a few of these at once.
        for (int i = 0; i < 7; i++) {
            request("y" + i, WRITE, "s", 2000 * MS);
            assertEquals("a", lastServer("y" + i));
        }
    }
}
