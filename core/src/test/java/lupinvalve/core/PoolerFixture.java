package lupinvalve.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

/** Base class of tests that drive a pooler on a clock of their own, with a client and a db node that record. */
abstract class PoolerFixture {
    static final long MILLIS = 1000;
    /** Longer than any time limit of the core. */
    static final long FOREVER_MILLIS = 60_000;

    /** Indexes of the request classes in {@link #settings}. */
    static final int BOOKING = 0;

    static final int READ = 1;

    long nowMicros = 1_000_000_000_000L;
    final EventLoop loop = new EventLoop("test", () -> nowMicros);
    final Client client = new Client();
    final Nodes nodes = new Nodes();
    final Pooler pooler = new Pooler(loop, settings());

    private static RequestClass requestClass(String name, RequestClass.Access access, RequestClass.Effect effect) {
        return new RequestClass(
                name, access, 0, effect, RequestClass.KeyScope.GROUP, 0, 600 * MILLIS, 10_000 * MILLIS, 1, 0);
    }

    private static RouterSettings settings() {
        return new RouterSettings(
                0,
                1,
                0,
                false,
                List.of(
                        requestClass("booking", RequestClass.Access.WRITE, RequestClass.Effect.UNSAFE),
                        requestClass("read", RequestClass.Access.ANY, RequestClass.Effect.SAFE)),
                new RouterSettings.DeploymentLimits(3, false, true, false, true, 1000 * MILLIS, 1000),
                new RouterSettings.Rules(8 * MILLIS, 1000 * MILLIS, 10_000 * MILLIS, 1, 0, 2, 1500 * MILLIS),
                new RouterSettings.Replication(
                        RouterSettings.FreshnessCheck.BOUNCE, 0, RouterSettings.TokenSource.CARRIED));
    }

    /** Records the answers, with the time in milliseconds since the test's start. */
    final class Client implements Frontend {
        private final long startMicros = nowMicros;
        final Map<Long, String> answers = new HashMap<>();

        boolean isAnswerPaused;

        private void answered(long ticket, String outcome) {
            String answer = outcome + " after " + (nowMicros - startMicros) / MILLIS;
            assertEquals(null, answers.put(ticket, answer), "a second answer: " + answer);
        }

        @Override
        public void served(long ticket, Object answer, long position, ServerRole role) {
            answered(ticket, "served " + answer);
        }

        @Override
        public void answerStarted(long ticket, Object first, Backend.StreamSource source) {
            // What follows is recorded.
        }

        @Override
        public void answerChunk(long ticket, byte[] chunk) {
            // The end is recorded.
        }

        @Override
        public boolean isAnswerPaused(long ticket) {
            return isAnswerPaused;
        }

        @Override
        public void answerAborted(long ticket) {
            answered(ticket, "aborted");
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
    static final class Nodes implements Backend {
        final List<Long> sent = new ArrayList<>();

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

    @BeforeEach
    void startPooler() throws InterruptedException {
        pooler.addBackend("test", nodes);
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

    long submit(long ticket, int classIndex, String id, long waitsMillis) {
        return pooler.submit(
                client,
                ticket,
                new ClientRequest(
                        id,
                        classIndex,
                        false,
                        "s",
                        0,
                        1,
                        nowMicros,
                        nowMicros + waitsMillis * MILLIS,
                        "test",
                        "INSERT"));
    }

    /** Lets the time pass in steps of a millisecond. */
    void pass(long millis) throws InterruptedException {
        for (long i = 0; i < millis; i++) {
            nowMicros += MILLIS;
            loop.runDue();
        }
    }

    void serve(int attempt) throws InterruptedException {
        pooler.attemptWritten(nodes.sent.get(attempt));
        pooler.attemptEnded(nodes.sent.get(attempt), AttemptOutcome.SERVED, "row", nowMicros, ServerRole.PRIMARY);
        loop.runDue();
    }
}
