package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When the watch on the endpoint list is requested. */
class EndpointWatchTest extends RouterFixture {
    @Test
    void watchIsRequestedAtTheStartAndAgainAfterAFailure() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        assertTrue(actions.contains(new RouterAction.WatchEndpoints(true)));
        actions.clear();
        handle(new RouterEvent.EndpointUpdate(ListForm.UNAVAILABLE, List.of()));
        advance(1000 * MS);
        assertTrue(actions.contains(new RouterAction.WatchEndpoints(true)));
    }
}
