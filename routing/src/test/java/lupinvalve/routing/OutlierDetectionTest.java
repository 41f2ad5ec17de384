package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which servers are ejected, and how they return to service. */
class OutlierDetectionTest extends RouterFixture {
    @Test
    void oneBrokenConnectionEjectsNoServerButTwoWithoutAnAnswerInBetweenDo() {
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
        // The first ejection is weak evidence: a health check starts at once, and its answer puts the server on trial.
        assertTrue(actions.contains(new RouterAction.CheckHealth("a")), "the first ejection has no ejection time");
        healthCheckServed("a", now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w6"));
        request("w7", WRITE, "s", 2000 * MS);
        assertNull(lastServer("w7"), "a server on trial gets one attempt at a time");
        attemptEnded("w6", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w7"));
    }

    @Test
    void serverThatAnswersWhileItIsEjectedIsUsedAtOnce() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        allServersReport();
        List<String> ids = List.of("w1", "w2", "w3", "w4");
        ids.forEach(id -> request(id, WRITE, "s", 2000 * MS));
        for (String id : ids.subList(0, 3)) {
            attemptEnded(id, 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        }
        request("w5", WRITE, "s", 2000 * MS);
        assertNull(lastServer("w5"), "after three broken connections in a row the server is ejected for some time");
        attemptEnded("w4", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", lastServer("w5"), "a server that answers is alive");
    }

    @Test
    void serverWithErrorsOnRequestsThatOthersServeIsPaused() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("r", READ, null, 800 * MS);
        String faultyServer = lastServer("r");
        attemptEnded("r", 0, faultyServer, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        int failed = 0;
        for (int i = 0; i < 40; i++) {
            String id = "r" + i;
            request(id, READ, null, 800 * MS);
            int attempt = 0;
            if (lastServer(id).equals(faultyServer)) {
                failed++;
                answerWithError(id, attempt++);
            }
            assertNotEquals(faultyServer, lastServer(id));
            attemptEnded(id, attempt, lastServer(id), AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        }
        // Each of many routers has few requests to judge by, so the first error counts once another server has served
        // the request.
        assertEquals(1, failed, "attempts at the server that answers with errors");
        advance(300 * MS);
        request("trial", READ, null, 800 * MS);
        assertEquals(faultyServer, lastServer("trial"), "the trial is a request, without a health check before it");
        attemptEnded("trial", 0, faultyServer, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        assertEquals(
                0,
                actions.stream()
                        .filter(a -> a.equals(new RouterAction.CheckHealth(faultyServer)))
                        .count());
    }
}
