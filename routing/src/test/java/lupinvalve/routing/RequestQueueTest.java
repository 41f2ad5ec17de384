package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The order in which queued requests are served and given up. */
class RequestQueueTest extends RouterFixture {
    @Test
    void readsQueuedForOneGroupDoNotTakeAllRequestsThatClientsCanHaveOpen() {
        RouterSettings usual = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        2,
                        0,
                        true,
                        usual.classes(),
                        new RouterSettings.SiteLimits(8, false, true, true, true, 1_000_000, 20),
                        usual.rules(),
                        usual.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DRAINING, false, 0));
        for (int i = 0; i < 8; i++) {
            request("r" + i, READ, null, 2000 * MS);
            request("w" + i, WRITE, null, 2000 * MS);
        }
        // Six may be held: the reads go, the oldest first, since the newest is served first; the writes stay.
        assertEquals(
                8,
                actions.stream()
                        .filter(a -> a instanceof RouterAction.Reject reject
                                && reject.id().startsWith("r"))
                        .count());
        assertEquals(
                0,
                actions.stream()
                        .filter(a -> a instanceof RouterAction.Reject reject
                                && reject.id().startsWith("w"))
                        .count());
        RouterAction.Reject first = (RouterAction.Reject) actions.stream()
                .filter(RouterAction.Reject.class::isInstance)
                .findFirst()
                .orElseThrow();
        assertEquals("r0", first.id());
        assertTrue(first.retryAfterMicros() < 100 * MS, "in time for an aim of 200 ms");
    }

    /** Incident i10cd02: under overload, where late answers are worth little. */
    @Test
    void newestQueuedReadIsServedFirst() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int sent = 0;
        while (sent < 200 && (sent == 0 || lastServer("f" + (sent - 1)) != null)) {
            request("f" + sent++, READ, null, 400 * MS);
        }
        now += MS;
        request("newest", READ, null, 400 * MS);
        handle(new RouterEvent.RequestArrived("again", READ, true, null, 0, 1, 400 * MS));
        assertNull(lastServer("newest"), "all members are full");
        assertNull(lastServer("again"), "all members are full");
        String node = lastServer("f0");
        attemptEnded(
                "f0", 0, node, AttemptOutcome.SERVED, now, node.equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA);
        assertEquals(node, lastServer("newest"));
        assertNull(lastServer("again"));
    }
}
