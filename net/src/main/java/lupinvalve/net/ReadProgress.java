package lupinvalve.net;

import java.util.Iterator;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * A processor that knows up to when all that had come to its sockets has been read and told. A thread that is kept from
 * running reads late, and nothing in the bytes tells how long they waited in the system.
 */
final class ReadProgress extends Net.Processor {
    /** How long it looks at most between two passes: so old may news be although it is read at once. */
    private static final long PASS_MILLIS = 50;

    private volatile long readUpTo = System.nanoTime();
    /** Where the last wait was in vain; the core's. */
    private long givenUpAt = readUpTo - 1;

    private volatile boolean woken;
    private volatile Thread waiting;
    /** What {@link #readUpTo} becomes once this pass has read what it found. */
    private long emptyAt = readUpTo;

    ReadProgress(Executor threads) {
        super(threads);
    }

    /** For how long something may have come that has not been told, in microseconds. */
    long ageMicros() {
        return Math.max(0, (System.nanoTime() - readUpTo) / 1000);
    }

    @Override
    protected void wakeup() {
        woken = true;
        super.wakeup();
    }

    /**
     * MINA takes a wait that ends early and finds nothing for a fault of its selector, so short ones are strung
     * together.
     */
    @Override
    protected int select(long timeout) throws Exception {
        long end = System.nanoTime() + timeout * 1_000_000;
        while (true) {
            publish();
            long from = System.nanoTime();
            emptyAt = from;
            int found = super.select(Math.min(timeout, PASS_MILLIS));
            boolean early = System.nanoTime() - from < PASS_MILLIS * 1_000_000;
            if (found == 0) {
                // It has waited: what has not come by now is looked for from now on.
                long now = System.nanoTime();
                found = selector.selectNow();
                emptyAt = found == 0 ? now : emptyAt;
            }
            if (found > 0 || woken || early || System.nanoTime() >= end) {
                woken = false;
                return found;
            }
        }
    }

    private void publish() {
        if (allRead()) {
            readUpTo = emptyAt;
            Thread waits = waiting;
            if (waits != null) {
                LockSupport.unpark(waits);
            }
        }
    }

    /** Whether the pass before has left nothing in the sockets that it found readable. */
    private boolean allRead() {
        boolean all = true;
        for (Iterator<NioSession> sessions = allSessions(); sessions.hasNext(); ) {
            IoSession session = sessions.next();
            Link link = Net.link(session);
            // One that had more than fits is found again by the next look, or has been emptied just so.
            all &= link == null || link.tookAll() && !session.isReadSuspended();
        }
        return all;
    }

    /**
     * Waits until the age is no more than so much; once in vain, not again before there is progress. Core thread only.
     *
     * @param most how long to wait, in microseconds
     * @return whether it did not wait in vain
     */
    boolean await(long ageMicros, long most) {
        if (ageMicros() <= ageMicros || readUpTo == givenUpAt) {
            return true;
        }
        long from = System.nanoTime();
        waiting = Thread.currentThread();
        wakeup();
        for (long left = most * 1000;
                ageMicros() > ageMicros && left > 0;
                left = from + most * 1000 - System.nanoTime()) {
            LockSupport.parkNanos(this, left);
        }
        waiting = null;
        givenUpAt = ageMicros() > ageMicros ? readUpTo : givenUpAt;
        return readUpTo != givenUpAt;
    }
}
