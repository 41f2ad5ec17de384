package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when reads go to the primary instead of a replica. */
class PrimaryFallbackTest extends RouterFixture {
    @Test
    void sessionReadGoesToThePrimaryIfNoReplicaBecomesFreshInTime() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        request("r", SESSION_READ, "s", 800 * MS);
        assertNull(lastServer("r"));
        advance(150 * MS);
        assertEquals("a", lastServer("r"));
        assertEquals(0, rejections("r"));
    }

    @Test
    void strongReadGoesToAReplicaWhereReplicasWaitToCatchUp() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("r", STRONG_READ, null, 800 * MS);
        assertNotEquals("a", lastServer("r"));
    }

    @Test
    void strongReadGoesToThePrimaryWhereServersDoNotCheckFreshness() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("r", STRONG_READ, null, 800 * MS);
        assertEquals("a", lastServer("r"));
    }

    @Test
    void queuedReadGoesToThePrimaryEvenIfItsQueueDeadlineIsDueAtTheSameTick() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        healthCheckServed("a", now, ServerRole.PRIMARY);
        for (String laggingReplica : List.of("b", "c")) {
            healthCheckServed(laggingReplica, now - 530 * MS, ServerRole.REPLICA);
        }
        request("r", READ, null, 800 * MS);
        assertNull(lastServer("r"), "a replica may be fresh enough within a fifth of the objective");
        now += 45 * MS;
        handle(new RouterEvent.TimerFired(1));
        assertEquals("a", lastServer("r"));
        assertEquals(0, rejections("r"));
    }

    @Test
    void readGoesToThePrimaryAtOnceIfHealthChecksOfReplicasFailAndNoneHasReported() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        healthCheckServed("a", now, ServerRole.PRIMARY);
        healthCheckTimedOut("b");
        healthCheckTimedOut("c");
        now += 600 * MS;
        request("r", READ, null, 800 * MS);
        assertEquals(
                "a",
                lastServer("r"),
                "while health checks fail no replica can prove that it is fresh, so waiting is useless");
    }
}
