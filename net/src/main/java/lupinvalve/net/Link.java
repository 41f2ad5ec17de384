package lupinvalve.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.log.RepeatedWarnings;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;

/**
 * One connection. MINA's threads only frame what comes in and post it; all calls to the outside are made by the core
 * thread, and none after {@link Events#closed}.
 *
 * <p>There are four ways to end one. {@link #finish} is for when the last word has been said; {@link #drop} for when
 * there is nobody to say it to; {@link #abort} for when what is due can't be said any more: a reset tells the peer so.
 * {@link #retire} is for an end that the pooler chooses by itself: the thread of the sockets takes a last look, and
 * what it finds is told like all else, while the connection goes on. What comes behind that look stays in the socket
 * and makes the system reset the connection, so that its client knows that it was not read:
 * {@link Net.Processor#destroy} sees to it that the system decides between an end in order and a reset in the moment of
 * the close.
 */
public final class Link {
    /** What happens on a connection, told on the core thread. */
    public interface Events {
        void opened(Link link);

        /** Whole messages, in order, and when the last byte of them came. */
        void messages(Link link, List<byte[]> messages, long atMicros);

        /** The peer broke the protocol; the connection is still open for a last word. */
        void malformed(Link link, String why);

        /** The connection is over, or never came up. */
        void closed(Link link);
    }

    /** What a peer may leave unread before its connection is reset; answers wait long before that. */
    private static final long UNREAD_MOST = 16 << 20;
    /** From this size on bytes are handed to MINA as they are, not copied together with what stands beside them. */
    private static final int LARGE = 16 << 10;

    /** Bytes of one connection that may wait for the core. */
    private static final int AHEAD_MOST = 256 << 10;
    /** In this time a peer must take some of the last words, and in the other all of them. */
    private static final long FLUSH = 1_000_000, FLUSH_MOST = 15_000_000;
    /** A peer that has something to read is given so long to take some of it, before its connection is ended. */
    private static final long READ_PATIENCE = 1_000_000;
    /** More than this may still be on its way through the system's buffers, where nobody sees it. */
    private static final long LONG_ANSWER = 64 << 10;

    private static final RepeatedWarnings WARNINGS = new RepeatedWarnings();

    private final EventLoop loop;
    private final Room memory;
    private final boolean urgent;
    private final Framer framer;
    private final Events events;
    // MINA's side.
    private byte[] kept = new byte[0];
    private int length;
    private boolean deaf;
    private boolean tookAll = true;
    private ReadProgress progress;
    /** When what is written past so many bytes may begin to go out at the latest. */
    private volatile long beginBy = Long.MAX_VALUE, beginsAfter;

    private volatile boolean tooLate;
    // Both sides, under the gate: a read and the decision to end the connection exclude each other.
    private final Object gate = new Object();
    private long bytesRead;
    private boolean barred;
    private int barredReads;
    /** Bytes read when the core last asked for the end: where more have come since, the connection goes on. */
    private long retiredAt = -1;

    private final AtomicInteger ahead = new AtomicInteger();
    /**
     * The core wants no more to be read for now; and it wants to know once the peer has read most of what was written.
     */
    private volatile boolean held;

    private volatile BooleanSupplier fence;
    /** How the connection ended, as MINA's side saw it. */
    private volatile boolean left, broke;
    /** Why this side ended it by itself; null where it did not. */
    private volatile EndReason endedBy;

    private final long createdAt;
    // The core's side.
    private IoSession session;
    private final Outbound outbound;
    private long bytesTold, unfinishedSince;
    private boolean rest;
    private long writtenAtRead, unreadSince;
    /** How much had been handed over when the last messages were told: what has been since answers them. */
    private long handedAtTold;

    private ConnectFuture dialling;
    private boolean over;
    /** Whether the end has been asked for, and nothing has come since. */
    private volatile boolean retiring;
    /** Whether the peer has so much to read that nothing is read from it. */
    private volatile boolean full;

    Link(EventLoop loop, Framer framer, Events events) {
        this(loop, framer, events, new Room(Long.MAX_VALUE), false);
    }

    /** @param urgent whether what happens goes before all that waits for the core */
    Link(EventLoop loop, Framer framer, Events events, Room memory, boolean urgent) {
        this.memory = memory;
        this.urgent = urgent;
        this.loop = loop;
        this.framer = framer;
        this.events = events;
        createdAt = loop.now();
        outbound = new Outbound(loop, () -> abort(EndReason.READS_TOO_SLOWLY));
    }

    // ---- MINA's threads ----

    /** One read from the socket, as MINA's processor does it. */
    interface Read {
        int run() throws Exception;
    }

