package lupinvalve.net;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.TimeUsage;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;

/**
 * One TCP connection. MINA's threads only frame the input and post it; all calls of {@link Events} are made by the core
 * thread, and none after {@link Events#closed}.
 *
 * <p>There are four ways to end a connection from this side:
 *
 * <ul>
 *   <li>{@link #finish} after the final answer: what was written is flushed, then the connection is closed.
 *   <li>{@link #drop} where no answer is owed: the connection is closed at once, and bytes that are not handed to the
 *       socket yet are discarded.
 *   <li>{@link #abort} where an answer that is owed cannot be given: the peer sees a reset (RST).
 *   <li>{@link #retire} for a close that the pooler decides on without the client's request: the processor's thread
 *       reads once more, and if it finds input that is delivered as usual and the connection stays open. Input that
 *       arrives after this read stays in the socket and makes the system reset the connection, so that the client knows
 *       that its request was not read.
 * </ul>
 *
 * <p>With all but {@link #abort}, the peer sees an orderly end (FIN) if nothing is unread in the socket at the moment
 * of the close, and a reset otherwise: {@link Net.Processor#destroy} leaves that decision to the system. But
 * {@link #finish} and {@link #retire} also reset the connection if its peer has stopped reading.
 *
 * <p>A connection on which the peer sends FIN (also a half-close) or that has an I/O error is closed at once: what was
 * read before is still delivered, bytes that are not handed to the socket yet are discarded, and {@link Events#closed}
 * follows.
 */
public final class Link implements TimeUsage.User {
    /** Receives the events of a connection, on the core thread. */
    public interface Events {
        /** The connection is established; the first event. */
        void opened(Link link);

        /**
         * Complete messages, in order, and the time at which their last byte was read, in microseconds of the event
         * loop.
         */
        void messages(Link link, List<byte[]> messages, long atMicros);

        /**
         * The peer violated the protocol, or there is no room for its long message; input from here on is read and
         * discarded, and the connection is still open for a final answer.
         */
        void malformed(Link link, String why);

        /** The connection has ended, or could not be established; the last event. */
        void closed(Link link);
    }

    /**
     * A peer that leaves more than this unread has its connection reset; frontends hold back answers long before that.
     */
    private static final long PENDING_WRITE_MAX_BYTES = 16 << 20;
    /**
     * Parts from this size on are handed to MINA as they are; smaller ones are copied into one buffer with their
     * neighbours.
     */
    private static final int JOIN_BELOW_BYTES = 16 << 10;

    /** Nothing of a client that has closed may begin 0.1 s later; the rest is for the threads' turns. */
    private static final long MAX_UNREAD_MICROS = 80_000;
    /** A client that stops in the middle of a message must have its error or the close within 3 s. */
    private static final long STALLED_MESSAGE_MICROS = 2_600_000;
    /** Pause before another look at a message that is incomplete. */
    private static final long STALLED_RECHECK_MICROS = 100_000;
    /** Messages that are passed to the handler at once. */
    private static final int MESSAGES_PER_CALL_COUNT = 8;
    /** Memory of a message that waits for the core, beside its bytes. */
    private static final int MESSAGE_OVERHEAD_BYTES = 32;
    /** A connection keeps room for this many parts of its answers between two turns. */
    private static final int MAX_KEPT_PARTS_COUNT = 16;
    /** Input of one connection that may wait in the core's queue; reading pauses above it. */
    private static final int QUEUED_MAX_BYTES = 256 << 10;
    /** A connection always gets a buffer of this size, whatever others have sent, and keeps it while it is open. */
    private static final int SMALL_INPUT_BUFFER_BYTES = 4096;
    /** {@link #finish} resets a connection whose peer reads none of what is left to flush in this time. */
    private static final long FLUSH_STALL_MICROS = 1_000_000;
    /** {@link #finish} resets a connection whose peer has not read all that was left to flush in this time. */
    private static final long FLUSH_MAX_MICROS = 15_000_000;
    /**
     * A peer that still has bytes to read gets at least this long to take some of them before {@link #retire} resets
     * its connection.
     */
    private static final long UNREAD_STALL_MICROS = 1_000_000;
    /** An answer longer than this may still be in the system's send buffers, where its progress cannot be observed. */
    private static final long LONG_ANSWER_BYTES = 64 << 10;

    private static final RepeatedWarnings WARNINGS = new RepeatedWarnings();

