package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.routing.Routing.Health;
import lupinvalve.routing.Routing.ListForm;
import org.junit.jupiter.api.Test;

/** How long a draining primary gets writes: from when it was told at the earliest, which the news may not say. */
class RosterTest {
    private static final long MS = 1000, GRACE = 250 * MS, LATE = Long.MAX_VALUE;
    private final List<Routing.Action> done = new ArrayList<>();
    private long now = 1_000_000 * MS;
    private int asked;
    private final Router router = new Router(
            7,
            new Routing.Settings(
                    0,
                    2,
                    0,
                    true,
                    List.of(new Routing.RequestClass(
                            "write",
                            Routing.Access.WRITE,
                            0,
                            Routing.Effect.UNSAFE,
                            Routing.KeyScope.GROUP,
                            0,
                            500 * MS,
                            2000 * MS,
                            1,
                            0.2)),
                    new Routing.Limits(8, false, true, true, true, 1_000_000, 10_000),
                    new Routing.Rules(20 * MS, GRACE, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                    new Routing.Replication(Routing.FreshnessCheck.SILENT, 50 * MS, Routing.TokenSource.REMEMBERED)),
            now,
            done::add);

    private static Routing.Member a(Health health) {
        return new Routing.Member("a", 1, 0, health, true, 0);
    }

    private void give(Routing.Event event) {
        router.handle(now, event, done::add);
    }

    private void told(ListForm form, Health health) {
        give(new Routing.Members(form, List.of(a(health))));
    }

    /** Where a write goes that comes now, or null. */
    private String sentTo() {
        String id = "w" + asked++;
        give(new Routing.Request(id, 0, false, "s", 0, 1, 400 * MS));
        String node = done.stream()
                .filter(action ->
                        action instanceof Routing.Send send && send.id().equals(id))
                .map(action -> ((Routing.Send) action).node())
                .findFirst()
                .orElse(null);
        if (node == null) {
            give(new Routing.ClientGone(id));
        } else {
            give(new Routing.Outcome(id, 0, node, Routing.Ending.SERVED, MS, true, now, Routing.Role.PRIMARY));
        }
        return node;
    }

    @Test
    void aChangeThatIsToldAsItComesLeavesTimeForTheSuccessorToShow() {
        told(ListForm.FULL, Health.LIVE);
        assertEquals("a", sentTo());
        told(ListForm.UPDATE, Health.DRAINING);
        now += 180 * MS;
        assertEquals("a", sentTo());
        now += 10 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void aWholeListLeavesNoTime() {
        told(ListForm.FULL, Health.LIVE);
        assertEquals("a", sentTo());
        told(ListForm.FULL, Health.DRAINING);
        assertEquals(null, sentTo());
    }

    @Test
    void aRestoredListLeavesNoTimeNorDoesOneThatNamesItForTheFirstTime() {
        told(ListForm.RESTORED, Health.DRAINING);
        assertEquals(null, sentTo());
        give(new Routing.Members(ListForm.FULL, List.of(new Routing.Member("b", 1, 0, Health.DRAINING, true, 0))));
        assertEquals(null, sentTo());
    }

    @Test
    void timeCountsFromWhenItMayHaveBeenTold() {
        told(ListForm.FULL, Health.LIVE);
        assertEquals("a", sentTo());
        give(new Routing.Members(ListForm.UPDATE, List.of(a(Health.DRAINING)), now - 100 * MS));
        now += 80 * MS;
        assertEquals("a", sentTo());
        now += 10 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void oneThatReturnsAndDrainsAgainHasItsTimeAnew() {
        told(ListForm.FULL, Health.LIVE);
        assertEquals("a", sentTo());
        give(new Routing.Members(ListForm.UPDATE, List.of(a(Health.DRAINING)), now - 200 * MS));
        assertEquals(null, sentTo());
        told(ListForm.UPDATE, Health.LIVE);
        assertEquals("a", sentTo());
        now += 1000 * MS;
        give(new Routing.Members(ListForm.UPDATE, List.of(a(Health.DRAINING)), LATE));
        assertEquals("a", sentTo());
        now += 190 * MS;
        assertEquals(null, sentTo());
    }

    @Test
    void aStrangerThatIsNamedAsLeavingGetsNothing() {
        told(ListForm.FULL, Health.LIVE);
        give(new Routing.Members(ListForm.UPDATE, List.of(new Routing.Member("b", 1, 0, Health.DRAINING, false, 0))));
        told(ListForm.UPDATE, Health.GONE);
        assertFalse("b".equals(sentTo()));
    }
}
