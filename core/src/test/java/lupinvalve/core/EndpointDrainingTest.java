package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.RouterSettings;
import org.junit.jupiter.api.Test;

/** Until when requests may start at a draining db node, and drain commands from several sources. */
class EndpointDrainingTest {
    private static final long GRACE_MICROS = 200_000;
    private static final long NOW = 1_000_000_000;
    private final EndpointDraining draining =
            new EndpointDraining(new RouterSettings.Rules(0, GRACE_MICROS, 0, 0.2, 10_000_000, 1, 0));

    private static Endpoint endpoint(EndpointState state) {
        return new Endpoint("a", 1, 0, state, false, 0);
    }

    /** A complete list may repeat a drain that was notified long ago, so no grace is left for its drains. */
    @Test
    void theGraceOfADrainIsOverInACompleteListAndCountsFromTheSendingOfAnUpdate() {
        EndpointListEvent full = new EndpointListEvent(ListForm.FULL, List.of());
        assertEquals(NOW - GRACE_MICROS, draining.graceStartMicros(full, NOW));
        EndpointListEvent update = new EndpointListEvent(ListForm.UPDATE, List.of());
        assertEquals(NOW, draining.graceStartMicros(update, NOW));
        EndpointListEvent queued = new EndpointListEvent(ListForm.UPDATE, List.of(), NOW - 50_000);
        assertEquals(NOW - 50_000, draining.graceStartMicros(queued, NOW));
    }

    @Test
    void theGraceCountsFromTheFirstNotificationUntilTheDbNodeIsLiveAgainOrUnlisted() {
        assertFalse(draining.isTooLateToSend("a", NOW));
        draining.update(endpoint(EndpointState.DRAINING), NOW);
        draining.update(endpoint(EndpointState.DRAINING), NOW + 100_000);
        assertFalse(draining.isTooLateToSend("a", NOW + 149_999));
        assertTrue(draining.isTooLateToSend("a", NOW + 150_000));
        draining.update(endpoint(EndpointState.LIVE), NOW + 160_000);
        assertFalse(draining.isTooLateToSend("a", NOW + 160_000));
        draining.update(endpoint(EndpointState.DRAINING), NOW);
        draining.retainAll(Set.of("b"));
        assertFalse(draining.isTooLateToSend("a", NOW + 160_000));
    }

    @Test
    void requestsStartWithinTheGraceOfAKnownDrainOrOneSentSince() {
        assertEquals(Long.MAX_VALUE, draining.latestStartMicros("a", Long.MAX_VALUE));
        assertEquals(NOW + GRACE_MICROS, draining.latestStartMicros("a", NOW));
        draining.update(endpoint(EndpointState.DRAINING), NOW - 10);
        assertEquals(NOW - 10 + GRACE_MICROS, draining.latestStartMicros("a", NOW));
        assertEquals(NOW - 20 + GRACE_MICROS, draining.latestStartMicros("a", NOW - 20));
    }

    @Test
    void aDbNodeIsDrainedWhileAnySourceDrainsIt() {
        DrainCommands drainA = new DrainCommands(Set.of("a"), Map.of());
        assertEquals(Set.of("a"), draining.apply("operators", drainA, NOW));
        assertEquals(Set.of(), draining.apply("group", drainA, NOW));
        assertEquals(Set.of(), draining.apply("operators", DrainCommands.NONE, NOW));
        assertTrue(draining.isDrainedByOperator("a"));
        assertEquals(
                EndpointState.DEPARTED,
                draining.effective(endpoint(EndpointState.LIVE)).state());
        assertEquals(Set.of("a"), draining.apply("group", DrainCommands.NONE, NOW));
        assertFalse(draining.isDrainedByOperator("a"));
    }
}
