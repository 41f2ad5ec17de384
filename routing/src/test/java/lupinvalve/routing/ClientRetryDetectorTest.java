package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how unmarked retries of clients are detected by the waits that requests state. */
class ClientRetryDetectorTest {
    private static final long MS = 1000;
    private final ClientRetryDetector detector = new ClientRetryDetector(List.of(
            new RequestClass(
                    "read",
                    RequestClass.Access.ANY,
                    0,
                    RequestClass.Effect.SAFE,
                    RequestClass.KeyScope.ALL,
                    0,
                    600 * MS,
                    2000 * MS,
                    1,
                    0),
            new RequestClass(
                    "write",
                    RequestClass.Access.WRITE,
                    0,
                    RequestClass.Effect.UNSAFE,
                    RequestClass.KeyScope.ALL,
                    0,
                    600 * MS,
                    2000 * MS,
                    3,
                    0.7)));

    /** Records first attempts, which all state a wait of 1.5 s; none may count as a retry. */
    private void recordFirstAttempts(int classIndex, int count) {
        for (int i = 0; i < count; i++) {
            assertEquals(0, detector.recordWait(classIndex, 1500 * MS));
        }
    }

    @Test
    void timeSinceTheFirstAttemptIsDeadlineMinusStatedWait() {
        recordFirstAttempts(0, 40);
        assertEquals(1100 * MS, detector.recordWait(0, 900 * MS));
        assertTrue(detector.recordAndCheckLateRetry(0, 900 * MS));
        assertFalse(detector.recordAndCheckLateRetry(0, 1500 * MS));
    }

    @Test
    void oneLongerWaitDoesNotMakeOtherRequestsCountAsRetries() {
        recordFirstAttempts(0, 40);
        assertEquals(0, detector.recordWait(0, 1990 * MS));
        recordFirstAttempts(0, 40);
    }

    @Test
    void requestsWithDifferentWaitsDoNotCountAsRetries() {
        for (int i = 0; i < 200; i++) {
            assertFalse(detector.recordAndCheckLateRetry(0, (500 + i * 7 % 900) * MS));
        }
    }

    @Test
    void fewRequestsOrAClassThatKeepsItsValueWhenLateYieldNoLateRetry() {
        recordFirstAttempts(0, 5);
        assertFalse(detector.recordAndCheckLateRetry(0, 300 * MS));
        recordFirstAttempts(1, 40);
        assertFalse(detector.recordAndCheckLateRetry(1, 300 * MS), "a late write keeps most of its value");
    }
}
