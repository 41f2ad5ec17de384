package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how long requests stay queued. */
class QueueDeadlineTest extends RouterFixture {
    @Test
    void everyQueuedRequestGetsOneFinalAnswerBeforeItsDeadline() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        updateEndpoints(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DEPARTED, true, 0));
        for (int classIndex = READ; classIndex <= LONG_READ; classIndex++) {
            request("q" + classIndex, classIndex, "s", 400 * MS);
        }
        advance(400 * MS);
        for (int classIndex = READ; classIndex <= LONG_READ; classIndex++) {
            assertEquals(1, rejections("q" + classIndex), "class " + classIndex);
            assertEquals(0, attempts("q" + classIndex), "class " + classIndex);
        }
    }

    @Test
    void requestThatReachedNoServerIsRejectedBeforeHalfItsTimeAndOneThatDidStaysQueued() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w1", WRITE, "s", 900 * MS);
        assertEquals("c", lastServer("w1"));
        // The only member left answers that it isn't the primary, and then departs too.
        attemptEnded("w1", 0, "c", AttemptOutcome.MISDIRECTED, LogPosition.UNKNOWN, ServerRole.REPLICA);
        updateEndpoints(ListForm.UPDATE, new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w2", WRITE, "s", 400 * MS);
        advance(180 * MS);
        assertEquals(0, rejections("w2"));
        advance(20 * MS);
        assertEquals(1, rejections("w2"));
        assertEquals(0, rejections("w1"));
        // A write is queued for half of its latency objective at most.
        advance(60 * MS);
        assertEquals(1, rejections("w1"));
    }

    /** The rejection comes early enough for the client to retry in time. */
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
        request("queued", READ, null, 800 * MS);
        // Answers have taken over half of the latency objective of 200 ms.
        advance(110 * MS);
        assertEquals(1, rejections("queued"));
    }

    /** The newest requests are served first, so one that has waited for long has little chance to be served. */
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
        assertEquals(0, rejections("read"), "a replica may become available within a fifth of the objective");
        advance(15 * MS);
        assertEquals(1, rejections("read"));
        assertEquals(0, rejections("write"));
        advance(210 * MS);
        assertEquals(1, rejections("write"));
    }
}
