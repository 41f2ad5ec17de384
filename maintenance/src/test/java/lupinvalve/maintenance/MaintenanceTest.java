package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import lupinvalve.maintenance.Maintenance.Orders;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

class MaintenanceTest {
    private static final long WARM_UP = 10_000_000, NOW = 1_000_000_000;
    private final Maintenance maintenance = new Maintenance(WARM_UP);

    private static Endpoint member(String id, EndpointState health, long born) {
        return new Endpoint(id, 1, 0, health, true, born);
    }

    private void order(boolean out, String id, long now) {
        maintenance.take(maintenance.orders().with(out, id, now), now);
    }

    @Test
    void whatIsOutIsGoneWhateverIsListed() {
        order(true, "a", NOW);
        for (EndpointState listed : EndpointState.values()) {
            assertEquals(
                    EndpointState.DEPARTED,
                    maintenance.told(member("a", listed, NOW + 5)).state());
        }
        Endpoint other = member("b", EndpointState.LIVE, 7);
        assertSame(other, maintenance.told(other));
    }

    @Test
    void oneCallBackUndoesAnyNumberOfCallsOutAndStartsItCold() {
        order(true, "a", NOW);
        order(true, "a", NOW + 1);
        order(false, "a", NOW + 2);
        Endpoint told = maintenance.told(member("a", EndpointState.LIVE, NOW + 1));
        assertEquals(EndpointState.LIVE, told.state());
        assertEquals(NOW + 2, told.startedAtMicros());
        // One that starts once more is as cold as discovery says.
        assertEquals(
                NOW + 3,
                maintenance.told(member("a", EndpointState.LIVE, NOW + 3)).startedAtMicros());
        // A second call back changes nothing, least of all the time.
        order(false, "a", NOW + 9);
        assertEquals(
                NOW + 2, maintenance.told(member("a", EndpointState.LIVE, 0)).startedAtMicros());
    }

    @Test
    void callsBackAreForgottenOnceTheirDbNodesAreWarm() {
        order(true, "a", NOW);
        order(false, "a", NOW);
        order(true, "b", NOW + WARM_UP + 1);
        assertEquals(Map.of(), maintenance.orders().back());
        assertEquals(0, maintenance.told(member("a", EndpointState.LIVE, 0)).startedAtMicros());
    }

    @Test
    void idsThatNobodyHasAreTurnedDownUnlessTheyAreOut() {
        assertNotNull(maintenance.objection(true, "a", false, NOW));
        assertNotNull(maintenance.objection(false, "a", false, NOW));
        assertNull(maintenance.objection(true, "a", true, NOW));
        assertNull(maintenance.objection(false, "a", true, NOW));
        order(true, "a", NOW);
        assertNull(maintenance.objection(false, "a", false, NOW), "it left the list while it was out");
        for (int i = 1; i < Maintenance.MOST; i++) {
            order(true, "n" + i, NOW);
        }
        assertNotNull(maintenance.objection(true, "one too many", true, NOW));
        assertNull(maintenance.objection(true, "n7", true, NOW), "it is out already");
    }

    @Test
    void aDbNodeThatLeftTheListAMomentAgoIsNoStranger() {
        maintenance.left("a", NOW);
        assertNull(maintenance.objection(true, "a", false, NOW + Maintenance.REMEMBERED));
        assertNotNull(maintenance.objection(true, "a", false, NOW + Maintenance.REMEMBERED + 1));
        for (int i = 0; i < Maintenance.MOST; i++) {
            maintenance.left("n" + i, NOW + 1);
        }
        assertNotNull(maintenance.objection(true, "a", false, NOW + 2), "the longest gone makes room");
        assertNull(maintenance.objection(true, "n0", false, NOW + 2));
    }

    @Test
    void onlyWhatHasChangedIsToldAnew() {
        assertEquals(Set.of("a", "b"), maintenance.take(new Orders(Set.of("a", "b"), Map.of()), NOW));
        assertEquals(Set.of(), maintenance.take(new Orders(Set.of("a", "b"), Map.of()), NOW));
        assertEquals(Set.of("b", "c"), maintenance.take(new Orders(Set.of("a", "c"), Map.of("b", NOW)), NOW));
        assertTrue(maintenance.isOut("c"));
        assertFalse(maintenance.isOut("b"));
    }

    @Test
    void joinedOrdersKeepOutWhatIsOutByEither() {
        Orders joined = new Orders(Set.of("a"), Map.of("b", 5L, "c", 6L)).and(new Orders(Set.of("b"), Map.of("c", 9L)));
        assertEquals(new Orders(Set.of("a", "b"), Map.of("c", 9L)), joined);
    }

    @Test
    void drainSaysNoAtOnceAndEndsConnectionsOnceNewOnesHaveStopped() {
        Drain drain = new Drain();
        assertTrue(drain.welcomes() && !drain.ends(NOW));
        drain.quiesce(NOW);
        drain.quiesce(NOW + 400_000);
        assertFalse(drain.welcomes() || drain.ends(NOW + 300_000));
        assertTrue(drain.ends(NOW + Drain.ENDS_AFTER), "counted from the first call");
        drain.resume();
        assertTrue(drain.welcomes() && !drain.ends(NOW + 9_000_000));
        drain.leave();
        drain.resume();
        assertTrue(drain.ends(NOW), "a program that ends does not go back to work");
    }
}
