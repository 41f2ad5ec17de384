package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how requests end that no server has answered. */
class RequestLifecycleTest extends RouterFixture {
    @Test
    void requestForAnUnknownGroupOrWithTooLittleTimeIsRejectedAtOnce() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        handle(new RouterEvent.RequestArrived("g", READ, false, null, 0, 99, 400 * MS));
        request("t", READ, null, MS);
        assertEquals(1, rejections("g"));
        assertEquals(1, rejections("t"));
    }

    @Test
    void attemptIsCancelledAndNoneStartsAfterTheClientHasDisconnected() {
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
        int actionsBefore = actions.size();
        attemptEnded("unknown", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        handle(new RouterEvent.ClientDisconnected("unknown"));
        handle(new RouterEvent.TimerFired(99));
        assertEquals(actionsBefore, actions.size());
    }
}
