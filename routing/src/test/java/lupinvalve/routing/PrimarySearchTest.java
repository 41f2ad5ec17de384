package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How the primary is found while no usable one is known. */
class PrimarySearchTest extends RouterFixture {
    @Test
    void writesTryMembersInSortedOrderUntilThePrimaryAnswers() {
        router = new Router(
                7,
                settings(
                        RouterSettings.FreshnessCheck.AWAIT,
                        RouterSettings.TokenSource.CARRIED,
                        RequestClass.Effect.UNSAFE),
                now,
                actions::add);
        updateEndpoints(
                ListForm.RESTORED, liveEndpoint("a", false), liveEndpoint("b", false), liveEndpoint("c", false));
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", lastServer("w"));
        attemptEnded("w", 0, "a", AttemptOutcome.MISDIRECTED, now - 10 * MS, ServerRole.REPLICA);
        advance(100 * MS);
        assertEquals("b", lastServer("w"));
        attemptEnded("w", 1, "b", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        request("x", WRITE, "s", 2000 * MS);
        assertEquals("b", lastServer("x"));
    }

    @Test
    void writesAreQueuedUntilTheNewPrimaryIsKnown() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.NOT_CONNECTED, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        assertEquals(1, attempts("w"));
        assertEquals(0, rejections("w"));
        now += 300 * MS;
        healthCheckServed("c", now, ServerRole.PRIMARY);
        assertEquals("c", lastServer("w"));
    }
}
