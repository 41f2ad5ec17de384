package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long requests are queued. */
class QueueDeadlineTest extends RouterFixture {
    @Test
    void everyQueuedRequestGetsOneFinalAnswerBeforeItsDeadline() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        updateEndpoints(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DEPARTED, true, 0));
        for (int cls = READ; cls <= LONG_READ; cls++) {
            request("q" + cls, cls, "s", 400 * MS);
        }
        advance(400 * MS);
        for (int cls = READ; cls <= LONG_READ; cls++) {
            assertEquals(1, rejections("q" + cls), "class " + cls);
            assertEquals(0, attempts("q" + cls), "class " + cls);
        }
    }

    @Test
    void requestNeverSentIsRejectedBeforeHalfItsTimeAndOneThatReachedAServerStaysQueued() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w1", WRITE, "s", 900 * MS);
        assertEquals("c", lastServer("w1"));
        // The one member left says that it is no primary, and then leaves too.
        attemptEnded("w1", 0, "c", AttemptOutcome.MISSED, LogPosition.UNKNOWN, ServerRole.REPLICA);
        updateEndpoints(ListForm.UPDATE, new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w2", WRITE, "s", 400 * MS);
        advance(180 * MS);
        assertEquals(0, rejections("w2"));
        advance(20 * MS);
        assertEquals(1, rejections("w2"));
        assertEquals(0, rejections("w1"));
        // Half of its aim is as long as a write is held at all.
        advance(60 * MS);
        assertEquals(1, rejections("w1"));
    }

    /** Early enough for its client to retry in time. */
    @Test
    void queuedReadIsRejectedOnceItsAnswerCouldOnlyBeLate() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        for (int i = 0; i < 12; i++) {
            request("s" + i, READ, null, 800 * MS);
            now += 10 * MS;
            handle(new RouterEvent.AttemptEnded(
                    "s" + i, 0, lastServer("s" + i), AttemptOutcome.SERVED, 120 * MS, true, now, ServerRole.REPLICA));
        }
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0));
        request("held", READ, null, 800 * MS);
        // Answers here take over half of the aim of 200 ms.
        advance(110 * MS);
        assertEquals(1, rejections("held"));
    }

    /** The newest go first, so what has waited for long is hardly served any more. */
    @Test
    void queuedRequestIsRejectedWhileItsClientCanRetryInTime() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0));
        request("read", READ, null, 800 * MS);
        request("write", WRITE, "s", 2000 * MS);
        advance(40 * MS);
        assertEquals(0, rejections("read"), "within a fifth of its aim a replica may still come");
        advance(15 * MS);
        assertEquals(1, rejections("read"));
        assertEquals(0, rejections("write"));
        advance(210 * MS);
        assertEquals(1, rejections("write"));
    }
}
