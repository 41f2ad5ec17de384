package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which replicas count as fresh enough for a read. */
class ReplicationLagTest extends RouterFixture {
    @Test
    void misdirectedReadDoesNotUseUpItsAttemptsBeforeTheReplicasHaveCaughtUp() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        handle(new RouterEvent.RequestArrived("r", SESSION_READ, false, "s", MS, 1, 800 * MS));
        for (int i = 0; i < 2; i++) {
            attemptEnded("r", i, lastServer("r"), AttemptOutcome.MISDIRECTED, now - 28 * MS, ServerRole.REPLICA);
        }
        assertEquals(2, attempts("r"));
        // Over sockets, events arrive within fractions of a millisecond; if each of them started another attempt, all
        // attempts would be used up at once.
        now += 2 * MS;
        updateEndpoints(ListForm.UPDATE);
        assertEquals(2, attempts("r"));
        advance(60 * MS);
        assertEquals(3, attempts("r"));
    }

    @Test
    void freshnessForABoundedReadCountsAtTheStartOfItsAttempt() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        now += 490 * MS;
        request("late", READ, null, 800 * MS);
        assertFalse(List.of("b", "c").contains(String.valueOf(lastServer("late"))), "positions are too old by now");
    }

    @Test
    void positionsNeverGoBack() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        healthCheckServed("b", now - 3000 * MS, ServerRole.REPLICA);
        healthCheckServed("c", now - 3000 * MS, ServerRole.REPLICA);
        request("r", READ, null, 800 * MS);
        assertTrue(List.of("b", "c").contains(lastServer("r")), "the greatest position ever stated still holds");
    }
}
