package lupinvalve.net;

import lupinvalve.core.EventLoop;
import lupinvalve.maintenance.AnswerBudget;
import org.apache.mina.core.session.IoSession;

/**
 * Tracks what has been written on one connection and not been handed to the socket yet, since the peer does not read.
 * Notifies when enough of it has drained, and finds peers that read nothing, whose pending bytes would be kept for
 * good. Core thread only, except {@link #onSent} and {@link #onClosed}.
 */
final class Outbound {
    /** With more pending bytes than this, nothing more is read from the peer, and answers wait. */
    static final long FULL_BYTES = 1 << 20;
    /** A peer that reads at once leaves no more than this pending, which every connection may have. */
    static final long PROMPT_BYTES = AnswerBudget.GUARANTEED_UNREAD_BYTES;
    /** Answers that have waited go on once no more than this is pending. */
    private static final long RESUME_BYTES = 256 << 10;
    /** A peer with pending bytes must take at least one byte in this time. */
    private static final long STALLED_MICROS = 15_000_000;
    /** Interval of the checks for that. */
    private static final long CHECK_MICROS = 3_000_000;

    private final EventLoop loop;
    private final EventLoop.Source source;
    private final OutputMeter meter;
    private final PendingOutputCharge charge;
    private final Runnable onStalled;
    private IoSession session;
    /** Runs on the core thread once no more than {@code drainThresholdBytes} are pending; null if nothing waits. */
    private volatile Runnable onDrained;

    private volatile long drainThresholdBytes;
    private long bytesSubmitted;
    private long lastSubmittedAtMicros;
    /** Bytes handed to the socket at the last sample. */
    private long bytesTaken;
    /** When a sample last found that number changed. */
    private long bytesTakenAtMicros;
    /** Since when all samples have found pending bytes; {@link Long#MAX_VALUE} if the last one found none. */
    private long pendingSinceMicros = Long.MAX_VALUE;

    /** Whether a check of the peer's progress is scheduled. */
    private boolean isWatched;

    /**
     * @param source of the connection's tasks
     * @param meter counts the memory of what is pending
     * @param onStalled ends the connection of a peer that reads nothing
     */
    Outbound(EventLoop loop, EventLoop.Source source, OutputMeter meter, Runnable onStalled) {
        this.loop = loop;
        this.source = source;
        this.meter = meter;
        charge = new PendingOutputCharge(meter);
        this.onStalled = onStalled;
    }

    void opened(IoSession opened) {
        session = opened;
    }

    /** Counts a write request that is about to be submitted. */
    void onSubmit(int bytes) {
        bytesSubmitted += bytes;
        lastSubmittedAtMicros = loop.now();
        charge.submit(bytes);
    }

    /** Bytes submitted to the connection so far. */
    long bytesSubmitted() {
        return bytesSubmitted;
    }

    /** When bytes were last submitted. */
    long lastSubmittedAtMicros() {
        return lastSubmittedAtMicros;
    }

    /** Bytes that have not been handed to the socket yet; those in the system's buffers are not counted. */
    long pendingBytes() {
        return session == null || !session.isConnected() ? 0 : session.getScheduledWriteBytes();
    }

    /** Whether more is pending than one connection may have: {@link #FULL_BYTES}, or its share if that is less. */
    boolean isFull() {
        long pending = pendingBytes();
        return pending > FULL_BYTES || pending > PROMPT_BYTES && !meter.allows(pending);
    }

    /** Whether so much of what was too much has drained that the peer may be read again; any thread. */
    boolean hasDrained(IoSession to) {
        long pending = to.getScheduledWriteBytes();
        return pending <= PROMPT_BYTES / 2 || pending <= FULL_BYTES / 2 && meter.allows(pending);
    }

    /** Runs {@code then} once, on the core thread, as soon as answers that waited as it was full may go on. */
    void whenNotFull(Runnable then) {
        whenPendingAtMost(Math.min(RESUME_BYTES, pendingBytes() / 2), then);
    }

    /** Runs {@code then} once, on the core thread, as soon as no more than {@code bytes} are pending. */
    void whenPendingAtMost(long bytes, Runnable then) {
        drainThresholdBytes = bytes;
        onDrained = then;
        if (session != null) {
            // The bytes may have drained between the caller's check and this call.
            notifyIfDrained(session);
            watch();
        }
    }

    /** A write request has been handed to the socket completely; MINA's thread. */
    void onSent(IoSession to) {
        charge.onSent(to.getWrittenBytes());
        notifyIfDrained(to);
    }

    /** The connection has ended, or could not be established; MINA's threads, or the core thread. */
    void onClosed() {
        charge.end();
    }

    private void notifyIfDrained(IoSession to) {
        Runnable then = onDrained;
        if (then != null && to.getScheduledWriteBytes() <= drainThresholdBytes) {
            onDrained = null;
            loop.post(source, then);
        }
    }

    /**
     * Whether bytes are pending and the socket has accepted some of them within {@code stallMicros}. The time counts
     * from the first sample that finds pending bytes, so that a stall of this process is not held against the peer.
     */
    boolean isDrainingWithin(long stallMicros) {
        sample();
        return pendingBytes() > 0 && loop.now() - Math.max(pendingSinceMicros, bytesTakenAtMicros) < stallMicros;
    }

    private void sample() {
        long now = loop.now();
        long written = session == null ? 0 : session.getWrittenBytes();
        charge.settle(written);
        if (written != bytesTaken) {
            bytesTaken = written;
            bytesTakenAtMicros = now;
        }
        pendingSinceMicros = pendingBytes() == 0 ? Long.MAX_VALUE : Math.min(pendingSinceMicros, now);
    }

    /** From now on, while bytes are pending, the peer must take some of them every {@link #STALLED_MICROS}. */
    void watch() {
        if (!isWatched) {
            isWatched = true;
            sample();
            loop.after(CHECK_MICROS, this::checkStalled);
        }
    }

    private void checkStalled() {
        isWatched = false;
        if (pendingBytes() == 0) {
            return;
        }
        if (isDrainingWithin(STALLED_MICROS)) {
            watch();
        } else {
            onStalled.run();
        }
    }
}
