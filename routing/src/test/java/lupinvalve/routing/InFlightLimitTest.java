package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit of attempts in flight to a server. */
class InFlightLimitTest extends RouterFixture {
    /**
     * Guards against incident idbd205: retries must not go straight back to a server that has just rejected an attempt.
     */
    @Test
    void serverThatRejectedAnAttemptGetsNoneUntilItsPauseIsOver() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.REJECTED, now, ServerRole.PRIMARY);
        assertEquals(1, attempts("w"));
        advance(100 * MS);
        assertEquals(2, attempts("w"));
    }

    @Test
    void limitFallsToItsMinimumWithinAFewRoundsOfSlowAnswers() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int rounds = 0;
        int inFlight = Integer.MAX_VALUE;
        // Each round sends writes to the primary up to its limit; then all are answered after their latency objective.
        for (; rounds < 4 && inFlight > 3; rounds++) {
            inFlight = 0;
            for (int i = 0; i < 30; i++) {
                request("w" + rounds + "." + i, WRITE, "s", 2000 * MS);
                inFlight += lastServer("w" + rounds + "." + i) != null ? 1 : 0;
            }
            now += 600 * MS;
            for (int i = 0; i < 30; i++) {
                String id = "w" + rounds + "." + i;
                if (lastServer(id) != null) {
                    handle(new RouterEvent.AttemptEnded(
                            id, 0, "a", AttemptOutcome.SERVED, 600 * MS, true, now, ServerRole.PRIMARY));
                }
                handle(new RouterEvent.ClientDisconnected(id));
            }
        }
        assertEquals(3, inFlight, "after rounds: " + rounds);
    }

    /** One write in seven is never answered, and times out 1 s later. */
    @Test
    void lostAnswersAmongServedOnesNeitherUseUpNorReduceTheLimit() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = "w" + i;
            request(id, WRITE, "s", 2000 * MS);
            now += 10 * MS;
            if (lastServer(id) != null && i % 7 != 0) {
                served++;
                handle(new RouterEvent.AttemptEnded(
                        id, 0, "a", AttemptOutcome.SERVED, 20 * MS, true, now, ServerRole.PRIMARY));
            }
            String lost = "w" + (i - 100);
            if (i % 7 == 100 % 7 && lastServer(lost) != null) {
                handle(new RouterEvent.AttemptEnded(
                        lost,
                        0,
                        "a",
                        AttemptOutcome.TIMED_OUT,
                        1000 * MS,
                        false,
                        LogPosition.UNKNOWN,
                        ServerRole.UNKNOWN));
            }
            handle(new RouterEvent.TimerFired(1));
        }
        assertTrue(served > 330, "served of the 342 writes that are answered if started: " + served);
    }
}