    private final EventLoop loop;
    private final EventLoop.Source source = new EventLoop.Source(this);
    private final TimeUsage.Share ioShare = new TimeUsage.Share(this);
    private final LinkBudgets budgets;
    private final boolean urgent;
    private final Framer framer;
    private final Events events;
    // Used by MINA's thread.
    private byte[] inputBuffer = new byte[0];
    private int inputLength;
    private volatile boolean inputIgnored;
    private boolean socketEmptied = true;
    private ReadProgress readProgress;
    /** The latest time at which the byte at offset {@code sendDeadlineFromByte} may be handed to the socket. */
    private volatile long sendDeadlineMicros = Long.MAX_VALUE;

    private volatile long sendDeadlineFromByte;
    /** The latest time at which any byte from {@code sendDeadlineFromByte} on may be handed to the socket. */
    private volatile long sendEndDeadlineMicros = Long.MAX_VALUE;
    /** Whether a write was refused because of the deadline. */
    private volatile boolean sendDeadlineMissed;
    // Used by both threads, under the lock: a read and the decision to close the connection exclude each other.
    private final Object readLock = new Object();
    private long bytesRead;
    private boolean readingStopped;
    private boolean readingSuspended;
    /** Since when input may be waiting in the system; {@link Long#MAX_VALUE} if a read has found none. */
    private volatile long unreadSinceMicros = Long.MAX_VALUE;

    private int readsAfterStop;
    /** Bytes read when the core last requested the close: if more have been read since, the connection stays open. */
    private long bytesReadAtRetire = -1;

    private final AtomicInteger queuedBytes = new AtomicInteger();
    /** Input that waits until the client has read answers; core thread. */
    private final ArrayDeque<Delivery> heldDeliveries = new ArrayDeque<>(0);

    private boolean isHeldDeliveryPosted;
    /** Whether the core has paused reading. */
    private volatile boolean readingPaused;

    private volatile BooleanSupplier fence;
    /** Whether the connection has ended, as seen by MINA's thread. */
    private volatile boolean disconnected;
    /** Whether it ended by an I/O error, such as a reset, or by a fault of the program on MINA's thread. */
    private volatile boolean ioFailed;
    /** Why this side ended the connection; null if it did not. */
    private volatile EndReason endReason;

    private final long createdAt;
    private volatile SocketAddress peerAddress;
    /** Whether this process has opened the connection. */
    private volatile boolean dialled;
    // Used by the core thread.
    private IoSession session;
    private final Outbound outbound;
    /** Small parts written in this turn of the core that have not been handed to the socket's thread. */
    private List<byte[]> joined = new ArrayList<>(0);

    private int joinedBytes;

    private boolean isFlushDue;
    private long bytesProcessed;
    private long partialSinceMicros;
    private boolean hasPartialMessage;
    private long lastInputAtMicros;
    private boolean isPartialMessageWatched;
    private long bytesSentAtRead;
    private long earliestArrivalMicros;
    /** Bytes submitted when the last messages were delivered: those submitted since belong to the answer to them. */
    private long bytesSubmittedAtMessages;

    private ConnectFuture connectFuture;
    /** Whether no further event may be delivered. */
    private boolean closed;
    /** Whether the close has been requested and no input has come since. */
    private volatile boolean retiring;
    /**
     * Whether reading is paused because the peer left more than {@link Outbound#FULL_BYTES} unread; until no more than
     * half of that is left.
     */
    private volatile boolean readingPausedForBacklog;

    Link(EventLoop loop, Framer framer, Events events) {
        this(loop, framer, events, LinkBudgets.unlimited(), false);
    }

    /** @param urgent whether events of this connection go before everything else that waits for the core */
    Link(EventLoop loop, Framer framer, Events events, LinkBudgets budgets, boolean urgent) {
        this.budgets = budgets;
        this.urgent = urgent;
        this.loop = loop;
        this.framer = framer;
        this.events = events;
        createdAt = loop.now();
        outbound = new Outbound(loop, source, budgets.output(), () -> abort(EndReason.READS_TOO_SLOWLY));
    }

    // ---- MINA's threads ----

    /** One read from the socket by MINA's processor; returns the number of bytes, as a channel does. */
    interface Read {
        int run() throws Exception;
    }

    /** Whether writing is forbidden by the fence set when the connection was dialled; processor's thread. */
    boolean isFenced() {
        return fence != null && !fence.getAsBoolean();
    }

    void fence(BooleanSupplier open) {
        fence = open;
    }

