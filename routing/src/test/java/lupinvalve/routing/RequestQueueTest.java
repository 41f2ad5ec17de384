package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the order in which queued requests are served and given up. */
class RequestQueueTest extends RouterFixture {
    @Test
    void queuedReadsOfOneGroupAreGivenUpWhereTheyWouldTakeAllRequestsThatClientsCanHaveOpen() {
        RouterSettings base = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        2,
                        0,
                        true,
                        base.classes(),
                        new RouterSettings.DeploymentLimits(8, false, true, true, true, 1_000_000, 20),
                        base.rules(),
                        base.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DRAINING, false, 0));
        for (int i = 0; i < 8; i++) {
            request("r" + i, READ, null, 2000 * MS);
            request("w" + i, WRITE, null, 2000 * MS);
        }
        // Six requests may be queued. The reads are given up, the oldest first, as the newest is served first; the
        // writes stay queued.
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
        assertTrue(first.retryAfterMicros() < 100 * MS, "early enough for a retry within the objective of 200 ms");
    }

    /**
     * Guards against incident i10cd02, an overload: late answers are worth little, so the newest read must go first.
     */
    @Test
    void newestQueuedReadIsServedFirstAndAClientRetryAfterIt() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        int requested = 0;
        while (requested < 200 && (requested == 0 || lastServer("r" + (requested - 1)) != null)) {
            request("r" + requested++, READ, null, 400 * MS);
        }
        now += MS;
        request("newest", READ, null, 400 * MS);
        handle(new RouterEvent.RequestArrived("retry", READ, true, null, 0, 1, 400 * MS));
        assertNull(lastServer("newest"), "all servers are at their limit");
        assertNull(lastServer("retry"), "all servers are at their limit");
        String node = lastServer("r0");
        attemptEnded(
                "r0", 0, node, AttemptOutcome.SERVED, now, node.equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA);
        assertEquals(node, lastServer("newest"));
        assertNull(lastServer("retry"));
    }
}
