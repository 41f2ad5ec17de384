package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects retries that clients send without marking them as such. A client's attempts at a request share one deadline,
 * that of the request's class, so a retry states a shorter wait than a first attempt; the difference between the
 * deadline and the stated wait is the time that has passed since the first attempt. First attempts are recognised as
 * those with the most common wait among a class's recent requests. Where no wait is common enough, no request counts as
 * a retry.
 */
final class ClientRetryDetector {
    /** The number of newest requests of a class whose waits are kept. */
    private static final int MAX_REQUESTS = 64;

    /** With fewer requests of a class, no wait counts as common. */
    private static final int MIN_REQUESTS = 16;
    /** A wait is common if at least this part of the kept waits equals it. */
    private static final double COMMON_WAIT_RATIO = 0.3;
    /** Waits are rounded down to a multiple of this before they are compared. */
    private static final long RESOLUTION_MICROS = 1000;

    private final List<ClassWaits> waitsByClass = new ArrayList<>();

    /**
     * The waits of one class's newest requests, in multiples of {@link #RESOLUTION_MICROS}, and how often each occurs.
     */
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
            if (waits.size() > MAX_REQUESTS) {
                counts.computeIfPresent(waits.pollFirst(), (key, oldCount) -> oldCount == 1 ? null : oldCount - 1);
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
     * Records the wait that a request's client stated.
     *
     * @return the time in microseconds since the client's first attempt of the request, or 0 if the request does not
     *     count as a retry
     */
    long recordWait(int classIndex, long waitMicros) {
        ClassWaits waits = waitsByClass.get(classIndex);
        long wait = waitMicros / RESOLUTION_MICROS;
        waits.add(wait);
        return waits.hasCommonWait() && wait < waits.commonWait
                ? Math.max(0, waits.requestClass.deadlineMicros() - waitMicros)
                : 0;
    }

    /**
     * Records the wait that a request's client stated, like {@link #recordWait}.
     *
     * @return whether the request is a late retry: over half of the latency objective has passed since the client's
     *     first attempt, so that an answer would hardly be in time, and late answers of its class are worth little.
     *     Under overload such a request is rejected first.
     */
    boolean recordAndCheckLateRetry(int classIndex, long waitMicros) {
        RequestClass requestClass = waitsByClass.get(classIndex).requestClass;
        return recordWait(classIndex, waitMicros) > requestClass.latencyObjectiveMicros() / 2
                && requestClass.losesValueWhenLate();
    }
}