    void setReadProgress(ReadProgress tracker) {
        readProgress = tracker;
    }

    /**
     * Whether a deadline of {@link #setSendDeadline} has passed before the byte that is next was handed to the socket;
     * processor's thread.
     *
     * @param written bytes handed to the socket so far
     */
    boolean checkSendDeadline(long written) {
        long fromByte = sendDeadlineFromByte;
        if (written == fromByte && loop.now() > sendDeadlineMicros
                || written >= fromByte && loop.now() > sendEndDeadlineMicros) {
            sendDeadlineMissed = true;
        }
        return sendDeadlineMissed;
    }

    /** Whether the last read since the previous call emptied the socket; true if there was none. Processor's thread. */
    boolean takeSocketEmptied() {
        boolean emptied = socketEmptied;
        socketEmptied = true;
        return emptied;
    }

    /**
     * Whether a read must wait as too much input of all connections waits for the core; reading then goes on once the
     * core has processed what waits now. Processor's thread.
     */
    boolean defersRead(IoSession from) {
        // The endpoint list must not wait behind clients.
        if (urgent || queuedBytes.get() == 0 || !budgets.unprocessedInput().isExhausted()) {
            return false;
        }
        suspendReading(from);
        loop.post(source, this::resumeReading);
        return true;
    }

    /** Reads from the socket, unless the core has decided to close the connection; processor's thread. */
    int read(Read read) throws Exception {
        synchronized (readLock) {
            if (readingStopped) {
                readsAfterStop++;
                return 0;
            }
            int count = read.run();
            bytesRead += Math.max(0, count);
            // MINA repeats the read until nothing is left or its buffer is full.
            socketEmptied = count <= 0;
            if (count == 0 && !readingSuspended) {
                unreadSinceMicros = Long.MAX_VALUE;
            } else if (count == 0 || unreadSinceMicros == Long.MAX_VALUE) {
                unreadSinceMicros = loop.now();
            }
            return count;
        }
    }

    /**
     * Reads once more before a close that the core has requested; processor's thread.
     *
     * @return whether nothing has been read since the request; the connection may then be closed, and no later read
     *     takes anything from its socket
     */
    boolean readBeforeClose(Read read) throws Exception {
        if (read(read) != 0) {
            return false;
        }
        synchronized (readLock) {
            if (readingStopped || bytesRead != bytesReadAtRetire) {
                // The connection has been used since. If finish() has ended it, its final answer may still be waiting
                // to be flushed.
                return false;
            }
            readingStopped = true;
            return true;
        }
    }

    /** Whether the core has decided to close the connection, after which nothing is read from it; any thread. */
    boolean isReadingStopped() {
        synchronized (readLock) {
            return readingStopped;
        }
    }

    /** Number of reads that the processor has tried since reading was stopped; any thread. */
    int readsAfterStop() {
        synchronized (readLock) {
            return readsAfterStop;
        }
    }

    /** What the connection took of the sockets' thread; processor's thread. */
    TimeUsage.Share ioShare() {
        return ioShare;
    }

    void setConnectFuture(ConnectFuture future) {
        dialled = true;
        connectFuture = future;
    }

    /** Queues work for the core behind what waits of this connection; any thread. */
    public void post(Runnable work) {
        if (urgent) {
            loop.postUrgent(work);
        } else {
            loop.post(source, work);
        }
    }

    /** The connection's kind and its peer's address, for the log; any thread. */
    @Override
    public String label() {
        return (dialled ? "server " : "client ") + peer();
    }

    /** The session is established; processor's thread. */
    void onOpened(IoSession opened) {
        peerAddress = opened.getRemoteAddress();
        post(() -> {
            if (closed) {
                opened.closeNow();
                return;
            }
            session = opened;
            outbound.opened(opened);
            events.opened(this);
        });
    }

