package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Compares the simulation with results known in closed form. */
class RestingConnectionsTest {
    private static final int REQUESTS = 200_000;

    @Test
    void sparseInstantRequestsFollowTheExponentialDistribution() {
        double perSecond = 1.65;
        double idleSeconds = 0.5;
        RestingConnections.Outcome outcome =
                RestingConnections.simulate(perSecond, 1e-9, RestingConnections.IdleTimes.of(idleSeconds), REQUESTS, 1);
        double missed = Math.exp(-perSecond * idleSeconds);
        assertEquals(missed, outcome.handshakeRatio(), 0.005, "ratio of gaps longer than the idle time");
        assertEquals(1 - missed, outcome.open(), 0.005, "ratio of gaps shorter than the idle time");
        assertEquals(missed * (1 - missed), outcome.variance(), 0.005, "one connection or none");
    }

    @Test
    void overlappingRequestsNeedSeveralConnections() {
        RestingConnections.Outcome outcome =
                RestingConnections.simulate(100, 0.05, RestingConnections.IdleTimes.of(0), REQUESTS, 1);
        assertEquals(5, outcome.open(), 0.1, "arrivals times work");
        assertEquals(1, outcome.handshakeRatio(), 1e-9, "no connection stays idle");
    }

    @Test
    void onlyTheConnectionUsedLastIsKeptForTheLongerTime() {
        double both = RestingConnections.simulate(20, 0.05, new RestingConnections.IdleTimes(10, 10), REQUESTS, 1)
                .open();
        double last = RestingConnections.simulate(20, 0.05, RestingConnections.IdleTimes.of(10), REQUESTS, 1)
                .open();
        assertTrue(last < both - 1, last + " with surplus ones closed, " + both + " without");
    }

    @Test
    void sameSeedGivesTheSameResult() {
        RestingConnections.IdleTimes second = RestingConnections.IdleTimes.of(1);
        RestingConnections.Outcome once = RestingConnections.simulate(2, 0.01, second, REQUESTS, 7);
        assertEquals(once, RestingConnections.simulate(2, 0.01, second, REQUESTS, 7));
        assertTrue(once.exceededOnceIn1000(910) > 910 * 0.8);
    }
}
