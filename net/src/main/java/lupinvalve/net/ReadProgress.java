package lupinvalve.net;

import java.util.Iterator;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * A processor that tracks up to which time all input of its sockets has been read and posted. A thread that gets no
 * time to run reads late, and the input does not show how long it waited in the system's buffers.
 */
final class ReadProgress extends Net.Processor {
    /** The longest wait of one pass; input that is read at once can still be considered this old. */
    private static final long PASS_MAX_MILLIS = 50;

    /** The time up to which all input has been read; written by the processor's thread. */
    private volatile long readUpToNanos = System.nanoTime();
    /** The value of {@code readUpToNanos} at which the last wait timed out; core thread. */
    private long gaveUpAtNanos = readUpToNanos - 1;

    /** Whether {@link #wakeup} has been called, so that the select must return to MINA. */
    private volatile boolean woken;
    /** The core thread while it waits in {@link #await}. */
    private volatile Thread waitingThread;
    /** What {@link #readUpToNanos} becomes once this pass has read what it found; processor's thread. */
    private long socketsEmptyAtNanos = readUpToNanos;

    ReadProgress(Executor threads) {
        super(threads);
    }

    /** How long input may have been waiting without being posted, in microseconds; any thread. */
    long ageMicros() {
        return Math.max(0, (System.nanoTime() - readUpToNanos) / 1000);
    }

    @Override
    protected void wakeup() {
        woken = true;
        super.wakeup();
    }

    /**
     * MINA takes a select that returns early with nothing for a fault of its selector, so several short selects make up
     * one of the requested length.
     */
    @Override
    protected int select(long timeout) throws Exception {
        long deadlineNanos = System.nanoTime() + timeout * 1_000_000;
        while (true) {
            publish();
            long startNanos = System.nanoTime();
            socketsEmptyAtNanos = startNanos;
            int found = super.select(Math.min(timeout, PASS_MAX_MILLIS));
            boolean endedEarly = System.nanoTime() - startNanos < PASS_MAX_MILLIS * 1_000_000;
            if (found == 0) {
                // The select has waited and found nothing. If the look that follows finds nothing either, all that had
                // arrived by this time has been read.
                long nowNanos = System.nanoTime();
                found = selector.selectNow();
                socketsEmptyAtNanos = found == 0 ? nowNanos : socketsEmptyAtNanos;
            }
            if (found > 0 || woken || endedEarly || System.nanoTime() >= deadlineNanos) {
                woken = false;
                return found;
            }
        }
    }

    private void publish() {
        if (allRead()) {
            readUpToNanos = socketsEmptyAtNanos;
            Thread awaiting = waitingThread;
            if (awaiting != null) {
                LockSupport.unpark(awaiting);
            }
        }
    }

    /** Whether the previous pass has emptied all sockets that it found readable. */
    private boolean allRead() {
        boolean all = true;
        for (Iterator<NioSession> sessions = allSessions(); sessions.hasNext(); ) {
            IoSession session = sessions.next();
            Link link = Net.link(session);
            // A socket with more input than fits into one read is found again by the next select, or has been emptied
            // exactly.
            all &= link == null || link.takeSocketEmptied() && !session.isReadSuspended();
        }
        return all;
    }

    /**
     * Waits until {@link #ageMicros} is at most the given age. After a wait that timed out it does not wait again
     * before there is progress. Blocks the core thread, which alone may call it.
     *
     * @param maxWaitMicros how long to wait at most
     * @return false if this call has waited and timed out
     */
    boolean await(long ageMicros, long maxWaitMicros) {
        if (ageMicros() <= ageMicros || readUpToNanos == gaveUpAtNanos) {
            return true;
        }
        long startNanos = System.nanoTime();
        waitingThread = Thread.currentThread();
        wakeup();
        for (long remainingNanos = maxWaitMicros * 1000;
                ageMicros() > ageMicros && remainingNanos > 0;
                remainingNanos = startNanos + maxWaitMicros * 1000 - System.nanoTime()) {
            LockSupport.parkNanos(this, remainingNanos);
        }
        waitingThread = null;
        gaveUpAtNanos = ageMicros() > ageMicros ? readUpToNanos : gaveUpAtNanos;
        return readUpToNanos != gaveUpAtNanos;
    }
}
