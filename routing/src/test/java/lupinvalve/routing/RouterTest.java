package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The router as a whole: its decisions are deterministic for a given seed. */
class RouterTest extends RouterFixture {
    @Test
    void sameEventsGiveTheSameActions() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        runManyRequests();
        List<RouterAction> first = List.copyOf(actions);
        actions.clear();
        now = 1_000_000_000L;
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        runManyRequests();
        assertEquals(first, actions);
    }

    private void runManyRequests() {
        allServersReport();
        for (int i = 0; i < 40; i++) {
            request("q" + i, i % 5, "s", 600 * MS);
            advance(10 * MS);
        }
        advance(1000 * MS);
    }
}
