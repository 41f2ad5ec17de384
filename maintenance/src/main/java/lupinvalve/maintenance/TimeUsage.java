package lupinvalve.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * How much time of one thread each of its users took in a period, and how long work waited for the thread. Gives a line
 * for the log for a period in which something waited for long. Keeps a bounded number of users. No I/O; not
 * thread-safe.
 */
public final class TimeUsage {
    /** A user of the thread: a connection. */
    public interface User {
        /** Its name in the log; not chosen by a client. */
        String label();
    }

    private static final long PERIOD_MICROS = 5_000_000;
    /** A period is logged if something waited at least this long in it. */
    private static final long LOGGED_WAIT_MICROS = 100_000;

    /** With more users than this, those that took the least are forgotten. */
    private static final int MAX_USERS_COUNT = 256;
    /** A user that took less than this part of the time is forgotten first. */
    private static final long FORGOTTEN_DIVISOR = 64;

    private static final int NAMED_USERS_COUNT = 3;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int MICROS_PER_MILLI = 1000;

    /** What one user took of one thread; kept by the user. */
    public static final class Share {
        private final User user;
        /** The period that the figures are of. */
        private long period = -1;

        private long micros;
        private long turns;

        /** A share of a thread of which nothing was taken. */
        public Share(User user) {
            this.user = user;
        }
    }

    /** Users that took time in this period. */
    private final List<Share> shares = new ArrayList<>();

    private long period;
    private long turns;
    private long periodStartMicros;
    private long busyMicros;
    private long longestWaitMicros;

    /** Starts the first period. */
    public TimeUsage(long nowMicros) {
        periodStartMicros = nowMicros;
    }

    /**
     * Records that a user took time of the thread.
     *
     * @param share the user's, for this thread; null for work of the program itself
     */
    public void took(Share share, long micros) {
        busyMicros += micros;
        turns++;
        if (share == null) {
            return;
        }
        if (share.period != period) {
            register(share);
        }
        share.micros += micros;
        share.turns++;
    }

    private void register(Share share) {
        if (shares.size() >= MAX_USERS_COUNT) {
            shares.removeIf(this::isForgotten);
        }
        shares.add(share);
        share.period = period;
        share.micros = 0;
        share.turns = 0;
    }

    private boolean isForgotten(Share share) {
        boolean isSmall = share.micros <= busyMicros / FORGOTTEN_DIVISOR;
        share.period = isSmall ? -1 : share.period;
        return isSmall;
    }

    /** Records how long work waited for the thread. */
    public void waited(long micros) {
        longestWaitMicros = Math.max(longestWaitMicros, micros);
    }

    /** Whether the period is over, so that {@link #take} is to be called. */
    public boolean isPeriodOver(long nowMicros) {
        return nowMicros - periodStartMicros >= PERIOD_MICROS;
    }

    /** Ends the period and starts the next; returns a summary, or an empty text if nothing waited for long. */
    public String take(long nowMicros) {
        String text = longestWaitMicros >= LOGGED_WAIT_MICROS ? summary(nowMicros - periodStartMicros) : "";
        shares.clear();
        period++;
        turns = 0;
        busyMicros = 0;
        longestWaitMicros = 0;
        periodStartMicros = nowMicros;
        return text;
    }

    private String summary(long periodMicros) {
        List<Share> most = shares.stream()
                .sorted(Comparator.comparingLong(share -> -share.micros))
                .limit(NAMED_USERS_COUNT)
                .toList();
        String named = most.stream()
                .map(share -> share.user.label() + " " + seconds(share.micros) + " in " + share.turns + " turns, ")
                .collect(Collectors.joining());
        long ofNamed = most.stream().mapToLong(share -> share.micros).sum();
        return "longest wait " + longestWaitMicros / MICROS_PER_MILLI + " ms, busy " + seconds(busyMicros) + " of "
                + seconds(periodMicros) + " in " + turns + " turns; " + named + "others "
                + seconds(busyMicros - ofNamed);
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.2f s", micros / MICROS_PER_SECOND);
    }
}
