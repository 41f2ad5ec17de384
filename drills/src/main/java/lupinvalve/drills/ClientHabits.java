package lupinvalve.drills;

import java.util.Random;

/**
 * Draws how a client of a drill uses its connection: how many statements it pipelines, how long it rests, how fast it
 * reads. Does no I/O.
 */
final class ClientHabits {
    /** The kind of a client. */
    enum Kind {
        /** Sends one statement at a time, with short rests. */
        STEADY,
        /**
         * Pipelines statements, rests long enough for its connection to be ended to make room for others, requests long
         * values, and partly reads them slowly.
         */
        VARIED
    }

    private static final int MAX_STEADY_REST_MILLIS = 30;
    private static final int MAX_STATEMENTS_AT_ONCE = 8;
    private static final int[] REST_CHOICES_MILLIS = {0, 0, 10, 90, 110, 130, 300, 1_000, 2_100};
    private static final int LONG_VALUE_ONE_IN = 12;
    private static final int MIN_LONG_VALUE_BYTES = 70_000;
    private static final int MAX_LONG_VALUE_BYTES = 700_000;
    private static final int SLOW_READER_ONE_IN = 6;
    private static final int MAX_READING_PAUSE_MILLIS = 12;
    /** The client leaves without its answers after one batch of statements in this many. */
    private static final int LEAVES_ONE_IN = 20;

    private static final int MAX_LEAVE_AFTER_MILLIS = 60;

    private final Kind kind;
    private final Random random;

    ClientHabits(Kind kind, Random random) {
        this.kind = kind;
        this.random = random;
    }

    Random random() {
        return random;
    }

    /** How many statements it sends before it reads answers. */
    int statementsAtOnce() {
        return kind == Kind.STEADY || random.nextBoolean() ? 1 : 1 + random.nextInt(MAX_STATEMENTS_AT_ONCE);
    }

    /** How long it rests before it sends again, in milliseconds. */
    long restMillis() {
        return kind == Kind.STEADY
                ? 1 + random.nextInt(MAX_STEADY_REST_MILLIS)
                : REST_CHOICES_MILLIS[random.nextInt(REST_CHOICES_MILLIS.length)];
    }

    /** By how many bytes the value of the next read is to be longer than usual; 0 for the usual length. */
    int longValueBytes() {
        boolean isLong = kind == Kind.VARIED && random.nextInt(LONG_VALUE_ONE_IN) == 0;
        return isLong ? MIN_LONG_VALUE_BYTES + random.nextInt(MAX_LONG_VALUE_BYTES - MIN_LONG_VALUE_BYTES) : 0;
    }

    /** How long the client rests before each read from the socket, in milliseconds; 0 for not at all. */
    long readingPauseMillis() {
        return kind == Kind.VARIED && random.nextInt(SLOW_READER_ONE_IN) == 0
                ? 1 + random.nextInt(MAX_READING_PAUSE_MILLIS)
                : 0;
    }

    /** After how many milliseconds it disconnects without its answers; less than 0 where it waits for them. */
    int leavesAfterMillis() {
        return random.nextInt(LEAVES_ONE_IN) == 0 ? random.nextInt(MAX_LEAVE_AFTER_MILLIS) : -1;
    }
}
