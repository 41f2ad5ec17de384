package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What bounds the attempts in flight to a server. */
class InFlightLimitTest extends RouterFixture {
    /** Incident idbd205. */
    @Test
    void serverThatRejectsGetsNothingForAMoment() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.REJECTED, now, ServerRole.PRIMARY);
        assertEquals(1, attempts("w"));
        advance(100 * MS);
        assertEquals(2, attempts("w"));
    }

    @Test
    void limitFollowsLatencyWithinAFewTurns() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int turns = 0;
        int out = Integer.MAX_VALUE;
        // Each turn fills the primary with writes, then all of them are answered after their aim.
        for (; turns < 4 && out > 3; turns++) {
            out = 0;
            for (int i = 0; i < 30; i++) {
                request("t" + turns + "." + i, WRITE, "s", 2000 * MS);
                out += lastServer("t" + turns + "." + i) != null ? 1 : 0;
            }
            now += 600 * MS;
            for (int i = 0; i < 30; i++) {
                String id = "t" + turns + "." + i;
                if (lastServer(id) != null) {
                    handle(new RouterEvent.AttemptEnded(
                            id, 0, "a", AttemptOutcome.SERVED, 600 * MS, true, now, ServerRole.PRIMARY));
                }
                handle(new RouterEvent.ClientDisconnected(id));
            }
        }
        assertEquals(3, out, "after turns: " + turns);
    }

    @Test
    void answersLostBesideOthersTakeNoCapacityAndLeaveTheLimit() {
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
        assertTrue(served > 330, "of 342 that could be: " + served);
    }
}
