package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells clients' retries where these bear no mark. A client waits for all its attempts together no longer than its
 * class's deadline, so a retry has less left than first attempts are given: what it lacks has passed since. First
 * attempts are known by the wait that most requests of a class name; where none is that common, nothing is concluded.
 */
final class ClientRetryDetector {
    /** Waits remembered for each class. */
    private static final int REMEMBERED_REQUESTS = 64;

    private static final int MIN_REQUESTS = 16;
    /** Part of the waits remembered that must be one and the same. */
    private static final double COMMON_WAIT_RATIO = 0.3;
    /** Waits that differ by less are one and the same. */
    private static final long RESOLUTION_MICROS = 1000;

    private final List<ClassWaits> waitsByClass = new ArrayList<>();

    /** The waits of one class's newest requests, in units of the resolution. */
    private static final class ClassWaits {
        private final RequestClass requestClass;
        private final ArrayDeque<Long> waits = new ArrayDeque<>();
        private final Map<Long, Integer> counts = new HashMap<>();
        private long commonWait;

        ClassWaits(RequestClass requestClass) {
            this.requestClass = requestClass;
        }

        void add(long wait) {
            waits.addLast(wait);
            int count = counts.merge(wait, 1, Integer::sum);
            if (waits.size() > REMEMBERED_REQUESTS) {
                counts.computeIfPresent(waits.pollFirst(), (key, before) -> before == 1 ? null : before - 1);
            }
            if (count > counts.getOrDefault(commonWait, 0)) {
                commonWait = wait;
            }
        }

        boolean hasCommonWait() {
            return waits.size() >= MIN_REQUESTS
                    && counts.getOrDefault(commonWait, 0) >= waits.size() * COMMON_WAIT_RATIO;
        }
    }

    ClientRetryDetector(List<RequestClass> classes) {
        classes.forEach(requestClass -> waitsByClass.add(new ClassWaits(requestClass)));
    }

    /**
     * Records what a request's client said it would wait. Returns the time in microseconds since its first attempt, 0
     * if none is known.
     */
    long sinceFirstAttemptMicros(int classIndex, long waitMicros) {
        ClassWaits waits = waitsByClass.get(classIndex);
        long wait = waitMicros / RESOLUTION_MICROS;
        waits.add(wait);
        return waits.hasCommonWait() && wait < waits.commonWait
                ? Math.max(0, waits.requestClass.deadlineMicros() - waitMicros)
                : 0;
    }

    /**
     * Records likewise. Returns whether it is a retry whose answer would hardly be in time any more, and late ones are
     * worth little: such a request goes first where not all can be served.
     */
    boolean isLateRetry(int classIndex, long waitMicros) {
        RequestClass requestClass = waitsByClass.get(classIndex).requestClass;
        return sinceFirstAttemptMicros(classIndex, waitMicros) > requestClass.latencyObjectiveMicros() / 2
                && requestClass.losesValueWhenLate();
    }
}
