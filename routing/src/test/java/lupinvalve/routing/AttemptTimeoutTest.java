package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the time limits of attempts: the timeout, and the time within which the server must begin. */
class AttemptTimeoutTest extends RouterFixture {
    @Test
    void readCarriesItsStartDeadlineAndIsRejectedIfTheServerRejectsItAfterThat() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("r", READ, null, 800 * MS);
        assertEquals(200 * MS, lastAttempt("r").startWithinMicros());
        assertTrue(
                lastAttempt("r").timeoutMicros() > 200 * MS,
                "a server that has begun may finish, so that the connection is kept");
        now += 210 * MS;
        attemptEnded("r", 0, lastServer("r"), AttemptOutcome.REJECTED, now, ServerRole.REPLICA);
        assertEquals(1, attempts("r"));
        assertEquals(1, rejections("r"));
    }
}
