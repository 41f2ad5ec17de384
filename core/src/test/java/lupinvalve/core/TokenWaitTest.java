package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Answers to writes that are held back until a majority has the session's commit, on a clock of the test's own. Guards
 * against answers that come after their client has stopped waiting, as nothing but the store bounded that wait.
 */
class TokenWaitTest extends PoolerFixture {
    /** How long the store asks to wait. */
    private static final long STORE_WAIT_MILLIS = 1000;

    private final Store store = new Store();

    /** A store whose majority confirms when the test says so. */
    private static final class Store implements SessionTokenStore {
        private final List<Runnable> unconfirmed = new ArrayList<>();
        private final List<Long> commits = new ArrayList<>();
        private long waitMicros = STORE_WAIT_MILLIS * MILLIS;

        @Override
        public long lastCommit(String session) {
            return 0;
        }

        @Override
        public void committed(String session, long position) {
            commits.add(position);
        }

        @Override
        public long waitMicros() {
            return waitMicros;
        }

        @Override
        public void committed(String session, long position, Runnable onDurable) {
            commits.add(position);
            unconfirmed.add(onDurable);
        }
    }

    @BeforeEach
    void setStore() {
        pooler.sessionTokens(store);
    }

    /** Submits a booking that its db node serves after some time. */
    private long served(long ticket, long waitsMillis, long servedAfterMillis) throws InterruptedException {
        long handle = submit(ticket, BOOKING, "id" + ticket, waitsMillis);
        pass(servedAfterMillis);
        serve(nodes.sent.size() - 1);
        return handle;
    }

    @Test
    void aClientWithLittleTimeLeftIsAnsweredBeforeItStopsWaiting() throws InterruptedException {
        served(1, 840, 700);
        assertEquals(Map.of(), client.answers, "there is time to wait for the majority");
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 790"), client.answers);
        assertEquals(1, store.commits.size());
    }

    @Test
    void anAnswerWithNoTimeToWaitIsSentAtOnce() throws InterruptedException {
        served(1, 840, 800);
        assertEquals(Map.of(1L, "served row after 800"), client.answers);
        pass(FOREVER_MILLIS);
        assertEquals(1, store.commits.size(), "the commit is told to the others all the same");
    }

    @Test
    void shortDeadlinesAreKeptToo() throws InterruptedException {
        served(1, 90, 10);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 40"), client.answers);
    }

    @Test
    void theWaitLastsAsLongAsSetWhereTheClientWaits() throws InterruptedException {
        served(1, 8000, 100);
        pass(STORE_WAIT_MILLIS - 1);
        assertEquals(Map.of(), client.answers);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 1100"), client.answers);
    }

    @Test
    void aMajoritysConfirmationEndsTheWait() throws InterruptedException {
        served(1, 8000, 100);
        pass(200);
        store.unconfirmed.get(0).run();
        assertEquals(Map.of(1L, "served row after 300"), client.answers);
        pass(FOREVER_MILLIS);
        store.unconfirmed.get(0).run();
        assertEquals(0, pooler.openRequests());
    }

    @Test
    void aConfirmationAfterTheAnswerConcernsNoLaterRequest() throws InterruptedException {
        served(1, 840, 700);
        pass(FOREVER_MILLIS);
        served(2, 8000, 0);
        store.unconfirmed.get(0).run();
        assertFalse(client.answers.containsKey(2L), "its own commit is not confirmed");
        store.unconfirmed.get(1).run();
        assertTrue(client.answers.containsKey(2L));
    }

    @Test
    void aShutdownEndsTheWaitsThatAreLongerAndThoseThatBeginLater() throws InterruptedException {
        served(1, 8000, 0);
        long second = submit(2, BOOKING, "id2", 8000);
        pooler.answerBy(nowMicros + 300 * MILLIS);
        pass(200);
        serve(1);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 300", 2L, "served row after 300"), client.answers);
        assertTrue(second >= 0);
    }

    @Test
    void anAnswerBehindItThatIsDueEndsTheWait() throws InterruptedException {
        long handle = served(1, 8000, 0);
        pass(100);
        pooler.answerNeededBy(handle, nowMicros + 400 * MILLIS);
        pooler.answerNeededBy(handle, nowMicros + 900 * MILLIS);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 450"), client.answers);
    }

    @Test
    void anAnswerThatIsDueBehindARequestInFlightShortensItsLaterWait() throws InterruptedException {
        long handle = submit(1, BOOKING, "id1", 8000);
        pooler.answerNeededBy(handle, nowMicros + 400 * MILLIS);
        pass(100);
        serve(0);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 350"), client.answers);
    }

    @Test
    void aCancelDuringTheWaitGetsTheTrueOutcome() throws InterruptedException {
        long handle = submit(1, BOOKING, "id1", 8000);
        assertFalse(pooler.endTokenWait(handle), "it may still be cancelled");
        serve(0);
        pass(10);
        assertTrue(pooler.endTokenWait(handle));
        assertEquals(Map.of(1L, "served row after 10"), client.answers);
        assertFalse(pooler.endTokenWait(handle));
    }

    @Test
    void theIdOfAClientThatLeftDuringTheWaitIsNotRunAgain() throws InterruptedException {
        long handle = served(1, 840, 700);
        assertTrue(pooler.hasOpenRequest("id1"));
        pooler.clientDisconnected(handle);
        assertEquals(0, pooler.openRequests());
        submit(2, BOOKING, "id1", 840);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(2L, "failed after 700"), client.answers);
        assertEquals(1, nodes.sent.size(), "the write was sent once");
    }

    @Test
    void withoutAWaitTheAnswerIsSentAtOnce() throws InterruptedException {
        store.waitMicros = 0;
        served(1, 840, 700);
        assertEquals(Map.of(1L, "served row after 700"), client.answers);
    }
}
