package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Answers to writes that are held back until a majority has the session's commit, on a clock of the test's own. Guards
 * against answers that come after their client has stopped waiting, as nothing but the store bounded that wait.
 */
class TokenWaitTest {
    private static final long MILLIS = 1000;
    /** How long the store asks to wait. */
    private static final long STORE_WAIT_MILLIS = 1000;
    /** A request that the router leaves open is failed this long after its deadline. */
    private static final long FOREVER_MILLIS = 60_000;

    private long nowMicros = 1_000_000_000_000L;
    private final EventLoop loop = new EventLoop("test", () -> nowMicros);
    private final Client client = new Client();
    private final Nodes nodes = new Nodes();
    private final Store store = new Store();
    private final Pooler pooler = new Pooler(loop, settings());

    private static RouterSettings settings() {
        return new RouterSettings(
                0,
                1,
                0,
                false,
                List.of(new RequestClass(
                        "booking",
                        RequestClass.Access.WRITE,
                        0,
                        RequestClass.Effect.UNSAFE,
                        RequestClass.KeyScope.GROUP,
                        0,
                        600 * MILLIS,
                        10_000 * MILLIS,
                        1,
                        0)),
                new RouterSettings.DeploymentLimits(3, false, true, false, true, 1000 * MILLIS, 1000),
                new RouterSettings.Rules(8 * MILLIS, 1000 * MILLIS, 10_000 * MILLIS, 1, 0, 2, 1500 * MILLIS),
                new RouterSettings.Replication(
                        RouterSettings.FreshnessCheck.BOUNCE, 0, RouterSettings.TokenSource.CARRIED));
    }

    /** Records the answers, with the time in milliseconds since the test's start. */
    private final class Client implements Frontend {
        private final long startMicros = nowMicros;
        private final Map<Long, String> answers = new HashMap<>();

        private void answered(long ticket, String outcome) {
            String answer = outcome + " after " + (nowMicros - startMicros) / MILLIS;
            assertEquals(null, answers.put(ticket, answer), "a second answer: " + answer);
        }

        @Override
        public void served(long ticket, Object answer, long position, ServerRole role) {
            answered(ticket, "served " + answer);
        }

        @Override
        public boolean isClientDisconnected(long ticket) {
            return false;
        }

        @Override
        public void rejected(long ticket, long retryAfterMicros) {
            answered(ticket, "rejected");
        }

        @Override
        public void failed(long ticket) {
            answered(ticket, "failed");
        }
    }

    /** Keeps the handles of the attempts that were sent. */
    private static final class Nodes implements Backend {
        private final List<Long> sent = new ArrayList<>();

        @Override
        public void send(
                long attempt,
                String node,
                String address,
                Object statement,
                long timeoutMicros,
                long startWithinMicros) {
            sent.add(attempt);
        }

        @Override
        public boolean abandon(long attempt) {
            return true;
        }

        @Override
        public boolean isAwaitingConnection(long attempt) {
            return false;
        }

        @Override
        public void checkHealth(String node, String address) {
            // The test makes no health checks.
        }

        @Override
        public void closeIdleConnections(String node) {
            // There are no connections.
        }
    }

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
    void start() throws InterruptedException {
        pooler.addBackend("test", nodes);
        pooler.sessionTokens(store);
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // The list does not change.
            }

            @Override
            public void fetch() {
                // The list does not change.
            }
        });
        Endpoint primary = new Endpoint("n1", 1, 0, EndpointState.LIVE, true, 0);
        pooler.start(1, List.of(new DiscoveredEndpoint(primary, Map.of("test", "127.0.0.1:1"))));
        loop.runDue();
    }

    private long submit(long ticket, String id, long waitsMillis) {
        return pooler.submit(
                client,
                ticket,
                new ClientRequest(
                        id, 0, false, "s", 0, 1, nowMicros, nowMicros + waitsMillis * MILLIS, "test", "INSERT"));
    }

    /** Lets the time pass in steps of a millisecond. */
    private void pass(long millis) throws InterruptedException {
        for (long i = 0; i < millis; i++) {
            nowMicros += MILLIS;
            loop.runDue();
        }
    }

    private void serve(int attempt) throws InterruptedException {
        pooler.attemptWritten(nodes.sent.get(attempt));
        pooler.attemptEnded(nodes.sent.get(attempt), AttemptOutcome.SERVED, "row", nowMicros, ServerRole.PRIMARY);
        loop.runDue();
    }

    /** Submits a booking that its db node serves after some time. */
    private long served(long ticket, long waitsMillis, long servedAfterMillis) throws InterruptedException {
        long handle = submit(ticket, "id" + ticket, waitsMillis);
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
        long second = submit(2, "id2", 8000);
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
        long handle = submit(1, "id1", 8000);
        pooler.answerNeededBy(handle, nowMicros + 400 * MILLIS);
        pass(100);
        serve(0);
        pass(FOREVER_MILLIS);
        assertEquals(Map.of(1L, "served row after 350"), client.answers);
    }

    @Test
    void aCancelDuringTheWaitGetsTheTrueOutcome() throws InterruptedException {
        long handle = submit(1, "id1", 8000);
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
        submit(2, "id1", 840);
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
