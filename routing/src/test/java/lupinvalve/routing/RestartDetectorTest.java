package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What makes a server count as restarted, and so puts it into slow start. */
class RestartDetectorTest extends RouterFixture {
    /** Incident ia16a3b. */
    @Test
    void timeoutsDoNotPutAServerIntoSlowStart() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("t", READ, null, 400 * MS);
        String node = lastServer("t");
        now += 300 * MS;
        attemptEnded("t", 0, node, AttemptOutcome.TIMED_OUT, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        handle(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, now - 10 * MS, ServerRole.REPLICA));
        int there = 0;
        for (int i = 0; i < 12; i++) {
            request("r" + i, READ, null, 400 * MS);
            there += node.equals(lastServer("r" + i)) ? 1 : 0;
        }
        assertTrue(there >= 4, "got " + there);
    }

    @Test
    void serverThatLostConnectionsAndThenHadNothingToDoIsNotTakenForRestarted() {
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
        // A cold member earns a few at a time.
        for (int i = 0; i < 7; i++) {
            request("y" + i, WRITE, "s", 2000 * MS);
            assertEquals("a", lastServer("y" + i));
        }
    }
}
