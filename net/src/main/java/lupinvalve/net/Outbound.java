package lupinvalve.net;

import lupinvalve.core.EventLoop;
import org.apache.mina.core.session.IoSession;

/**
 * What has been written on one connection and its peer has not taken yet. Tells when there is room again, and finds
 * peers that take nothing: what they leave unread must not be held for good. Core thread only, but for {@link #sent}.
 */
final class Outbound {
    /** With so much unread a connection is full: nothing more is read from its peer, and answers wait. */
    static final long FULL_BYTES = 1 << 20;
    /** A peer for whom something waits must take a byte in this time. */
    private static final long STALLED_MICROS = 15_000_000;
    /** How often that is looked at. */
    private static final long LOOK_MICROS = 3_000_000;

    private final EventLoop loop;
    private final Runnable stalled;
    private IoSession session;
    private volatile Runnable room;
    private volatile long roomFrom;
    private long handed, writtenAt;
    /**
     * What the peer had taken at the last look, when that had changed, and since when each look has found something
     * unread.
     */
    private long taken, takenAt, unreadSince = Long.MAX_VALUE;

    private boolean isWatched;

    /** @param stalled ends the connection, as its peer takes nothing */
    Outbound(EventLoop loop, Runnable stalled) {
        this.loop = loop;
        this.stalled = stalled;
    }

    void opened(IoSession opened) {
        session = opened;
    }

    /** So much is about to be written. */
    void writes(int bytes) {
        handed += bytes;
        writtenAt = loop.now();
    }

    /** Bytes given to the connection so far. */
    long handed() {
        return handed;
    }

    /** When the last bytes were given to it. */
    long writtenAt() {
        return writtenAt;
    }

    /** Bytes that the peer's machine has not taken yet, as far as this side knows. */
    long unread() {
        return session == null || !session.isConnected() ? 0 : session.getScheduledWriteBytes();
    }

    boolean isFull() {
        return unread() > FULL_BYTES;
    }

    /** Runs {@code then} once, on the core thread, when no more than so many bytes are unread. */
    void whenRoom(long bytes, Runnable then) {
        roomFrom = bytes;
        room = then;
        if (session != null) {
            // It may have been read between the look and the wish.
            sent(session);
            watch();
        }
    }

    /** Something has been written whole to the socket; MINA's thread. */
    void sent(IoSession to) {
        Runnable then = room;
        if (then != null && to.getScheduledWriteBytes() <= roomFrom) {
            room = null;
            loop.post(then);
        }
    }

    /**
     * Whether something is unread, and the peer has taken some of it less than so long ago. The time counts from the
     * first look that finds something unread: if it was this process that stood still, nothing is held against the
     * peer.
     */
    boolean awaitsPeer(long patienceMicros) {
        look();
        return unread() > 0 && loop.now() - Math.max(unreadSince, takenAt) < patienceMicros;
    }

    private void look() {
        long now = loop.now();
        long written = session == null ? 0 : session.getWrittenBytes();
        if (written != taken) {
            taken = written;
            takenAt = now;
        }
        unreadSince = unread() == 0 ? Long.MAX_VALUE : Math.min(unreadSince, now);
    }

    /** From now on, for as long as anything is unread, the peer must take some of it now and then. */
    void watch() {
        if (!isWatched) {
            isWatched = true;
            look();
            loop.after(LOOK_MICROS, this::watched);
        }
    }

    private void watched() {
        isWatched = false;
        if (unread() == 0) {
            return;
        }
        if (awaitsPeer(STALLED_MICROS)) {
            watch();
        } else {
            stalled.run();
        }
    }
}
