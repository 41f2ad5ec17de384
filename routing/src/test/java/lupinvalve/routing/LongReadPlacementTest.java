package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Where long-running reads go. */
class LongReadPlacementTest extends RouterFixture {
    @Test
    void longReadsStayOffReplicasInSlowStart() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        updateEndpoints(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        request("l", LONG_READ, null, 4000 * MS);
        assertEquals("c", lastServer("l"));
    }

    /** While a replica runs a long read it applies nothing: a second one does not go to another replica. */
    @Test
    void longReadsWaitForTheReplicaReservedForThem() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            request("l" + i, LONG_READ, null, 8000 * MS);
            if (lastServer("l" + i) != null) {
                assertEquals("b", lastServer("l" + i));
                sent++;
            }
        }
        assertTrue(sent > 0 && sent < 40, "sent " + sent);
    }
}