    /** Frames input and posts it to the core; processor's thread. */
    void onReceived(IoSession from, IoBuffer in) {
        if (inputIgnored) {
            return;
        }
        int count = in.remaining();
        long written = from.getWrittenBytes();
        List<byte[]> messages = new ArrayList<>(2);
        String malformedReason = null;
        try {
            if (inputLength + count > inputBuffer.length) {
                growInputBuffer(
                        Math.max(inputLength + count, Math.min(inputBuffer.length * 2, inputBuffer.length + 65536)));
            }
            in.get(inputBuffer, inputLength, count);
            inputLength += count;
            int remainder = framer.cut(inputBuffer, 0, inputLength, messages);
            System.arraycopy(inputBuffer, remainder, inputBuffer, 0, inputLength - remainder);
            inputLength -= remainder;
            if (inputLength == 0 && inputBuffer.length > SMALL_INPUT_BUFFER_BYTES) {
                // Guards against many idle connections that each keep a buffer of the size of their largest message.
                releaseInputBuffer();
            }
        } catch (Framer.Malformed e) {
            malformedReason = e.getMessage();
            inputIgnored = true;
            releaseInputBuffer();
        }
        long receivedAtMicros = loop.now();
        long earliestArrival = readProgress == null ? Long.MIN_VALUE : receivedAtMicros - readProgress.ageMicros();
        boolean endsMidMessage = malformedReason != null || inputLength > 0;
        Delivery delivery = new Delivery(
                messages, count, receivedAtMicros, earliestArrival, written, endsMidMessage, malformedReason);
        budgets.unprocessedInput().add(delivery.memoryBytes);
        queuedBytes.addAndGet(delivery.memoryBytes);
        if (isInputOverShare()) {
            // Guards the core's queue against a peer that sends faster than its messages are processed.
            suspendReading(from);
            if (!isInputOverShare() && !readingPaused && !readingPausedForBacklog) {
                loop.post(source, this::resumeReading);
            }
        }
        post(delivery);
    }

    /** Whether more of the peer's input waits for the core than one connection may have there; any thread. */
    private boolean isInputOverShare() {
        int queued = queuedBytes.get();
        return queued > 0
                && (queued > QUEUED_MAX_BYTES || !budgets.unprocessedInput().allows(queued));
    }

    /** The messages of one read, delivered by the core thread in as many turns as they need. */
    private final class Delivery implements Runnable {
        private final List<byte[]> messages;
        /** Bytes of the read. */
        private final int count;
        /** Memory that it takes until it is delivered. */
        private final int memoryBytes;

        private final long receivedAtMicros;
        private final long earliestArrival;
        /** Bytes that had been handed to the socket at the read. */
        private final long written;

        private final boolean endsMidMessage;
        /** How the peer violated the protocol behind the messages, or null. */
        private final String violation;
        /** Messages delivered so far. */
        private int delivered;

        private boolean isAccounted;

        Delivery(
                List<byte[]> messages,
                int count,
                long receivedAtMicros,
                long earliestArrival,
                long written,
                boolean endsMidMessage,
                String violation) {
            this.messages = messages;
            this.count = count;
            memoryBytes = count + messages.size() * MESSAGE_OVERHEAD_BYTES;
            this.receivedAtMicros = receivedAtMicros;
            this.earliestArrival = earliestArrival;
            this.written = written;
            this.endsMidMessage = endsMidMessage;
            this.violation = violation;
        }

        @Override
        public void run() {
            if (heldDeliveries.isEmpty() || closed) {
                deliver();
            } else {
                heldDeliveries.add(this);
            }
        }

        /** Delivers what its turn allows; returns whether all has been delivered. */
        boolean deliver() {
            noteUse();
            while (delivered < messages.size() && !closed) {
                if (isInputHeld()) {
                    heldDeliveries.addFirst(this);
                    return false;
                }
                int end = Math.min(messages.size(), delivered + MESSAGES_PER_CALL_COUNT);
                List<byte[]> next = messages.subList(delivered, end);
                delivered = end;
                if (end == messages.size()) {
                    account();
                }
                deliverMessages(next, receivedAtMicros);
                if (end < messages.size() && !urgent && loop.isTurnOver()) {
                    loop.postRest(this::deliverRest);
                    return false;
                }
            }
            account();
            if (!closed && violation != null) {
                guarded(() -> events.malformed(Link.this, violation));
            }
            return true;
        }

        private void deliverRest() {
            if (deliver()) {
                deliverHeld();
            }
        }

        private void noteUse() {
            if (retiring) {
                // The client uses the connection: the read before the close has found this input, or will.
                retiring = false;
                endReason = null;
            }
            bytesSentAtRead = written;
            earliestArrivalMicros = earliestArrival;
        }

        /** Subtracts the read from what waits, as its last messages are being delivered. */
        private void account() {
            if (isAccounted) {
                return;
            }
            isAccounted = true;
            queuedBytes.addAndGet(-memoryBytes);
            budgets.unprocessedInput().add(-memoryBytes);
            bytesProcessed += count;
            if (endsMidMessage && (!hasPartialMessage || !messages.isEmpty())) {
                partialSinceMicros = receivedAtMicros;
            }
            hasPartialMessage = endsMidMessage;
            lastInputAtMicros = receivedAtMicros;
            watchPartialMessage();
            resumeReading();
        }
    }

