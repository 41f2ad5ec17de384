package lupinvalve.subscription;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Which member a subscriber follows, and when it tries the next. Each name has its own order of members, so that
 * members carry about the same number; after a round in which none would do it waits, twice as long each time. Times in
 * microseconds.
 */
public final class FollowSchedule {
    /** Pauses after a round without success. */
    public static final long BACKOFF = 100_000, BACKOFF_MOST = 2_000_000;
    /** How long an answer may take beyond the time that a member holds the request, and a whole document. */
    public static final long ANSWER = FollowService.HOLD + 500_000, WHOLE = 3_000_000;
    /** How long a connection may take to be up and greeted: short at first, as a lease may be running out. */
    public static final long GREETING = 700_000, GREETING_MOST = 3_000_000;
    /** A lease that is granted for less comes from a member that is losing its own: another one may do better. */
    public static final long MOVE_BELOW = 600_000;
    /**
     * When one that follows another member than its first tries that again: at the earliest, and spread over as much
     * again.
     */
    public static final long HOME = 60_000_000;
    /** How long a member may answer without granting a lease before another one is tried; twice as long each time. */
    public static final long DENIED = 5_000_000, DENIED_MOST = 60_000_000;
    /** What those that leave one member together are spread over. */
    private static final long MOVE_SPREAD = 50_000;

    private final List<String> order;
    private final Random random;
    private int at, tried, rounds;
    private long awaySince, deniedSince = Long.MIN_VALUE;
    private int deniedTimes;

    /** @param seed of the pauses */
    public FollowSchedule(String subscriber, Collection<String> members, long seed) {
        order = new ArrayList<>(members);
        order.sort(Comparator.comparingLong((String member) -> mixed(subscriber + "/" + member))
                .thenComparing(member -> member));
        random = new Random(seed);
    }

    /** A hash whose order has nothing to do with the text's. */
    private static long mixed(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        return hash ^ hash >>> 33;
    }

    /** Whom to follow now. */
    public String member() {
        return order.get(at);
    }

    /** The one to follow where all are well. */
    public String first() {
        return order.get(0);
    }

    /**
     * The member would not do; {@link #member} is another one from now on, to be tried after the pause that is
     * returned.
     */
    public long failed(long nowMicros) {
        if (at == 0) {
            awaySince = nowMicros + (long) (HOME * random.nextDouble());
        }
        at = (at + 1) % order.size();
        tried++;
        if (tried < order.size()) {
            return (long) (MOVE_SPREAD * random.nextDouble());
        }
        tried = 0;
        rounds++;
        long pause = Math.min(BACKOFF_MOST, BACKOFF << Math.min(rounds - 1, 10));
        return pause / 2 + (long) (pause / 2 * random.nextDouble());
    }

    /** The member answers as it should. */
    public void answered() {
        tried = 0;
        rounds = 0;
    }

    /** The member has granted a lease, or none is wanted. */
    public void granted() {
        deniedSince = Long.MIN_VALUE;
        deniedTimes = 0;
    }

    /** The member answers as it should but grants no lease, as one whose file has them off: whether to try another. */
    public boolean denied(long nowMicros) {
        if (deniedSince == Long.MIN_VALUE) {
            deniedSince = nowMicros;
        }
        if (nowMicros - deniedSince < Math.min(DENIED_MOST, DENIED << Math.min(deniedTimes, 10))) {
            return false;
        }
        deniedSince = nowMicros;
        deniedTimes++;
        return true;
    }

    /**
     * How long an answer may take: the longer the more often members would not do, as one that is busy is not helped by
     * calls anew.
     *
     * @param patient whether a whole document may be on its way, or there is no lease that might run out
     */
    public long answerWithin(boolean patient) {
        return patient ? WHOLE : Math.min(WHOLE, ANSWER + (tried + (long) rounds * order.size()) * FollowService.HOLD);
    }

    /** How long a connection may take to be greeted. */
    public long greetingWithin() {
        return Math.min(GREETING_MOST, GREETING << Math.min(rounds, 3));
    }

    /** Whether to try the first member again, beside the one that is followed. */
    public boolean homeDue(long nowMicros) {
        return at != 0 && nowMicros - awaySince >= HOME;
    }

    /** The first member was tried again beside the other: it is followed from now on, or left alone for a while. */
    public void home(boolean good, long nowMicros) {
        if (good) {
            at = 0;
        } else {
            awaySince = nowMicros + (long) (HOME * random.nextDouble());
        }
    }
}
