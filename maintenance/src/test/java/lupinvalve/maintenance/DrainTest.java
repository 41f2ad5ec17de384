package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Drains of db nodes and of this pooler's clients. */
class DrainTest {
    private static final long WARM_UP_MICROS = 10_000_000;
    private static final long NOW = 1_000_000_000;
    private final DrainedEndpoints endpoints = new DrainedEndpoints(WARM_UP_MICROS);

    private static Endpoint endpoint(String id, EndpointState state, long startedAtMicros) {
        return new Endpoint(id, 1, 0, state, true, startedAtMicros);
    }

    private void apply(boolean drain, String id, long now) {
        endpoints.apply(endpoints.commands().with(drain, id, now), now);
    }

    @Test
    void aDrainedDbNodeCountsAsDepartedWhateverIsListed() {
        apply(true, "a", NOW);
        for (EndpointState listed : EndpointState.values()) {
            assertEquals(
                    EndpointState.DEPARTED,
                    endpoints.effective(endpoint("a", listed, NOW + 5)).state());
        }
        Endpoint other = endpoint("b", EndpointState.LIVE, 7);
        assertSame(other, endpoints.effective(other));
    }

    @Test
    void oneRestoreUndoesAnyNumberOfDrainsAndStartsTheWarmUp() {
        apply(true, "a", NOW);
        apply(true, "a", NOW + 1);
        apply(false, "a", NOW + 2);
        Endpoint effective = endpoints.effective(endpoint("a", EndpointState.LIVE, NOW + 1));
        assertEquals(EndpointState.LIVE, effective.state());
        assertEquals(NOW + 2, effective.startedAtMicros());
        // After a later restart the start time that discovery lists counts.
        assertEquals(
                NOW + 3,
                endpoints.effective(endpoint("a", EndpointState.LIVE, NOW + 3)).startedAtMicros());
        // A second restore changes nothing and keeps the time of the first.
        apply(false, "a", NOW + 9);
        assertEquals(
                NOW + 2,
                endpoints.effective(endpoint("a", EndpointState.LIVE, 0)).startedAtMicros());
    }

    @Test
    void restoresAreRemovedOnceTheDbNodesHaveWarmedUp() {
        apply(true, "a", NOW);
        apply(false, "a", NOW);
        apply(true, "b", NOW + WARM_UP_MICROS + 1);
        assertEquals(Map.of(), endpoints.commands().restoredAtMicros());
        assertEquals(
                0, endpoints.effective(endpoint("a", EndpointState.LIVE, 0)).startedAtMicros());
    }

    @Test
    void unknownIdsAreRejectedUnlessTheyAreDrained() {
        assertTrue(endpoints.rejectionReason(true, "a", false, NOW).isPresent());
        assertTrue(endpoints.rejectionReason(false, "a", false, NOW).isPresent());
        assertTrue(endpoints.rejectionReason(true, "a", true, NOW).isEmpty());
        assertTrue(endpoints.rejectionReason(false, "a", true, NOW).isEmpty());
        apply(true, "a", NOW);
        assertTrue(
                endpoints.rejectionReason(false, "a", false, NOW).isEmpty(), "it left the list while it was drained");
        for (int i = 1; i < DrainedEndpoints.MAX_IDS_COUNT; i++) {
            apply(true, "n" + i, NOW);
        }
        assertTrue(endpoints.rejectionReason(true, "one too many", true, NOW).isPresent());
        assertTrue(endpoints.rejectionReason(true, "n7", true, NOW).isEmpty(), "it is drained already");
    }

    @Test
    void aDbNodeThatLeftTheListRecentlyIsKnown() {
        endpoints.endpointDeparted("a", NOW);
        assertTrue(endpoints
                .rejectionReason(true, "a", false, NOW + DrainedEndpoints.DEPARTED_ID_RETENTION_MICROS)
                .isEmpty());
        assertTrue(endpoints
                .rejectionReason(true, "a", false, NOW + DrainedEndpoints.DEPARTED_ID_RETENTION_MICROS + 1)
                .isPresent());
        for (int i = 0; i < DrainedEndpoints.MAX_IDS_COUNT; i++) {
            endpoints.endpointDeparted("n" + i, NOW + 1);
        }
        assertTrue(
                endpoints.rejectionReason(true, "a", false, NOW + 2).isPresent(), "the id that left first is dropped");
        assertTrue(endpoints.rejectionReason(true, "n0", false, NOW + 2).isEmpty());
    }

    @Test
    void onlyChangedDbNodesAreReturned() {
        assertEquals(Set.of("a", "b"), endpoints.apply(new DrainCommands(Set.of("a", "b"), Map.of()), NOW));
        assertEquals(Set.of(), endpoints.apply(new DrainCommands(Set.of("a", "b"), Map.of()), NOW));
        assertEquals(Set.of("b", "c"), endpoints.apply(new DrainCommands(Set.of("a", "c"), Map.of("b", NOW)), NOW));
        assertTrue(endpoints.isDrained("c"));
        assertFalse(endpoints.isDrained("b"));
    }

    @Test
    void theUnionDrainsDbNodesThatEitherSetDrains() {
        DrainCommands union = new DrainCommands(Set.of("a"), Map.of("b", 5L, "c", 6L))
                .union(new DrainCommands(Set.of("b"), Map.of("c", 9L)));
        assertEquals(new DrainCommands(Set.of("a", "b"), Map.of("c", 9L)), union);
    }

    @Test
    void aClientDrainRejectsChecksAtOnceAndClosesConnectionsAfterADelay() {
        ClientDrain drain = new ClientDrain();
        assertTrue(drain.acceptsClients() && !drain.closesConnections(NOW));
        drain.quiesce(NOW);
        drain.quiesce(NOW + 400_000);
        assertFalse(drain.acceptsClients() || drain.closesConnections(NOW + 300_000));
        assertTrue(drain.closesConnections(NOW + ClientDrain.CLOSE_DELAY_MICROS), "counted from the first call");
        drain.resume();
        assertTrue(drain.acceptsClients() && !drain.closesConnections(NOW + 9_000_000));
        drain.shutDown();
        drain.resume();
        assertTrue(drain.closesConnections(NOW), "a shutdown cannot be undone");
    }
}
