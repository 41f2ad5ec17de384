package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which requests are retried and which are never. */
class RetryPolicyTest extends RouterFixture {
    @Test
    void unsafeWriteThatMayHaveRunFailsAndIsNeverRetried() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN, AttemptOutcome.CANCELLED)) {
            actions.clear();
            start(
                    RouterSettings.FreshnessCheck.SILENT,
                    RouterSettings.TokenSource.REMEMBERED,
                    RequestClass.Effect.UNSAFE);
            allServersReport();
            request("w", WRITE, "s", 2000 * MS);
            attemptEnded("w", 0, "a", outcome, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            advance(1900 * MS);
            assertEquals(1, attempts("w"), outcome.name());
            assertEquals(1, failures("w"), outcome.name());
            assertEquals(0, rejections("w"), outcome.name());
        }
    }

    @Test
    void unsafeWriteThatDidNotRunIsRetried() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        allServersReport();
        request("w", WRITE, "s", 2000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.REJECTED, now, ServerRole.PRIMARY);
        advance(200 * MS);
        assertEquals(2, attempts("w"));
    }

    @Test
    void keyedWriteIsRetriedWhileItsKeyIsRememberedAndThenFails() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("w", WRITE, "s", 5000 * MS);
        attemptEnded("w", 0, "a", AttemptOutcome.ERROR, now, ServerRole.PRIMARY);
        assertEquals(2, attempts("w"));
        now += 3100 * MS;
        attemptEnded("w", 1, "a", AttemptOutcome.ERROR, now, ServerRole.PRIMARY);
        advance(1000 * MS);
        assertEquals(2, attempts("w"));
        assertEquals(1, failures("w"));
        assertEquals(0, rejections("w"));
    }

    @Test
    void onlyOneAttemptOfARequestIsInFlightAtATime() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        request("r", READ, null, 800 * MS);
        advance(300 * MS);
        assertEquals(1, attempts("r"));
    }

    @Test
    void requestThatFailsAtEveryServerIsGivenUpAndCountsAgainstNoServer() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        for (int i = 0; i < 20; i++) {
            request("bad" + i, READ, null, 800 * MS);
            answerWithError("bad" + i, 0);
            answerWithError("bad" + i, 1);
            answerWithError("bad" + i, 2);
            assertEquals(3, attempts("bad" + i));
            assertEquals(1, rejections("bad" + i));
        }
        request("good", READ, null, 800 * MS);
        assertTrue(List.of("b", "c").contains(lastServer("good")));
    }
}
