package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which servers are ejected and how they come back. */
class OutlierDetectionTest extends RouterFixture {
    @Test
    void oneBrokenConnectionEjectsNoServerButTwoWithNoAnswerBetweenDo() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        for (String id : List.of("w1", "w2", "w3")) {
            request(id, WRITE, "s", 2000 * MS);
            attemptEnded(id, 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            request(id + "b", WRITE, "s", 2000 * MS);
            assertEquals("a", lastServer(id + "b"));
            attemptEnded(id + "b", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        }
        request("w4", WRITE, "s", 2000 * MS);
        request("w5", WRITE, "s", 2000 * MS);
        attemptEnded("w4", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        attemptEnded("w5", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        request("w6", WRITE, "s", 2000 * MS);
        assertNull(lastServer("w6"));
        // It proves little as yet: a probe goes out at once, and its answer brings the member back on trial.
        assertTrue(actions.contains(new RouterAction.CheckHealth("a")), "a first strike has no pause");
        healthCheckServed("a", now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w6"));
        request("w7", WRITE, "s", 2000 * MS);
        assertNull(lastServer("w7"), "one at a time on trial");
        attemptEnded("w6", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w7"));
    }

    @Test
    void serverThatAnswersWhileItIsEjectedIsUsedAtOnce() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        List<String> out = List.of("w1", "w2", "w3", "w4");
        out.forEach(id -> request(id, WRITE, "s", 2000 * MS));
        for (String id : out.subList(0, 3)) {
            attemptEnded(id, 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        }
        request("w5", WRITE, "s", 2000 * MS);
        assertNull(lastServer("w5"), "three breaks in a row: left out, now for some time");
        attemptEnded("w4", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w5"), "the dead answer nobody");
    }

    @Test
    void serverThatErrsAtWhatOthersServeIsPaused() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("r", READ, null, 800 * MS);
        String bad = lastServer("r");
        attemptEnded("r", 0, bad, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        int failed = 0;
        for (int i = 0; i < 40; i++) {
            String id = "r" + i;
            request(id, READ, null, 800 * MS);
            int attempt = 0;
            if (lastServer(id).equals(bad)) {
                failed++;
                answerWithError(id, attempt++);
            }
            assertNotEquals(bad, lastServer(id));
            attemptEnded(id, attempt, lastServer(id), AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        }
        // One of many routers sees few requests: what another member served settles it at the first error.
        assertEquals(1, failed, "attempts at the failing member");
        advance(300 * MS);
        request("trial", READ, null, 800 * MS);
        assertEquals(bad, lastServer("trial"), "a request tries it, without a probe first");
        attemptEnded("trial", 0, bad, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        assertEquals(
                0,
                actions.stream()
                        .filter(a -> a.equals(new RouterAction.CheckHealth(bad)))
                        .count());
    }
}
