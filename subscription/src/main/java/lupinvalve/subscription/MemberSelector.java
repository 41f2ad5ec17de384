package lupinvalve.subscription;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Selects the member that a subscriber watches, and decides timeouts, failover and backoff. Each subscriber has its own
 * order of members, by a hash of both names, so that subscribers are spread evenly over the members. A round in which
 * all members failed is followed by an exponential backoff with jitter.
 *
 * <p>Times are in microseconds. Confined to one thread.
 */
public final class MemberSelector {
    /** Backoff after the first round in which all members failed. */
    public static final long BACKOFF_MIN_MICROS = 100_000;
    /** Maximum backoff. */
    public static final long BACKOFF_MAX_MICROS = 2_000_000;
    /** Timeout of a response without a full document: the long poll plus a margin. */
    public static final long RESPONSE_TIMEOUT_MICROS = WatchService.LONG_POLL_MICROS + 500_000;
    /** Timeout of a response that may contain a full document; also the maximum response timeout. */
    public static final long FULL_DOCUMENT_TIMEOUT_MICROS = 3_000_000;
    /** Initial timeout of connect and handshake; short, as a lease may be about to expire. */
    public static final long HANDSHAKE_TIMEOUT_MIN_MICROS = 700_000;
    /** Maximum timeout of connect and handshake. */
    public static final long HANDSHAKE_TIMEOUT_MAX_MICROS = 3_000_000;
    /** A lease shorter than this comes from a member whose own lease is about to expire: subscribers fail over. */
    public static final long LEASE_MIN_MICROS = 600_000;
    /** Interval, plus jitter of up to the same amount, after which a subscriber retries its preferred member. */
    public static final long PREFERRED_RETRY_MICROS = 60_000_000;
    /** Time that a member may respond without granting a lease before a subscriber fails over; doubles each time. */
    public static final long DENIED_TIMEOUT_MIN_MICROS = 5_000_000;
    /** Maximum timeout for denied leases. */
    public static final long DENIED_TIMEOUT_MAX_MICROS = 60_000_000;
    /** Maximum jitter of a failover, as the subscribers of a failed member fail over together. */
    private static final long FAILOVER_JITTER_MICROS = 50_000;
    /** Maximum number of doublings of a backoff or of the timeout for denied leases; avoids overflow. */
    private static final int DOUBLINGS_MAX_COUNT = 10;

    private static final int HANDSHAKE_DOUBLINGS_MAX_COUNT = 3;
    private static final long NEVER_MICROS = Long.MIN_VALUE;

    private final List<String> memberOrder;
    private final Random random;
    private int currentIndex;
    /** Number of members that failed in the current round. */
    private int failedMemberCount;
    /** Number of consecutive rounds in which all members failed. */
    private int failedRoundCount;
    /** Start of the interval before the next attempt at the preferred member. */
    private long preferredRetryFromMicros;

    private long deniedSinceMicros = NEVER_MICROS;
    private int deniedCount;

    /**
     * Starts with the preferred member.
     *
     * @param seed of the random jitter
     */
    public MemberSelector(String subscriber, Collection<String> members, long seed) {
        memberOrder = new ArrayList<>(members);
        memberOrder.sort(Comparator.comparingLong((String member) -> hash(subscriber + "/" + member))
                .thenComparing(member -> member));
        random = new Random(seed);
    }

    /** FNV-1a with a finalizer, so that similar names do not have similar hashes. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        return hash ^ hash >>> 33;
    }

    /** The member that the subscriber currently watches. */
    public String currentMember() {
        return memberOrder.get(currentIndex);
    }

    /** The first member in this subscriber's order, watched if all are healthy. */
    public String preferredMember() {
        return memberOrder.get(0);
    }

    /**
     * Fails over from the current member to the next.
     *
     * @return the delay before connecting to the next member, in microseconds
     */
    public long failOver(long nowMicros) {
        if (currentIndex == 0) {
            postponePreferredRetry(nowMicros);
        }
        currentIndex = (currentIndex + 1) % memberOrder.size();
        failedMemberCount++;
        if (failedMemberCount < memberOrder.size()) {
            return (long) (FAILOVER_JITTER_MICROS * random.nextDouble());
        }
        failedMemberCount = 0;
        failedRoundCount++;
        long backoffMicros =
                Math.min(BACKOFF_MAX_MICROS, BACKOFF_MIN_MICROS << Math.min(failedRoundCount - 1, DOUBLINGS_MAX_COUNT));
        return backoffMicros / 2 + (long) (backoffMicros / 2 * random.nextDouble());
    }

    private void postponePreferredRetry(long nowMicros) {
        preferredRetryFromMicros = nowMicros + (long) (PREFERRED_RETRY_MICROS * random.nextDouble());
    }

    /** Resets the failure counts after a valid response. */
    public void onSuccess() {
        failedMemberCount = 0;
        failedRoundCount = 0;
    }

    /** Resets the timeout for denied leases: a lease was granted, or none is wanted. */
    public void onLeaseGranted() {
        deniedSinceMicros = NEVER_MICROS;
        deniedCount = 0;
    }

    /** Handles a response that denies a lease; returns whether to fail over. */
    public boolean onLeaseDenied(long nowMicros) {
        if (deniedSinceMicros == NEVER_MICROS) {
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
     * Timeout of a response; it grows with the number of failures, as early retries add to the load of an overloaded
     * member.
     *
     * @param allowFullDocument whether to use {@link #FULL_DOCUMENT_TIMEOUT_MICROS}: a full document may be sent, or
     *     there is no lease that might expire
     */
    public long responseTimeoutMicros(boolean allowFullDocument) {
        if (allowFullDocument) {
            return FULL_DOCUMENT_TIMEOUT_MICROS;
        }
        long failures = failedMemberCount + (long) failedRoundCount * memberOrder.size();
        return Math.min(
                FULL_DOCUMENT_TIMEOUT_MICROS, RESPONSE_TIMEOUT_MICROS + failures * WatchService.LONG_POLL_MICROS);
    }

    /** Timeout of connect and handshake. */
    public long handshakeTimeoutMicros() {
        return Math.min(
                HANDSHAKE_TIMEOUT_MAX_MICROS,
                HANDSHAKE_TIMEOUT_MIN_MICROS << Math.min(failedRoundCount, HANDSHAKE_DOUBLINGS_MAX_COUNT));
    }

    /** Whether to retry the preferred member now, in parallel to the current one. */
    public boolean isPreferredDue(long nowMicros) {
        return currentIndex != 0 && nowMicros - preferredRetryFromMicros >= PREFERRED_RETRY_MICROS;
    }

    /** Handles the end of an attempt at the preferred member: switches to it if it is up, otherwise retries later. */
    public void onPreferredAttempted(boolean up, long nowMicros) {
        if (up) {
            currentIndex = 0;
        } else {
            postponePreferredRetry(nowMicros);
        }
    }
}
