package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Which of the roles that servers state take effect. */
class PrimaryTrackerTest extends RouterFixture {
    @Test
    void lateReportOfAFormerPrimaryDoesNotReplaceANewerClaim() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        long formerClaimMicros = now + MS;
        now += 4000 * MS;
        healthCheckServed("c", now, ServerRole.PRIMARY);
        healthCheckServed("a", formerClaimMicros, ServerRole.PRIMARY);
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("c", lastServer("w"));
    }

    @Test
    void serverThatStatedToBeAReplicaGetsNoStrongReads() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        now += 20 * MS;
        attemptEnded("w", 0, "a", AttemptOutcome.MISDIRECTED, now - 10 * MS, ServerRole.REPLICA);
        request("r", STRONG_READ, null, 800 * MS);
        assertNull(lastServer("r"));
    }
}