    /** Whether what it was dialled for may no longer go out. */
    boolean isShut() {
        return fence != null && !fence.getAsBoolean();
    }

    void fence(BooleanSupplier open) {
        fence = open;
    }

    void progress(ReadProgress of) {
        progress = of;
    }

    /** Whether the first byte of what is to begin in time would be late by now; processor's thread. */
    boolean isTooLate(long written) {
        if (written == beginsAfter && loop.now() > beginBy) {
            tooLate = true;
        }
        return tooLate;
    }

    /** Whether the reads since the last call have left nothing behind; processor's thread. */
    boolean tookAll() {
        boolean all = tookAll;
        tookAll = true;
        return all;
    }

    /** Reads, unless the core has decided to end the connection. */
    int read(Read read) throws Exception {
        synchronized (gate) {
            if (barred) {
                barredReads++;
                return 0;
            }
            int count = read.run();
            bytesRead += Math.max(0, count);
            // MINA reads on until nothing is left or its buffer is full.
            tookAll = count <= 0;
            return count;
        }
    }

    /**
     * Takes the last look before an end that the core has asked for; processor's thread.
     *
     * @return whether nothing has come since, so that the connection may be closed; nothing more is read then
     */
    boolean lastLook(Read read) throws Exception {
        if (read(read) != 0) {
            return false;
        }
        synchronized (gate) {
            if (barred || bytesRead != retiredAt) {
                // It has been used since; where that ended it, its last words may still be on their way.
                return false;
            }
            barred = true;
            return true;
        }
    }

    /** Whether the core has decided to end the connection, and nothing more is read from it. */
    boolean isBarred() {
        synchronized (gate) {
            return barred;
        }
    }

    /** How often the processor came to read all the same. */
    int barredReads() {
        synchronized (gate) {
            return barredReads;
        }
    }

    void dialling(ConnectFuture future) {
        dialling = future;
    }

    private void post(Runnable work) {
        if (urgent) {
            loop.postUrgent(work);
        } else {
            loop.post(work);
        }
    }

    void opened(IoSession opened) {
        post(() -> {
            if (over) {
                opened.closeNow();
                return;
            }
            session = opened;
            outbound.opened(opened);
            events.opened(this);
        });
    }

    void received(IoSession from, IoBuffer in) {
        if (deaf) {
            return;
        }
        int more = in.remaining();
        long written = from.getWrittenBytes();
        List<byte[]> messages = new ArrayList<>(2);
        String fault = null;
        try {
            if (length + more > kept.length) {
                grow(Math.max(length + more, Math.min(kept.length * 2, kept.length + 65536)));
            }
            in.get(kept, length, more);
            length += more;
            int rest = framer.cut(kept, 0, length, messages);
            System.arraycopy(kept, rest, kept, 0, length - rest);
            length -= rest;
            if (length == 0 && kept.length > 4096) {
                // Guards against many connections each keeping the room of their largest message.
                clear();
            }
        } catch (Framer.Malformed e) {
            fault = e.getMessage();
            deaf = true;
            clear();
        }
        long at = loop.now();
        long since = progress == null ? Long.MIN_VALUE : at - progress.ageMicros();
        String why = fault;
        boolean behind = why != null || length > 0;
        if (ahead.addAndGet(more) > AHEAD_MOST) {
            // Guards the core's queue against a peer that sends faster than its messages can be worked off.
            from.suspendRead();
            if (ahead.get() <= AHEAD_MOST && !held && !full) {
                from.resumeRead();
            }
        }
        post(() -> {
            ahead.addAndGet(-more);
            readOn();
            bytesTold += more;
            if (retiring) {
                // Its client uses it: the last look has found this, or will.
                retiring = false;
                endedBy = null;
            }
            loop.recordQueueDelay(loop.now() - at);
            if (behind && (!rest || !messages.isEmpty())) {
                unfinishedSince = at;
            }
            rest = behind;
            writtenAtRead = written;
            unreadSince = since;
            tell(messages, at, why);
        });
    }

    /** Has the front take what was read; where it fails, no answer will come, and the peer is told so by a reset. */
    private void tell(List<byte[]> messages, long at, String why) {
        try {
            handedAtTold = messages.isEmpty() ? handedAtTold : outbound.handed();
            if (!over && !messages.isEmpty()) {
                events.messages(this, messages, at);
            }
            if (!over && why != null) {
                events.malformed(this, why);
            }
        } catch (RuntimeException | Error e) {
            Log.failure("connection", e);
            abort(EndReason.FAULT);
        }
    }

