package lupinvalve.drills;

import java.util.Random;

/**
 * How a client of a drill uses its connection: how much it asks at once, how long it rests, how fast it reads. Drawn;
 * without I/O.
 */
final class ClientHabits {
    /** Of how many kinds of clients one is drawn. */
    enum Kind {
        /** One statement after another, with short rests. */
        STEADY,
        /** Several at once, rests for as long as connections may be made room of, long answers, some read slowly. */
        VARIED
    }

    private static final int STEADY_REST = 30;
    private static final int AT_ONCE_MOST = 8;
    private static final int[] RESTS = {0, 0, 10, 90, 110, 130, 300, 1_000, 2_100};
    private static final int LONG_ONE_IN = 12, LONG_LEAST = 70_000, LONG_MOST = 700_000;
    private static final int SLOW_ONE_IN = 6, SLOW_PAUSE_MOST = 12;
    /** One turn in so many is left by its client, within so many ms. */
    private static final int LEAVES_ONE_IN = 20, LEAVES_WITHIN = 60;

    private final Kind kind;
    private final Random random;

    ClientHabits(Kind kind, Random random) {
        this.kind = kind;
        this.random = random;
    }

    Random random() {
        return random;
    }

    /** How many statements it sends at once. */
    int atOnce() {
        return kind == Kind.STEADY || random.nextBoolean() ? 1 : 1 + random.nextInt(AT_ONCE_MOST);
    }

    /** How long it rests before the next ones, in milliseconds. */
    long rest() {
        return kind == Kind.STEADY ? 1 + random.nextInt(STEADY_REST) : RESTS[random.nextInt(RESTS.length)];
    }

    /** How many bytes the next read's value has beyond the usual; 0 for none. */
    int longValue() {
        boolean isLong = kind == Kind.VARIED && random.nextInt(LONG_ONE_IN) == 0;
        return isLong ? LONG_LEAST + random.nextInt(LONG_MOST - LONG_LEAST) : 0;
    }

    /** How long a connection rests before each piece that it reads, in milliseconds; 0 where it reads at once. */
    long readingPause() {
        return kind == Kind.VARIED && random.nextInt(SLOW_ONE_IN) == 0 ? 1 + random.nextInt(SLOW_PAUSE_MOST) : 0;
    }

    /** After how many milliseconds it goes away without its answers; less than 0 where it stays. */
    int leavesAfter() {
        return random.nextInt(LEAVES_ONE_IN) == 0 ? random.nextInt(LEAVES_WITHIN) : -1;
    }
}
