package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which replica long-running reads go to. */
class LongReadPlacementTest extends RouterFixture {
    @Test
    void longReadsAreNotSentToReplicasInSlowStart() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        updateEndpoints(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        request("l", LONG_READ, null, 4000 * MS);
        assertEquals("c", lastServer("l"));
    }

    /** A replica applies nothing of the log while it runs a long read, so further ones do not go to other replicas. */
    @Test
    void longReadsWaitForTheirReservedReplicaOnceItIsFull() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int started = 0;
        for (int i = 0; i < 40; i++) {
            request("l" + i, LONG_READ, null, 8000 * MS);
            if (lastServer("l" + i) != null) {
                assertEquals("b", lastServer("l" + i));
                started++;
            }
        }
        assertTrue(started > 0 && started < 40, "started of 40 long reads: " + started);
    }
}