    /** Ends a client's connection that stops in the middle of a message and stays; core thread. */
    private void watchPartialMessage() {
        if (hasPartialMessage && !dialled && !urgent && !isPartialMessageWatched && !closed) {
            isPartialMessageWatched = true;
            loop.after(STALLED_MESSAGE_MICROS, this::checkPartialMessage);
        }
    }

    private void checkPartialMessage() {
        isPartialMessageWatched = false;
        if (closed || !hasPartialMessage || inputIgnored) {
            return;
        }
        long restMicros = lastInputAtMicros + STALLED_MESSAGE_MICROS - loop.now();
        // While its input waits unread, it is not the client that has stopped.
        if (restMicros > 0 || unreadSinceMicros != Long.MAX_VALUE || hasUnprocessedBytes()) {
            isPartialMessageWatched = true;
            loop.after(Math.max(restMicros, STALLED_RECHECK_MICROS), this::checkPartialMessage);
            return;
        }
        inputIgnored = true;
        guarded(() -> events.malformed(this, "the message is incomplete"));
    }

    private void deliverMessages(List<byte[]> messages, long receivedAtMicros) {
        bytesSubmittedAtMessages = outbound.bytesSubmitted();
        guarded(() -> events.messages(this, messages, receivedAtMicros));
    }

