package lupinvalve.drills;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Draws what an overloaded discovery does with each call. It handles the calls of all callers one after another,
 * including those whose caller has closed the connection; it refuses some, resets some, and answers some just as their
 * callers time out. At most three calls in a row fail for one pooler: the next one is answered ahead of the queue. Does
 * no I/O; times are in milliseconds of one clock.
 */
class CallQueue {
    /** How many calls in a row may fail for one pooler, counted across restarts of its process. */
    static final int MAX_FAILURES_IN_A_ROW = 3;
    /** An answer that begins later than this may miss the caller's timeout and counts as a failed call. */
    static final long IN_TIME_MILLIS = 1_000;
    /** After how long poolers close a call that has no answer. */
    static final long GIVE_UP_MILLIS = 1_200;
    /** How near to that an answer is begun which is to cross with the closing of the call. */
    static final long CROSSING_MILLIS = 15;

    private static final int MIN_WORK_MILLIS = 80;
    private static final int WORK_SPREAD_MILLIS = 270;
    /** How many calls of other callers come between two calls at most. */
    private static final int MAX_OTHER_CALLS = 2;
    /** The longest wait in the queue. */
    private static final int MAX_WAIT_MILLIS = 2_500;

    private static final int MAX_PRIORITY_ANSWER_MILLIS = 900;

    /** How a call ends. */
    enum Ending {
        /** The list is written, if the caller still has the connection open. */
        ANSWERED,
        /** The answer is status 503. */
        REFUSED,
        /** The connection is reset before any byte of the answer. */
        RESET,
        /** Half of the list is written, then the connection is reset. */
        TORN
    }

    /** How a call ends, and from when on it is handled. */
    record Outcome(long at, Ending ending) {}

    /** How many calls arrived while discovery was overloaded, and how many of them were made to fail. */
    record Counts(int calls, int failed) {}

    private final Random random;
    private final Map<String, Integer> failures = new HashMap<>();
    private boolean overloaded;
    private long busyUntil;
    private int calls;
    private int failed;

    CallQueue(long seed) {
        random = new Random(seed);
    }

    /** Starts or ends the overload; either way the queue is empty and no failures are counted. */
    synchronized void setOverloaded(boolean isOverloaded) {
        overloaded = isOverloaded;
        busyUntil = 0;
        failures.clear();
    }

    synchronized Counts counts() {
        return new Counts(calls, failed);
    }

    /** Draws the outcome of a call that a pooler makes now. */
    synchronized Outcome outcome(String pooler, long now) {
        if (!overloaded) {
            return new Outcome(now, Ending.ANSWERED);
        }
        calls++;
        Outcome outcome = drawOutcome(now);
        boolean isFailure = outcome.ending() != Ending.ANSWERED || outcome.at() > now + IN_TIME_MILLIS;
        if (isFailure && failures.getOrDefault(pooler, 0) >= MAX_FAILURES_IN_A_ROW) {
            outcome = new Outcome(now + random.nextInt(MAX_PRIORITY_ANSWER_MILLIS), Ending.ANSWERED);
            isFailure = false;
        }
        if (isFailure) {
            failed++;
            failures.merge(pooler, 1, Integer::sum);
        } else {
            failures.remove(pooler);
        }
        return outcome;
    }

    private Outcome drawOutcome(long now) {
        int ahead = 1 + random.nextInt(MAX_OTHER_CALLS + 1);
        long work = 0;
        for (int i = 0; i < ahead; i++) {
            work += MIN_WORK_MILLIS + random.nextInt(WORK_SPREAD_MILLIS);
        }
        busyUntil = Math.min(Math.max(busyUntil, now) + work, now + MAX_WAIT_MILLIS);
        int percentile = random.nextInt(100);
        if (percentile < 10) {
            return new Outcome(now, Ending.REFUSED);
        } else if (percentile < 20) {
            return new Outcome(busyUntil, Ending.REFUSED);
        } else if (percentile < 30) {
            return new Outcome(busyUntil, Ending.RESET);
        } else if (percentile < 40) {
            return new Outcome(busyUntil, Ending.TORN);
        } else if (percentile < 55) {
            long from = now + GIVE_UP_MILLIS - CROSSING_MILLIS;
            return new Outcome(from + random.nextInt(2 * (int) CROSSING_MILLIS), Ending.ANSWERED);
        }
        return new Outcome(busyUntil, Ending.ANSWERED);
    }
}