    /** Reads again where nothing stands against it any more. */
    private void readOn() {
        if (!over
                && !held
                && !full
                && ahead.get() <= AHEAD_MOST
                && session != null
                && session.isReadSuspended()
                && !isBarred()) {
            session.resumeRead();
        }
    }

    private void grow(int size) throws Framer.Malformed {
        if (!memory.take(size - kept.length)) {
            throw new Framer.Malformed("no room for so many long messages at once");
        }
        kept = Arrays.copyOf(kept, size);
    }

    private void clear() {
        memory.take(-kept.length);
        kept = new byte[0];
        length = 0;
    }

    /** Something has been written whole to the socket. */
    void sent(IoSession to) {
        outbound.sent(to);
        if (full && to.getScheduledWriteBytes() <= Outbound.FULL_BYTES / 2) {
            full = false;
            loop.post(this::readOn);
        }
    }

    /** Counts bytes that came otherwise than by {@link #read(Read)}. */
    void arrived(int count) {
        synchronized (gate) {
            bytesRead += count;
        }
    }

    void leaves() {
        left = true;
    }

    void broken() {
        left = true;
        broke = true;
    }

    /** The program failed while it worked for this connection; MINA's thread. */
    void failed(IoSession on) {
        endedBy = EndReason.FAULT;
        broken();
        reset(on);
    }

    void ended() {
        left = true;
        clear();
        deaf = true;
        post(this::end);
    }

    private void end() {
        if (!over) {
            over = true;
            events.closed(this);
        }
    }

    /** Whether the connection has ended, told or not: the core may be behind. */
    public boolean hasEnded() {
        return left;
    }

    /** Whether it ended in a reset or another fault, not by the peer's word. */
    public boolean endedByError() {
        return broke;
    }

    /** Why it ended, where its {@link Events#closed} tells that it did. */
    public EndReason reason() {
        if (endedBy != null) {
            return endedBy;
        }
        return broke ? EndReason.BROKE : EndReason.CLIENT_LEFT;
    }

    /** For how long it has been open, in microseconds. */
    public long ageMicros() {
        return loop.now() - createdAt;
    }

    /** The other end's address, for the log. */
    public String peer() {
        return session == null
                ? "?"
                : String.valueOf(session.getRemoteAddress()).replaceFirst("^/", "");
    }

    // ---- the core thread ----

    public void write(byte[]... parts) {
        if (over || session == null) {
            return;
        }
        int size = 0;
        for (byte[] part : parts) {
            size += part.length;
        }
        if (outbound.unread() > UNREAD_MOST) {
            abort(EndReason.READS_TOO_SLOWLY);
            return;
        }
        outbound.writes(size);
        // Small parts go out together: each write is a call to the system.
        int from = 0;
        for (int i = 0; i <= parts.length; i++) {
            if (i == parts.length || parts[i].length >= LARGE) {
                together(parts, from, i);
                if (i < parts.length) {
                    session.write(IoBuffer.wrap(parts[i]));
                }
                from = i + 1;
            }
        }
        if (outbound.isFull() && !full) {
            // A peer that asks on and does not read would fill this machine's memory.
            full = true;
            session.suspendRead();
            outbound.watch();
            sent(session);
        }
    }

    /** Whether nothing more is read for now, so that what the peer sends waits in its own machine. */
    public void pauseReading(boolean wait) {
        if (held == wait) {
            return;
        }
        held = wait;
        if (!over && session != null) {
            if (wait) {
                session.suspendRead();
            } else {
                readOn();
            }
        }
    }

    /** Bytes written that the peer's machine has not taken yet. */
    public long pendingWriteBytes() {
        return over ? 0 : outbound.unread();
    }

    /** Whether the peer has so much to read that answers wait. */
    public boolean isWriteBacklogged() {
        return !over && outbound.isFull();
    }

    /** Runs {@code then} once, on the core thread, when no more than so many bytes are unread. */
    public void whenPendingAtMost(long bytes, Runnable then) {
        outbound.whenRoom(bytes, then);
    }

    private void together(byte[][] parts, int from, int to) {
        int size = 0;
        for (int i = from; i < to; i++) {
            size += parts[i].length;
        }
        if (size > 0) {
            IoBuffer buffer = IoBuffer.allocate(size);
            for (int i = from; i < to; i++) {
                buffer.put(parts[i]);
            }
            session.write(buffer.flip());
        }
    }

    /** Whether bytes have come behind the messages that are being told. */
    public boolean more() {
        return rest || untold();
    }

    private boolean untold() {
        return read() != bytesTold;
    }

    /** Bytes read from the socket so far. */
    long read() {
        synchronized (gate) {
            return bytesRead;
        }
    }

