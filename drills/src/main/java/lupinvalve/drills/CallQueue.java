package lupinvalve.drills;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * What an overloaded discovery makes of each call. It works through the calls of all callers one after another, those
 * of callers that have given up too; some it refuses, some it resets, some it answers just as they are given up. Of one
 * pooler's calls at most three in a row fail: the next is answered ahead of the queue. Without I/O; times are in
 * milliseconds of one clock.
 */
class CallQueue {
    /** So many calls in a row may fail for one pooler, whatever its process. */
    static final int FAILURES_MOST = 3;
    /** An answer that begins later may come too late, and is counted as a failed call. */
    static final long IN_TIME = 1_000;
    /** When poolers give a call up, and how near to that an answer is that crosses with it. */
    static final long GIVEN_UP = 1_200, CROSSES_WITHIN = 15;

    private static final int WORK_LEAST = 80, WORK_SPREAD = 270;
    /** Calls of others that came since the last one, and the longest wait in the queue. */
    private static final int OTHERS_MOST = 2, WAIT_MOST = 2_500;

    private static final int ANSWERED_FIRST_MOST = 900;

    /** How a call ends. */
    enum Ending {
        /** The list is written, to whoever still listens. */
        ANSWERED,
        /** 503. */
        REFUSED,
        /** No byte, and a reset. */
        RESET,
        /** Half the list, then a reset. */
        TORN
    }

    /** What comes of one call, and when. */
    record Fate(long at, Ending ending) {}

    /** How many calls came while discovery was overloaded, and how many of them were made to fail. */
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

    /** Too many callers come from now on, or no longer. */
    synchronized void overloaded(boolean now) {
        overloaded = now;
        busyUntil = 0;
        failures.clear();
    }

    synchronized Counts counts() {
        return new Counts(calls, failed);
    }

    /** What comes of a call that a pooler makes now. */
    synchronized Fate fate(String pooler, long now) {
        if (!overloaded) {
            return new Fate(now, Ending.ANSWERED);
        }
        calls++;
        Fate fate = drawn(now);
        boolean fails = fate.ending() != Ending.ANSWERED || fate.at() > now + IN_TIME;
        if (fails && failures.getOrDefault(pooler, 0) >= FAILURES_MOST) {
            fate = new Fate(now + random.nextInt(ANSWERED_FIRST_MOST), Ending.ANSWERED);
            fails = false;
        }
        if (fails) {
            failed++;
            failures.merge(pooler, 1, Integer::sum);
        } else {
            failures.remove(pooler);
        }
        return fate;
    }

    private Fate drawn(long now) {
        int ahead = 1 + random.nextInt(OTHERS_MOST + 1);
        long work = 0;
        for (int i = 0; i < ahead; i++) {
            work += WORK_LEAST + random.nextInt(WORK_SPREAD);
        }
        busyUntil = Math.min(Math.max(busyUntil, now) + work, now + WAIT_MOST);
        int lot = random.nextInt(100);
        if (lot < 10) {
            return new Fate(now, Ending.REFUSED);
        } else if (lot < 20) {
            return new Fate(busyUntil, Ending.REFUSED);
        } else if (lot < 30) {
            return new Fate(busyUntil, Ending.RESET);
        } else if (lot < 40) {
            return new Fate(busyUntil, Ending.TORN);
        } else if (lot < 55) {
            long from = now + GIVEN_UP - CROSSES_WITHIN;
            return new Fate(from + random.nextInt(2 * (int) CROSSES_WITHIN), Ending.ANSWERED);
        }
        return new Fate(busyUntil, Ending.ANSWERED);
    }
}
