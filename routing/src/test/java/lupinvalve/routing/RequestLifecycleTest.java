package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How requests end that no server answers. */
class RequestLifecycleTest extends RouterFixture {
    @Test
    void requestOfAnUnknownGroupOrWithNoTimeIsRejectedAtOnce() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        handle(new RouterEvent.RequestArrived("g", READ, false, null, 0, 99, 400 * MS));
        request("t", READ, null, MS);
        assertEquals(1, rejections("g"));
        assertEquals(1, rejections("t"));
    }

    @Test
    void nothingIsStartedAfterTheClientHasDisconnected() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("r", READ, null, 400 * MS);
        handle(new RouterEvent.ClientDisconnected("r"));
        assertTrue(actions.contains(new RouterAction.CancelAttempt("r", 0)));
        attemptEnded("r", 0, lastServer("r"), AttemptOutcome.CANCELLED, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        advance(500 * MS);
        assertEquals(1, attempts("r"));
        assertEquals(0, rejections("r") + failures("r"));
    }

    @Test
    void eventsOfUnknownRequestsAreIgnored() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        int before = actions.size();
        attemptEnded("nobody", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        handle(new RouterEvent.ClientDisconnected("nobody"));
        handle(new RouterEvent.TimerFired(99));
        assertEquals(before, actions.size());
    }
}