    /** How many bytes had gone out when the messages that are being told came in. */
    public long writtenAtRead() {
        return writtenAtRead;
    }

    /** What MINA's filters know of the connection. */
    public Object attribute(Object key) {
        return session == null ? null : session.getAttribute(key);
    }

    /** The earliest time at which the messages that are being told may have come; long ago where nobody knows. */
    public long earliestArrivalMicros() {
        return unreadSince;
    }

    /**
     * What is written from now on may begin to go out until then. Guards decisions that hold for a time against a
     * processor that is kept from running: if it is late the connection ends as by a fault, with none of it sent.
     */
    public void beginBy(long micros) {
        beginBy = Long.MAX_VALUE;
        beginsAfter = outbound.handed();
        beginBy = micros;
    }

    /** Whether the connection has ended because something would have begun to go out too late. */
    public boolean tooLate() {
        return tooLate;
    }

    /** Bytes given to {@link #write} so far. */
    public long handed() {
        return outbound.handed();
    }

    /** Whether any byte past the given count may have reached the socket. */
    public boolean mayHaveLeft(long count) {
        return session != null && session.getWrittenBytes() > count;
    }

    /**
     * Asks for the end of a connection that its client may be about to use. {@link Events#closed} follows, unless
     * something has come by the time of the last look: that is told, and the connection goes on. If there is something
     * read that has not been told yet, or an answer is still on its way out, the end is not asked for.
     *
     * @param patience for how long the beginning of a message, or a long answer that may not have arrived, holds back
     *     the end
     * @param reason what {@link #reason} gives once it has ended
     * @return whether the end has been asked for
     */
    public boolean retire(long patience, EndReason reason) {
        long now = loop.now();
        if (over || session == null || retiring) {
            return over || retiring;
        }
        boolean half = rest && now - unfinishedSince < patience;
        boolean arrives = outbound.handed() - handedAtTold > LONG_ANSWER && now - outbound.writtenAt() < patience;
        if (half || arrives || outbound.awaitsPeer(Math.max(patience, READ_PATIENCE)) || untold()) {
            return false;
        }
        if (outbound.unread() > 0) {
            abort(EndReason.READS_TOO_SLOWLY);
            return true;
        }
        retiring = true;
        endedBy = reason;
        synchronized (gate) {
            retiredAt = bytesTold;
        }
        Net.retire(session);
        return true;
    }

    /** Whether the end has been asked for, and its client has not used the connection since. */
    boolean isRetiring() {
        return retiring;
    }

    /**
     * Closes once all that was written has been handed to the socket; no further events come, and nothing more is read.
     * For when the last word has been said: what lies unread then makes a reset.
     */
    public void finish() {
        over = true;
        if (session != null) {
            // First: a processor that may not read what it is told of would come round without a pause.
            session.suspendRead();
        }
        synchronized (gate) {
            barred = true;
        }
        if (session != null) {
            session.closeOnFlush();
            flushes(loop.now());
        }
    }

    /** The same, unless something has been read that has not been told yet; whether it is done. */
    public boolean finishIfAllProcessed() {
        if (session != null) {
            session.suspendRead();
        }
        boolean done;
        synchronized (gate) {
            barred |= bytesRead == bytesTold;
            done = barred;
        }
        if (done) {
            finish();
        } else {
            readOn();
        }
        return done;
    }

    /** A peer that does not read the last words would hold its descriptor for good. */
    private void flushes(long since) {
        loop.after(FLUSH, () -> {
            if (!session.isConnected()) {
                return;
            }
            boolean late = loop.now() - since >= FLUSH_MOST;
            if (outbound.unread() > 0 && (late || !outbound.awaitsPeer(FLUSH))) {
                WARNINGS.warn("a connection is reset: its peer has not read the last words");
                reset(session);
            } else if (!late) {
                flushes(since);
            }
        });
    }

    /**
     * Ends the connection at once by a reset, so that its peer knows that not all was answered; {@link Events#closed}
     * follows.
     */
    public void abort(EndReason why) {
        if (session != null && !over) {
            endedBy = why;
            reset(session);
        }
    }

    private static void reset(IoSession session) {
        try {
            if (session.getConfig() instanceof SocketSessionConfig config) {
                config.setSoLinger(0);
            }
        } catch (RuntimeIoException e) {
            // It is closed already.
            Log.debug("no reset: %s", e.getMessage());
        }
        session.closeNow();
    }

    /** Closes at once; no further events come. */
    public void drop() {
        over = true;
        if (session != null) {
            session.closeNow();
        } else if (dialling != null) {
            Net.abandon(dialling);
        }
    }
}
