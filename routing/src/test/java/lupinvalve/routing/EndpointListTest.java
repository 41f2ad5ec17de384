package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

/** Which attempts the endpoint list allows, and when departed servers are removed from the table. */
class EndpointListTest extends RouterFixture {
    @Test
    void drainingReplicaGetsNothingNewAndDrainingPrimaryOnlyWritesWithinTheGrace() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DRAINING, true, 0),
                new Endpoint("b", 1, 0, EndpointState.DRAINING, false, 0));
        for (int i = 0; i < 8; i++) {
            request("r" + i, READ, null, 400 * MS);
            assertEquals("c", lastServer("r" + i));
            attemptEnded("r" + i, 0, "c", AttemptOutcome.SERVED, now, ServerRole.REPLICA);
        }
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", lastServer("w"));
        advance(1000 * MS);
        request("x", WRITE, "s", 400 * MS);
        advance(300 * MS);
        assertNotEquals("a", lastServer("x"));
    }

    @Test
    void serverMissingFromACompleteListGetsNothing() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        updateEndpoints(ListForm.FULL, liveEndpoint("a", true), liveEndpoint("b", false));
        for (int i = 0; i < 6; i++) {
            request("r" + i, READ, null, 400 * MS);
            assertEquals("b", lastServer("r" + i));
        }
    }

    @Test
    void departedServersAreRemovedOnceTheyHaveNoAttemptInFlight() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 60_000 * MS);
        for (int i = 0; i < 50; i++) {
            updateEndpoints(ListForm.UPDATE, liveEndpoint("n" + i, false));
            updateEndpoints(
                    ListForm.UPDATE,
                    new Endpoint("n" + i, 1, 0, EndpointState.DEPARTED, false, 0),
                    new Endpoint("never" + i, 1, 0, EndpointState.DEPARTED, false, 0));
        }
        updateEndpoints(ListForm.UPDATE, new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0));
        advance(6000 * MS);
        // Left are b, c, and a, which still has the write in flight.
        assertEquals(3, router.serverCount());
        attemptEnded("w", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        advance(200 * MS);
        assertEquals(2, router.serverCount());
        // A group without members still answers its requests.
        updateEndpoints(ListForm.FULL);
        advance(6000 * MS);
        assertEquals(0, router.serverCount());
        request("r", READ, null, 2000 * MS);
        request("v", WRITE, "s", 2000 * MS);
        advance(2000 * MS);
        assertEquals(1, rejections("r"));
        assertEquals(1, rejections("v"));
    }
}
