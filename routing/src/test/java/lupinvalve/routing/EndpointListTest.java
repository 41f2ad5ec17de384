package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a draining primary gets writes: from when it was told at the earliest, which the news may not say. */
class EndpointListTest {
    private static final long MS = 1000, GRACE = 250 * MS, LATE = Long.MAX_VALUE;
    private final List<RouterAction> done = new ArrayList<>();
    private long now = 1_000_000 * MS;
    private int asked;
    private final Router router = new Router(
            7,
            new RouterSettings(
                    0,
                    2,
                    0,
                    true,
                    List.of(new RequestClass(
                            "write",
                            RequestClass.Access.WRITE,
                            0,
                            RequestClass.Effect.UNSAFE,
                            RequestClass.KeyScope.GROUP,
                            0,
                            500 * MS,
                            2000 * MS,
                            1,
                            0.2)),
                    new RouterSettings.SiteLimits(8, false, true, true, true, 1_000_000, 10_000),
                    new RouterSettings.Rules(20 * MS, GRACE, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                    new RouterSettings.Replication(
                            RouterSettings.FreshnessCheck.SILENT, 50 * MS, RouterSettings.TokenSource.REMEMBERED)),
            now,
            done::add);

    private static Endpoint a(EndpointState health) {
        return new Endpoint("a", 1, 0, health, true, 0);
    }

    private void give(RouterEvent event) {
        router.handle(now, event, done::add);
    }

    private void told(ListForm form, EndpointState health) {
        give(new RouterEvent.EndpointUpdate(form, List.of(a(health))));
    }

    /** Where a write goes that comes now, or null. */
    private String sentTo() {
        String id = "w" + asked++;
        give(new RouterEvent.RequestArrived(id, 0, false, "s", 0, 1, 400 * MS));
        String node = done.stream()
                .filter(action -> action instanceof RouterAction.StartAttempt send
                        && send.id().equals(id))
                .map(action -> ((RouterAction.StartAttempt) action).node())
                .findFirst()
                .orElse(null);
        if (node == null) {
            give(new RouterEvent.ClientDisconnected(id));
        } else {
            give(new RouterEvent.AttemptEnded(id, 0, node, AttemptOutcome.SERVED, MS, true, now, ServerRole.PRIMARY));
        }
        return node;
    }

    @Test
    void aChangeThatIsToldAsItComesLeavesTimeForTheSuccessorToShow() {
        told(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", sentTo());
        told(ListForm.UPDATE, EndpointState.DRAINING);
        now += 180 * MS;
        assertEquals("a", sentTo());
        now += 10 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void aWholeListLeavesNoTime() {
        told(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", sentTo());
        told(ListForm.FULL, EndpointState.DRAINING);
        assertEquals(null, sentTo());
    }

    @Test
    void aRestoredListLeavesNoTimeNorDoesOneThatNamesItForTheFirstTime() {
        told(ListForm.RESTORED, EndpointState.DRAINING);
        assertEquals(null, sentTo());
        give(new RouterEvent.EndpointUpdate(
                ListForm.FULL, List.of(new Endpoint("b", 1, 0, EndpointState.DRAINING, true, 0))));
        assertEquals(null, sentTo());
    }

    @Test
    void timeCountsFromWhenItMayHaveBeenTold() {
        told(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", sentTo());
        give(new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(a(EndpointState.DRAINING)), now - 100 * MS));
        now += 80 * MS;
        assertEquals("a", sentTo());
        now += 10 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void oneThatReturnsAndDrainsAgainHasItsTimeAnew() {
        told(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", sentTo());
        give(new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(a(EndpointState.DRAINING)), now - 200 * MS));
        assertEquals(null, sentTo());
        told(ListForm.UPDATE, EndpointState.LIVE);
        assertEquals("a", sentTo());
        now += 1000 * MS;
        give(new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(a(EndpointState.DRAINING)), LATE));
        assertEquals("a", sentTo());
        now += 190 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void aStrangerThatIsNamedAsLeavingGetsNothing() {
        told(ListForm.FULL, EndpointState.LIVE);
        give(new RouterEvent.EndpointUpdate(
                ListForm.UPDATE, List.of(new Endpoint("b", 1, 0, EndpointState.DRAINING, false, 0))));
        told(ListForm.UPDATE, EndpointState.DEPARTED);
        assertFalse("b".equals(sentTo()));
    }
}
