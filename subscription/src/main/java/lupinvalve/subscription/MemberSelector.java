package lupinvalve.subscription;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Selects the member that a subscriber watches, and decides timeouts, failover and backoff. Each subscriber has its own
 * order of members, by a hash of both names, so that the members have about the same number of subscribers. After a
 * round in which all members failed there is an exponential backoff with jitter.
 *
 * <p>Times are in microseconds. One thread uses it.
 */
public final class MemberSelector {
    /** Backoff after the first round in which all members failed. */
    public static final long BACKOFF_MIN_MICROS = 100_000;
    /** Backoff at most. */
    public static final long BACKOFF_MAX_MICROS = 2_000_000;
    /** Timeout of a response without a full document: the long poll and a margin. */
    public static final long RESPONSE_TIMEOUT_MICROS = WatchService.LONG_POLL_MICROS + 500_000;
    /** Timeout of a response that may have a full document. */
    public static final long FULL_DOCUMENT_TIMEOUT_MICROS = 3_000_000;
    /** Timeout of connect and handshake; short at first, as a lease may be running out. */
    public static final long HANDSHAKE_TIMEOUT_MIN_MICROS = 700_000;
    /** Timeout of connect and handshake at most. */
    public static final long HANDSHAKE_TIMEOUT_MAX_MICROS = 3_000_000;
    /** A lease for less than this is from a member whose own lease runs out: subscribers fail over. */
    public static final long LEASE_MIN_MICROS = 600_000;
    /**
     * After this, and jitter of up to as much, a subscriber of another member attempts to return to its preferred one.
     */
    public static final long PREFERRED_RETRY_MICROS = 60_000_000;
    /** How long a member may respond without granting a lease before its subscribers fail over; doubles each time. */
    public static final long DENIED_TIMEOUT_MIN_MICROS = 5_000_000;
    /** The timeout for denied leases at most. */
    public static final long DENIED_TIMEOUT_MAX_MICROS = 60_000_000;
    /** Jitter of the subscribers that leave a member together. */
    private static final long FAILOVER_JITTER_MICROS = 50_000;
    /** Doublings of a backoff that are computed at most. */
    private static final int DOUBLINGS_MAX_COUNT = 10;

    private static final int HANDSHAKE_DOUBLINGS_MAX_COUNT = 3;
    private static final long NEVER = Long.MIN_VALUE;

    private final List<String> order;
    private final Random random;
    private int current;
    /** Members that failed in this round. */
    private int failedInRound;
    /** Rounds in a row in which all members failed. */
    private int failedRounds;
    /** From when the time to the next attempt at the preferred member counts. */
    private long preferredRetryFromMicros;

    private long deniedSinceMicros = NEVER;
    private int deniedCount;

    /**
     * Starts with the preferred member.
     *
     * @param seed of the jitter
     */
    public MemberSelector(String subscriber, Collection<String> members, long seed) {
        order = new ArrayList<>(members);
        order.sort(Comparator.comparingLong((String member) -> hash(subscriber + "/" + member))
                .thenComparing(member -> member));
        random = new Random(seed);
    }

    /** FNV-1a with a finalizer, as similar texts must not have similar hashes. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        return hash ^ hash >>> 33;
    }

    /** The member to watch now. */
    public String currentMember() {
        return order.get(current);
    }

    /** The member to watch if all are healthy. */
    public String preferredMember() {
        return order.get(0);
    }

    /**
     * Fails over from the current member to the next.
     *
     * @return the delay before the attempt at the next one
     */
    public long failOver(long nowMicros) {
        if (current == 0) {
            postponePreferred(nowMicros);
        }
        current = (current + 1) % order.size();
        failedInRound++;
        if (failedInRound < order.size()) {
            return (long) (FAILOVER_JITTER_MICROS * random.nextDouble());
        }
        failedInRound = 0;
        failedRounds++;
        long backoffMicros =
                Math.min(BACKOFF_MAX_MICROS, BACKOFF_MIN_MICROS << Math.min(failedRounds - 1, DOUBLINGS_MAX_COUNT));
        return backoffMicros / 2 + (long) (backoffMicros / 2 * random.nextDouble());
    }

    private void postponePreferred(long nowMicros) {
        preferredRetryFromMicros = nowMicros + (long) (PREFERRED_RETRY_MICROS * random.nextDouble());
    }

    /** The member has responded as it should. */
    public void onSuccess() {
        failedInRound = 0;
        failedRounds = 0;
    }

    /** The member has granted a lease, or none is wanted. */
    public void onLeaseGranted() {
        deniedSinceMicros = NEVER;
        deniedCount = 0;
    }

    /** The member has responded but granted no lease. Returns whether to fail over. */
    public boolean onLeaseDenied(long nowMicros) {
        if (deniedSinceMicros == NEVER) {
            deniedSinceMicros = nowMicros;
        }
        long timeoutMicros = Math.min(
                DENIED_TIMEOUT_MAX_MICROS, DENIED_TIMEOUT_MIN_MICROS << Math.min(deniedCount, DOUBLINGS_MAX_COUNT));
        if (nowMicros - deniedSinceMicros < timeoutMicros) {
            return false;
        }
        deniedSinceMicros = nowMicros;
        deniedCount++;
        return true;
    }

    /**
     * Timeout of a response; it grows with the failures, as retries don't help an overloaded member.
     *
     * @param patient whether a full document may be sent, or there is no lease that might run out
     */
    public long responseTimeoutMicros(boolean patient) {
        if (patient) {
            return FULL_DOCUMENT_TIMEOUT_MICROS;
        }
        long failures = failedInRound + (long) failedRounds * order.size();
        return Math.min(
                FULL_DOCUMENT_TIMEOUT_MICROS, RESPONSE_TIMEOUT_MICROS + failures * WatchService.LONG_POLL_MICROS);
    }

    /** Timeout of connect and handshake. */
    public long handshakeTimeoutMicros() {
        return Math.min(
                HANDSHAKE_TIMEOUT_MAX_MICROS,
                HANDSHAKE_TIMEOUT_MIN_MICROS << Math.min(failedRounds, HANDSHAKE_DOUBLINGS_MAX_COUNT));
    }

    /** Whether to attempt the preferred member again, beside the current one. */
    public boolean isPreferredDue(long nowMicros) {
        return current != 0 && nowMicros - preferredRetryFromMicros >= PREFERRED_RETRY_MICROS;
    }

    /**
     * An attempt at the preferred member has ended: it is the current one if it is up, else there is a later attempt.
     */
    public void onPreferredAttempted(boolean up, long nowMicros) {
        if (up) {
            current = 0;
        } else {
            postponePreferred(nowMicros);
        }
    }
}
