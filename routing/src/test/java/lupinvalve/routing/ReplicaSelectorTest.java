package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which replica a read goes to. */
class ReplicaSelectorTest extends RouterFixture {
    /** Where a crossing has its price, a read goes on to the own zone while that is not much slower. */
    @Test
    void readsStayInTheirZoneTheLongerTheMoreACrossingCosts() {
        assertTrue(zoneCrossings(0.04) < 8, "dear: " + zoneCrossings(0.04));
        assertTrue(zoneCrossings(0) > 9, "free: " + zoneCrossings(0));
    }

    /** Of 24 reads at once, how many leave their zone. */
    private long zoneCrossings(double price) {
        actions.clear();
        RouterSettings usual = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(
                        0, 1, 0, true, usual.classes(), usual.limits(), usual.rules(), usual.replication(), price),
                now,
                actions::add);
        updateEndpoints(
                ListForm.RESTORED,
                liveEndpoint("a", true),
                liveEndpoint("b", false),
                liveEndpoint("c", false),
                new Endpoint("far", 1, 1, EndpointState.LIVE, false, 0),
                new Endpoint("further", 1, 1, EndpointState.LIVE, false, 0));
        for (String id : List.of("b", "c", "far", "further")) {
            healthCheckServed(id, now, ServerRole.REPLICA);
        }
        for (int i = 0; i < 24; i++) {
            request("r" + i, READ, null, 400 * MS);
        }
        return actions.stream()
                .filter(a -> a instanceof RouterAction.StartAttempt send
                        && send.node().startsWith("f"))
                .count();
    }
}
