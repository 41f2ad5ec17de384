package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which replica a read goes to. */
class ReplicaSelectorTest extends RouterFixture {
    /** The higher the price of a zone crossing, the longer reads stay in their own zone as its replicas get loaded. */
    @Test
    void fewerReadsLeaveTheirZoneIfACrossingHasAPrice() {
        assertTrue(zoneCrossings(0.04) < 8, "crossings at price 0.04: " + zoneCrossings(0.04));
        assertTrue(zoneCrossings(0) > 9, "crossings at price 0: " + zoneCrossings(0));
    }

    /** Sends 24 reads at once and returns the number of those that leave their zone. */
    private long zoneCrossings(double price) {
        actions.clear();
        RouterSettings withoutPrice = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        1,
                        0,
                        true,
                        withoutPrice.classes(),
                        withoutPrice.limits(),
                        withoutPrice.rules(),
                        withoutPrice.replication(),
                        price),
                now,
                actions::add);
        updateEndpoints(
                ListForm.RESTORED,
                liveEndpoint("a", true),
                liveEndpoint("b", false),
                liveEndpoint("c", false),
                new Endpoint("otherZone1", 1, 1, EndpointState.LIVE, false, 0),
                new Endpoint("otherZone2", 1, 1, EndpointState.LIVE, false, 0));
        for (String id : List.of("b", "c", "otherZone1", "otherZone2")) {
            healthCheckServed(id, now, ServerRole.REPLICA);
        }
        for (int i = 0; i < 24; i++) {
            request("r" + i, READ, null, 400 * MS);
        }
        return actions.stream()
                .filter(action -> action instanceof RouterAction.StartAttempt start
                        && start.node().startsWith("otherZone"))
                .count();
    }
}
