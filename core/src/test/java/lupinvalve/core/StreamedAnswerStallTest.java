package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.ServerRole;
import org.junit.jupiter.api.Test;

/**
 * Streamed answers whose db node stops sending, on a clock of the test's own. Guards against clients that wait for the
 * rest of an answer for 15 s after their time, when nothing but their db node is in the way.
 */
class StreamedAnswerStallTest extends PoolerFixture {
    private static final long TIME_MILLIS = 840;
    private static final byte[] CHUNK = {1};

    private long attempt;

    /** Submits a read whose answer starts after 100 ms. */
    private long startAnswer() throws InterruptedException {
        long handle = submit(1, READ, "id1", TIME_MILLIS);
        pass(100);
        attempt = nodes.sent.get(0);
        pooler.attemptWritten(attempt);
        assertEquals(StreamDecision.PASS_ON, pooler.answerStarted(attempt, "first", paused -> {}));
        return handle;
    }

    private void sendChunks(int count, long intervalMillis) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            pass(intervalMillis);
            pooler.answerChunk(attempt, CHUNK);
        }
    }

    private void end() {
        pooler.attemptEnded(attempt, AttemptOutcome.SERVED, "rest", nowMicros, ServerRole.REPLICA);
    }

    @Test
    void aSilentDbNodeDoesNotKeepItsClientWaitingPastItsTime() throws InterruptedException {
        startAnswer();
        sendChunks(1, 100);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "aborted after 1240"), client.answers);
    }

    @Test
    void silenceWithinTheClientsTimeEndsNothing() throws InterruptedException {
        startAnswer();
        pass(TIME_MILLIS - 101);
        end();
        assertEquals(Map.of(1L, "served rest after 839"), client.answers);
    }

    @Test
    void anAnswerThatStillArrivesGoesOnPastTheClientsTime() throws InterruptedException {
        startAnswer();
        sendChunks(20, 190);
        end();
        assertEquals(Map.of(1L, "served rest after 3900"), client.answers);
    }

    @Test
    void aClientThatReadsSlowlyGetsItsAnswer() throws InterruptedException {
        startAnswer();
        client.isAnswerPaused = true;
        pass(10_000);
        client.isAnswerPaused = false;
        sendChunks(2, 190);
        end();
        assertEquals(Map.of(1L, "served rest after 10480"), client.answers);
    }

    @Test
    void aDbNodeThatFallsSilentLaterIsNotWaitedFor() throws InterruptedException {
        startAnswer();
        sendChunks(10, 150);
        pass(FOREVER_MILLIS);
        // Its last chunk came after 1600 ms, and the check after that, after 1640 ms, still saw it.
        assertEquals(Map.of(1L, "aborted after 2040"), client.answers);
    }

    @Test
    void aClientThatNeverReadsIsGivenUpAfterTheLongerTime() throws InterruptedException {
        startAnswer();
        client.isAnswerPaused = true;
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "aborted after 15240"), client.answers);
    }
}
