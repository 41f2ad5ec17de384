package lupinvalve.maintenance;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory for answers of all protocols: those being received from db nodes, and those that clients have not read
 * yet. Unread answers may take only a part of it, so that clients that read slowly leave room for the others. Safe for
 * all threads.
 */
public final class AnswerBudget {
    /** The part of the budget that answers may take whose clients have earlier answers unread. */
    private static final double UNREAD_RATIO = 2.0 / 3;
    /** The part of that from which such clients get no further requests served. */
    private static final double NEAR_LIMIT_RATIO = 0.75;

    /** What errors and other short answers, which are always written, may take beside the budget. */
    private static final double SHORT_ANSWERS_RATIO = 0.125;

    /** What each client may leave unread, whatever others do: a client that reads at once leaves no more. */
    public static final long GUARANTEED_UNREAD_BYTES = 64 << 10;

    /** What each answer that is being received may take, whatever others take: most are shorter. */
    public static final long GUARANTEED_INCOMING_BYTES = 16 << 10;

    private final long limitBytes;
    private final long unreadLimitBytes;
    private final AtomicLong incomingBytes = new AtomicLong();
    private final AtomicLong unreadBytes = new AtomicLong();

    /** @param limitBytes bound on all answers together */
    public AnswerBudget(long limitBytes) {
        this.limitBytes = limitBytes;
        unreadLimitBytes = (long) (limitBytes * UNREAD_RATIO);
    }

    /** Reserves memory for a part of an answer that a db node is sending; false if it is not available. */
    public boolean reserveIncoming(long bytes) {
        if (incomingBytes.addAndGet(bytes) + unreadBytes.get() > limitBytes) {
            incomingBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * Reserves memory for a further part of an answer that a db node is sending, within the answer's share; false if it
     * is not available. What each answer is guaranteed is available in any case.
     *
     * @param heldBytes what the answer has reserved already
     */
    public boolean reserveIncoming(long bytes, long heldBytes) {
        if (heldBytes + bytes <= GUARANTEED_INCOMING_BYTES) {
            incomingBytes.addAndGet(bytes);
            return true;
        }
        long taken = incomingBytes.get() + unreadBytes.get();
        return FairShare.allows(heldBytes, GUARANTEED_INCOMING_BYTES, taken, limitBytes) && reserveIncoming(bytes);
    }

    /** Releases what {@link #reserveIncoming} has reserved. */
    public void releaseIncoming(long bytes) {
        incomingBytes.addAndGet(-bytes);
    }

    /**
     * Whether a complete answer may be kept until its client has read it.
     *
     * @param heldBytes what the client has unread already; one that has nothing unread is not denied its answer because
     *     of other clients that read slowly
     */
    public boolean hasRoom(long bytes, long heldBytes) {
        long unreadThen = unreadBytes.get() + bytes;
        return heldBytes > 0
                ? unreadThen <= unreadLimitBytes
                        && (heldBytes + bytes <= GUARANTEED_UNREAD_BYTES || allowsUnread(heldBytes))
                : unreadThen + incomingBytes.get() <= limitBytes;
    }

    /** Whether a client that has this much unread may have more, see {@link FairShare}. */
    public boolean allowsUnread(long heldBytes) {
        return FairShare.allows(
                heldBytes, GUARANTEED_UNREAD_BYTES, unreadBytes.get(), (long) (unreadLimitBytes * NEAR_LIMIT_RATIO));
    }

    /** Counts bytes of answers that clients have not read; releases them if the number is negative. */
    public void addUnread(long bytes) {
        unreadBytes.addAndGet(bytes);
    }

    /** Whether unread answers take most of their part, so that clients with unread answers must read first. */
    public boolean isNearLimit() {
        return unreadBytes.get() > unreadLimitBytes * NEAR_LIMIT_RATIO;
    }

    /** Whether unread answers take more than the whole budget, with all that is written beside it. */
    public boolean isExhausted() {
        return unreadBytes.get() >= limitBytes * (1 + SHORT_ANSWERS_RATIO);
    }

    /** Whether more than half is taken. */
    public boolean isHalfTaken() {
        return incomingBytes.get() + unreadBytes.get() > limitBytes / 2;
    }

    /** Bytes of answers that are being received. */
    public long incomingBytes() {
        return incomingBytes.get();
    }

    /** Bytes of answers that clients have not read. */
    public long unreadBytes() {
        return unreadBytes.get();
    }

    /** Bound on all answers together. */
    public long limitBytes() {
        return limitBytes;
    }

    /** What is taken, for the log. */
    @Override
    public String toString() {
        return "unread " + unreadBytes + " and incoming " + incomingBytes + " of " + limitBytes + " bytes";
    }
}
