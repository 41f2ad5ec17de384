package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The virtual-time computation against what can be worked out by hand. */
class RestingConnectionsTest {
    private static final int REQUESTS = 200_000;

    @Test
    void sparseRequestsThatTakeNoTimeFollowTheExponentialLaw() {
        double perSecond = 1.65;
        double rest = 0.5;
        RestingConnections.Outcome outcome =
                RestingConnections.play(perSecond, 1e-9, RestingConnections.Rests.of(rest), REQUESTS, 1);
        double missed = Math.exp(-perSecond * rest);
        assertEquals(missed, outcome.newPart(), 0.005, "a gap longer than the rest");
        assertEquals(1 - missed, outcome.open(), 0.005, "used within the rest");
        assertEquals(missed * (1 - missed), outcome.variance(), 0.005, "one connection or none");
    }

    @Test
    void requestsThatOverlapTakeMoreThanOne() {
        RestingConnections.Outcome outcome =
                RestingConnections.play(100, 0.05, RestingConnections.Rests.of(0), REQUESTS, 1);
        assertEquals(5, outcome.open(), 0.1, "arrivals times work");
        assertEquals(1, outcome.newPart(), 1e-9, "nothing rests");
    }

    @Test
    void onlyTheOneUsedLastStaysForTheLongerTime() {
        double both = RestingConnections.play(20, 0.05, new RestingConnections.Rests(10, 10), REQUESTS, 1)
                .open();
        double last = RestingConnections.play(20, 0.05, RestingConnections.Rests.of(10), REQUESTS, 1)
                .open();
        assertTrue(last < both - 1, last + " with surplus ones closed, " + both + " without");
    }

    @Test
    void theSameSeedGivesTheSame() {
        RestingConnections.Rests second = RestingConnections.Rests.of(1);
        RestingConnections.Outcome once = RestingConnections.play(2, 0.01, second, REQUESTS, 7);
        assertEquals(once, RestingConnections.play(2, 0.01, second, REQUESTS, 7));
        assertTrue(once.atDatabase(910) > 910 * 0.8);
    }
}