    /** Runs a handler. If it fails no answer will follow, so the connection is reset. */
    private void guarded(Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException | Error e) {
            Log.failure("connection", e);
            abort(EndReason.FAULT);
        }
    }

    /** Whether the core is not to get more of a client's input now, though it has been read; core thread. */
    private boolean isInputHeld() {
        return !dialled && (readingPaused || readingPausedForBacklog);
    }

    /** Delivers input that was held back, in order; core thread. */
    private void deliverHeld() {
        while (!heldDeliveries.isEmpty() && (closed || !isInputHeld())) {
            Delivery first = heldDeliveries.poll();
            if (!first.deliver()) {
                return;
            }
        }
    }

    /** Resumes reading if no reason to pause it is left; core thread. */
    private void resumeReading() {
        if (!closed && !heldDeliveries.isEmpty() && !isInputHeld() && !isHeldDeliveryPosted) {
            isHeldDeliveryPosted = true;
            loop.post(source, () -> {
                isHeldDeliveryPosted = false;
                deliverHeld();
            });
        }
        if (!closed
                && !readingPaused
                && !readingPausedForBacklog
                && !isInputOverShare()
                && session != null
                && session.isReadSuspended()
                && !isReadingStopped()) {
            synchronized (readLock) {
                readingSuspended = false;
            }
            session.resumeRead();
            if (!Net.readSoon(session)) {
                unreadSinceMicros = Long.MAX_VALUE;
            }
        }
    }

    private void suspendReading(IoSession of) {
        synchronized (readLock) {
            readingSuspended = true;
            unreadSinceMicros = Math.min(unreadSinceMicros, loop.now());
        }
        of.suspendRead();
    }

    /**
     * Whether the peer may have left without this process knowing: input of it has been waiting in the system, where
     * its end may stand behind it, for so long that a request read earlier must not begin. Any thread.
     */
    public boolean mayHaveLeft() {
        return disconnected || loop.now() - unreadSinceMicros > MAX_UNREAD_MICROS;
    }

    private void growInputBuffer(int size) throws Framer.Malformed {
        int more = size - inputBuffer.length;
        if (size <= SMALL_INPUT_BUFFER_BYTES) {
            budgets.partialMessages().add(more);
        } else if (!budgets.partialMessages().reserve(more, inputBuffer.length)) {
            throw new Framer.Malformed("no room for so many long messages at once");
        }
        inputBuffer = Arrays.copyOf(inputBuffer, size);
    }

    private void releaseInputBuffer() {
        budgets.partialMessages().add(-inputBuffer.length);
        inputBuffer = new byte[0];
        inputLength = 0;
    }

    /** A write request has been handed to the socket completely; MINA's thread. */
    void onSent(IoSession to) {
        outbound.onSent(to);
        resumeReadingIfDrained(to);
    }

    private void resumeReadingIfDrained(IoSession to) {
        if (readingPausedForBacklog && outbound.hasDrained(to)) {
            readingPausedForBacklog = false;
            loop.post(source, this::resumeReading);
        }
    }

    /** Counts input that did not come through {@link #read(Read)}. */
    void countRead(int count) {
        synchronized (readLock) {
            bytesRead += count;
        }
    }

    /** The peer has sent FIN; the processor closes the connection. Processor's thread. */
    void onPeerClosed() {
        disconnected = true;
    }

    /** Reading or writing has failed; the processor closes the connection. Processor's thread. */
    void onIoError() {
        disconnected = true;
        ioFailed = true;
    }

    /** The program failed while it handled this connection, which is reset; MINA's thread. */
    void onProgramFault(IoSession faulty) {
        endReason = EndReason.FAULT;
        onIoError();
        reset(faulty);
    }

    /** The session is closed, or could not be established. MINA's threads; the core thread if a dial fails at once. */
    void onClosed() {
        disconnected = true;
        releaseInputBuffer();
        outbound.onClosed();
        inputIgnored = true;
        post(this::end);
    }

    private void end() {
        if (!closed) {
            closed = true;
            events.closed(this);
        }
        // What it had sent is dropped and no longer counted.
        deliverHeld();
    }

    /** Whether the connection has ended; {@link Events#closed} may still wait in the core's queue. Any thread. */
    public boolean hasEnded() {
        return disconnected;
    }

    /** Whether it ended by a reset or another error, not by the peer's orderly end (FIN). Any thread. */
    public boolean endedByError() {
        return ioFailed;
    }

    /** Why the connection ended; valid once {@link Events#closed} is called. Core thread. */
    public EndReason reason() {
        if (endReason != null) {
            return endReason;
        }
        return ioFailed ? EndReason.BROKE : EndReason.CLIENT_LEFT;
    }

    /** Time since this object was created, in microseconds. */
    public long ageMicros() {
        return loop.now() - createdAt;
    }

    /** The peer's address for the log, or "?" before the connection is open; any thread. */
    public String peer() {
        SocketAddress address = peerAddress;
        return address == null ? "?" : String.valueOf(address).replaceFirst("^/", "");
    }

    // ---- the core thread ----

    /**
     * Writes the parts in order; core thread. They must not be changed afterwards. Ignored before the connection is
     * open, and once it has ended or was finished or dropped. {@link #finish} flushes pending bytes, unless the peer
     * stops reading; with any other end they are discarded. A peer that has left too much unread has its connection
     * reset instead.
     */
    public void write(byte[]... parts) {
        if (closed || session == null) {
            return;
        }
        if (hasTooMuchPending()) {
            abort(EndReason.READS_TOO_SLOWLY);
            return;
        }
        // Small parts are joined, as each write is a system call.
        int from = 0;
        for (int i = 0; i <= parts.length; i++) {
            if (i == parts.length || parts[i].length >= JOIN_BELOW_BYTES) {
                writeJoined(parts, from, i);
                if (i < parts.length) {
                    flushJoined();
                    outbound.onSubmit(parts[i].length);
                    session.write(IoBuffer.wrap(parts[i]));
                }
                from = i + 1;
            }
        }
        if (outbound.isFull() && !readingPausedForBacklog) {
            // A peer that keeps sending requests without reading the answers would fill this process's memory.
            readingPausedForBacklog = true;
            suspendReading(session);
            outbound.watch();
            resumeReadingIfDrained(session);
        }
    }

    private boolean hasTooMuchPending() {
        return outbound.pendingBytes() > PENDING_WRITE_MAX_BYTES
                || isPeerBehind() && budgets.output().isExhausted();
    }

    /**
     * Pauses or resumes reading. While it is paused, what the peer sends fills the socket's buffers and then waits on
     * the peer's machine. Core thread.
     */
    public void pauseReading(boolean pause) {
        if (readingPaused == pause) {
            return;
        }
        readingPaused = pause;
        if (!closed && session != null) {
            if (pause) {
                suspendReading(session);
            } else {
                resumeReading();
            }
        }
    }

    /** Bytes written that have not been handed to the socket yet, as the peer does not read; core thread. */
    public long pendingWriteBytes() {
        return closed ? 0 : outbound.pendingBytes() + joinedBytes;
    }

    /** Whether more is pending than a peer leaves that reads at once; core thread. */
    public boolean isPeerBehind() {
        return pendingWriteBytes() > Outbound.PROMPT_BYTES;
    }

    /** Whether so many bytes are pending that answers must wait; core thread. */
    public boolean isWriteBacklogged() {
        return !closed && outbound.isFull();
    }

    /**
     * Runs {@code then} once, on the core thread, as soon as answers that waited because of {@link #isWriteBacklogged}
     * may go on; it replaces an earlier one that has not run. Core thread.
     */
    public void whenNotBacklogged(Runnable then) {
        outbound.whenNotFull(then);
    }

    /**
     * Runs {@code then} once, on the core thread, as soon as no more than the given number of bytes is pending; it
     * replaces an earlier one that has not run. Core thread.
     */
    public void whenPendingAtMost(long bytes, Runnable then) {
        outbound.whenPendingAtMost(bytes, then);
    }

    /**
     * Writes small parts in one buffer. To a client, the buffer is handed to the socket's thread when the core's turn
     * ends: a client that sends many small commands at once would otherwise cost that thread a system call for each
     * answer.
     */
    private void writeJoined(byte[][] parts, int from, int to) {
        for (int i = from; i < to; i++) {
            joined.add(parts[i]);
            joinedBytes += parts[i].length;
        }
        if (dialled || joinedBytes >= JOIN_BELOW_BYTES) {
            flushJoined();
        } else if (!isFlushDue && joinedBytes > 0) {
            isFlushDue = true;
            loop.runAtTurnEnd(() -> {
                isFlushDue = false;
                flushJoined();
            });
        }
    }

    /** Hands what has been joined to the socket's thread. */
    private void flushJoined() {
        if (joinedBytes > 0 && !closed && session != null) {
            IoBuffer buffer = IoBuffer.allocate(joinedBytes);
            for (int i = 0; i < joined.size(); i++) {
                buffer.put(joined.get(i));
            }
            outbound.onSubmit(joinedBytes);
            session.write(buffer.flip());
        }
        if (joined.size() > MAX_KEPT_PARTS_COUNT) {
            joined = new ArrayList<>(0);
        } else {
            joined.clear();
        }
        joinedBytes = 0;
    }

    /** Whether bytes have been read beyond the messages that are being delivered; core thread. */
    public boolean hasMoreInput() {
        return hasPartialMessage || hasUnprocessedBytes();
    }

    private boolean hasUnprocessedBytes() {
        return bytesRead() != bytesProcessed;
    }

    /** Bytes read from the socket so far; any thread. */
    long bytesRead() {
        synchronized (readLock) {
            return bytesRead;
        }
    }

    /** Bytes that had been handed to the socket when the messages being delivered were read; core thread. */
    public long bytesSentAtRead() {
        return bytesSentAtRead;
    }

    /** An attribute of the MINA session, set by its filters; null before the connection is open. Core thread. */
    public Object attribute(Object key) {
        return session == null ? null : session.getAttribute(key);
    }

    /**
     * The earliest time at which the messages being delivered can have reached this machine, in microseconds of the
     * event loop; {@link Long#MIN_VALUE} where that is not tracked. Core thread.
     */
    public long earliestArrivalMicros() {
        return earliestArrivalMicros;
    }

    /**
     * Sets the latest times, in microseconds of the event loop, at which the first and the last byte written from now
     * on may be handed to the socket. Guards decisions of limited validity against a processor thread that gets no time
     * to run, and against a peer that stops reading in the middle of them: if a time has passed the write fails, none
     * of the remaining bytes is sent, and the connection is closed as after an I/O error. Core thread.
     */
    public void setSendDeadline(long firstByteMicros, long lastByteMicros) {
        clearSendDeadline();
        sendDeadlineFromByte = outbound.bytesSubmitted();
        sendEndDeadlineMicros = lastByteMicros;
        sendDeadlineMicros = firstByteMicros;
    }

    /** What is written from now on has no deadline; core thread. */
    public void clearSendDeadline() {
        sendDeadlineMicros = Long.MAX_VALUE;
        sendEndDeadlineMicros = Long.MAX_VALUE;
    }

    /** Whether the connection was closed because a deadline of {@link #setSendDeadline} had passed. */
    public boolean missedSendDeadline() {
        return sendDeadlineMissed;
    }

    /** Bytes passed to {@link #write} so far; core thread. */
    public long bytesSubmitted() {
        return outbound.bytesSubmitted();
    }

    /** Whether any byte after the first {@code count} may have reached the socket; core thread. */
    public boolean mayHaveSentBeyond(long count) {
        return session != null && session.getWrittenBytes() > count;
    }

    /**
     * Requests the close of a connection that its client may be about to use; core thread. The processor's thread reads
     * once more: if that finds input, it is delivered and the connection stays open; otherwise the connection is closed
     * and {@link Events#closed} follows. The close is not requested while input waits to be delivered or an answer is
     * still being sent. A peer that has stopped reading its answer has its connection reset instead.
     *
     * @param patienceMicros for how long an incomplete message, or a long answer that may not have arrived yet, holds
     *     back the close
     * @param reason what {@link #reason} returns once the connection has ended
     * @return whether the connection has ended, is reset, or its close has been requested
     */
    public boolean retire(long patienceMicros, EndReason reason) {
        flushJoined();
        long now = loop.now();
        if (closed || session == null || retiring) {
            return closed || retiring;
        }
        boolean isMidMessage = hasPartialMessage && now - partialSinceMicros < patienceMicros;
        boolean answerInTransit = outbound.bytesSubmitted() - bytesSubmittedAtMessages > LONG_ANSWER_BYTES
                && now - outbound.lastSubmittedAtMicros() < patienceMicros;
        if (isMidMessage
                || answerInTransit
                || outbound.isDrainingWithin(Math.max(patienceMicros, UNREAD_STALL_MICROS))
                || hasUnprocessedBytes()) {
            return false;
        }
        if (outbound.pendingBytes() > 0) {
            abort(EndReason.READS_TOO_SLOWLY);
            return true;
        }
        retiring = true;
        endReason = reason;
        synchronized (readLock) {
            bytesReadAtRetire = bytesProcessed;
        }
        Net.retire(session);
        return true;
    }

    /** Whether the close has been requested and the client has not used the connection since; any thread. */
    boolean isRetiring() {
        return retiring;
    }

    /**
     * Closes the connection once all that was written has been handed to the socket; no further events follow, and
     * nothing more is read. For use after the final answer. The peer sees FIN, or a reset if it has sent something that
     * stayed unread, or if it does not read the rest in time. Core thread.
     */
    public void finish() {
        flushJoined();
        closed = true;
        if (session != null) {
            // First pause reading: a selector that still watches a socket that may not be read would return without a
            // pause.
            session.suspendRead();
        }
        synchronized (readLock) {
            readingStopped = true;
        }
        if (session != null) {
            session.closeOnFlush();
            watchFlush(loop.now());
        }
    }

    /**
     * Like {@link #finish}, unless input has been read that has not been delivered yet. Core thread.
     *
     * @return whether the connection is being closed; if not, it stays open and is read on
     */
    public boolean finishIfAllProcessed() {
        if (session != null) {
            session.suspendRead();
        }
        boolean done;
        synchronized (readLock) {
            readingStopped |= bytesRead == bytesProcessed;
            done = readingStopped;
        }
        if (done) {
            finish();
        } else {
            resumeReading();
        }
        return done;
    }

    /** Resets a connection whose peer does not read what is left to flush, which would hold its descriptor for good. */
    private void watchFlush(long since) {
        loop.after(FLUSH_STALL_MICROS, () -> {
            if (!session.isConnected()) {
                return;
            }
            boolean late = loop.now() - since >= FLUSH_MAX_MICROS;
            if (outbound.pendingBytes() > 0 && (late || !outbound.isDrainingWithin(FLUSH_STALL_MICROS))) {
                WARNINGS.warn(
                        "connection reset: its peer stopped reading before all that was left to send had been sent");
                reset(session);
            } else if (!late) {
                watchFlush(since);
            }
        });
    }

    /**
     * Resets the connection at once, so that the peer knows that not everything was answered. Bytes that have not
     * reached the peer are discarded, also those in the system's buffers. {@link Events#closed} follows. Core thread.
     *
     * @param why what {@link #reason} returns from then on
     */
    public void abort(EndReason why) {
        if (session != null && !closed) {
            endReason = why;
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
            Log.debug("cannot set up the reset of a connection that is closed already: %s", e.getMessage());
        }
        session.closeNow();
    }

    /**
     * Closes at once; no further events follow. Bytes that have not been handed to the socket are discarded. The peer
     * sees FIN, or a reset if something is unread in the socket. A connection that is being established is abandoned.
     * Core thread.
     */
    public void drop() {
        closed = true;
        if (session != null) {
            session.closeNow();
        } else if (connectFuture != null) {
            Net.abandon(connectFuture);
        }
    }
}
