package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a draining primary gets writes: a time that counts from the earliest possible notification of its drain. */
class ServerEligibilityTest {
    private static final long MS = 1000;
    private static final long GRACE_MICROS = 250 * MS;
    private static final long NOTIFIED_NOW = Long.MAX_VALUE;
    private final List<RouterAction> actions = new ArrayList<>();
    private long now = 1_000_000 * MS;
    private int writes;
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
                    new RouterSettings.DeploymentLimits(8, false, true, true, true, 1_000_000, 10_000),
                    new RouterSettings.Rules(20 * MS, GRACE_MICROS, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                    new RouterSettings.Replication(
                            RouterSettings.FreshnessCheck.SILENT, 50 * MS, RouterSettings.TokenSource.REMEMBERED)),
            now,
            actions::add);

    private static Endpoint endpoint(EndpointState state) {
        return new Endpoint("a", 1, 0, state, true, 0);
    }

    private void handle(RouterEvent event) {
        router.handle(now, event, actions::add);
    }

    private void updateEndpoints(ListForm form, EndpointState state) {
        handle(new RouterEvent.EndpointUpdate(form, List.of(endpoint(state))));
    }

    /** The server that a write gets which arrives now, or null. */
    private String serverOfNewWrite() {
        String id = "w" + writes++;
        handle(new RouterEvent.RequestArrived(id, 0, false, "s", 0, 1, 400 * MS));
        String node = actions.stream()
                .filter(action -> action instanceof RouterAction.StartAttempt start
                        && start.id().equals(id))
                .map(action -> ((RouterAction.StartAttempt) action).node())
                .findFirst()
                .orElse(null);
        if (node == null) {
            handle(new RouterEvent.ClientDisconnected(id));
        } else {
            handle(new RouterEvent.AttemptEnded(id, 0, node, AttemptOutcome.SERVED, MS, true, now, ServerRole.PRIMARY));
        }
        return node;
    }

    @Test
    void drainNotifiedNowLeavesTimeUntilTheNewPrimaryIsKnown() {
        updateEndpoints(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", serverOfNewWrite());
        updateEndpoints(ListForm.UPDATE, EndpointState.DRAINING);
        now += 180 * MS;
        assertEquals("a", serverOfNewWrite());
        now += 10 * MS;
        assertEquals(null, serverOfNewWrite());
    }

    @Test
    void drainInACompleteListLeavesNoTimeForWrites() {
        updateEndpoints(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", serverOfNewWrite());
        updateEndpoints(ListForm.FULL, EndpointState.DRAINING);
        assertEquals(null, serverOfNewWrite());
    }

    @Test
    void drainInARestoredListOrOfANewServerLeavesNoTimeForWrites() {
        updateEndpoints(ListForm.RESTORED, EndpointState.DRAINING);
        assertEquals(null, serverOfNewWrite());
        handle(new RouterEvent.EndpointUpdate(
                ListForm.FULL, List.of(new Endpoint("b", 1, 0, EndpointState.DRAINING, true, 0))));
        assertEquals(null, serverOfNewWrite());
    }

    @Test
    void timeForWritesCountsFromTheEarliestNotification() {
        updateEndpoints(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", serverOfNewWrite());
        handle(new RouterEvent.EndpointUpdate(
                ListForm.UPDATE, List.of(endpoint(EndpointState.DRAINING)), now - 100 * MS));
        now += 80 * MS;
        assertEquals("a", serverOfNewWrite());
        now += 10 * MS;
        assertEquals(null, serverOfNewWrite());
    }

    @Test
    void serverThatDrainsAgainHasTheFullTimeForWrites() {
        updateEndpoints(ListForm.FULL, EndpointState.LIVE);
        assertEquals("a", serverOfNewWrite());
        handle(new RouterEvent.EndpointUpdate(
                ListForm.UPDATE, List.of(endpoint(EndpointState.DRAINING)), now - 200 * MS));
        assertEquals(null, serverOfNewWrite());
        updateEndpoints(ListForm.UPDATE, EndpointState.LIVE);
        assertEquals("a", serverOfNewWrite());
        now += 1000 * MS;
        handle(new RouterEvent.EndpointUpdate(
                ListForm.UPDATE, List.of(endpoint(EndpointState.DRAINING)), NOTIFIED_NOW));
        assertEquals("a", serverOfNewWrite());
        now += 190 * MS;
        assertEquals(null, serverOfNewWrite());
    }

    @Test
    void newServerListedAsDrainingGetsNothing() {
        updateEndpoints(ListForm.FULL, EndpointState.LIVE);
        handle(new RouterEvent.EndpointUpdate(
                ListForm.UPDATE, List.of(new Endpoint("b", 1, 0, EndpointState.DRAINING, false, 0))));
        updateEndpoints(ListForm.UPDATE, EndpointState.DEPARTED);
        assertFalse("b".equals(serverOfNewWrite()));
    }
}
