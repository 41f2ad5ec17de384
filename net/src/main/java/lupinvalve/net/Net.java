package lupinvalve.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.MemoryBudgets;
import lupinvalve.maintenance.TimeUsage;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.IoFilter;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/** Sockets over MINA: one processor thread for all connections, one acceptor per listener, and one connector. */
public final class Net implements Dialer {
    /** Name of the threads of a network that serves clients. */
    public static final String CLIENT_THREAD_NAME = "net";
    /** Name of the threads of any other network. */
    private static final String CONTROL_THREAD_NAME = "net control";

    private static final long THREAD_STACK_BYTES = 256 << 10;
    private static final AttributeKey LINK = new AttributeKey(Net.class, "link");
    private static final int ACCEPT_BACKLOG = 512;
    private static final int READ_BUFFER_MIN_BYTES = 4096;
    /** What one turn of the thread reads of a connection that this process has opened. */
    private static final int DIALLED_READ_MAX_BYTES = 64 << 10;
    /** What one turn of the thread reads of an accepted connection: all others wait for it. */
    private static final int ACCEPTED_READ_MAX_BYTES = 16 << 10;
    /** Attempts to open a port. */
    private static final int BIND_TRIES = 20;
    /** The pause between two of them. */
    private static final long BIND_PAUSE_MILLIS = 50;

    private final EventLoop loop;
    private final boolean urgent;
    private volatile BooleanSupplier fence;
    private volatile int maxConnections = Integer.MAX_VALUE;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final AtomicInteger accepted = new AtomicInteger();
    private final LinkBudgets clientBudgets;
    private final LinkBudgets dialledBudgets;
    private final ExecutorService threads;
    /** Tracks how long input may have waited in the socket buffers; null where that is not needed. */
    private final ReadProgress readProgress;

    private final Processor processor;
    private final NioSocketConnector connector;

    /**
     * Provides the filters that secure connections, such as TLS; later calls may return other filters, for new
     * certificates.
     */
    public interface Security {
        /** Returns the filter of new connections, dialled ones if {@code client}, else accepted ones. */
        IoFilter filter(boolean client);
    }

    private static final String SECURITY = "security";
    private final Security security;
    private final List<NioSocketAcceptor> acceptors = new CopyOnWriteArrayList<>();

    /** A network without security whose events wait their turn. */
    public Net(EventLoop loop) {
        this(loop, false);
    }

    /** @param urgent whether events of its connections go before everything else that waits for the core */
    public Net(EventLoop loop, boolean urgent) {
        this(loop, urgent, null);
    }

    /** @param security of all connections, or null for none */
    public Net(EventLoop loop, boolean urgent, Security security) {
        this(loop, urgent, security, MemoryBudgets.ofThisProcess(), CONTROL_THREAD_NAME);
    }

    /** A network without security that serves clients; what its connections keep counts towards the budgets. */
    public Net(EventLoop loop, MemoryBudgets budgets) {
        this(loop, false, null, budgets, CLIENT_THREAD_NAME);
    }

    private Net(EventLoop loop, boolean urgent, Security security, MemoryBudgets budgets, String threadName) {
        threads = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(null, work, threadName, THREAD_STACK_BYTES);
            thread.setDaemon(true);
            return thread;
        });
        clientBudgets = LinkBudgets.ofClient(budgets);
        dialledBudgets = LinkBudgets.ofDialled(budgets);
        this.loop = loop;
        this.urgent = urgent;
        this.security = security;
        readProgress = urgent ? new ReadProgress(threads) : null;
        processor = urgent ? readProgress : new Processor(threads);
        connector = new NioSocketConnector(threads, processor);
        configure(connector.getSessionConfig(), DIALLED_READ_MAX_BYTES);
        if (security != null) {
            connector.getFilterChain().addLast(SECURITY, security.filter(true));
        }
        connector.setHandler(new Handler());
    }

    /**
     * Sets the limit on open connections: another is accepted only while fewer than this many are open, dialled ones
     * included. Guards the process's file descriptors: a burst is accepted faster than the frontends can reject what
     * exceeds their limits, and with no descriptor left nothing can be dialled. Any thread.
     */
    public void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    /** Secures new connections by fresh filters of the {@link Security}; open ones keep theirs. Any thread. */
    public void reloadSecurity() {
        if (security != null) {
            connector.getFilterChain().replace(SECURITY, security.filter(true));
            acceptors.forEach(acceptor -> acceptor.getFilterChain().replace(SECURITY, security.filter(false)));
        }
    }

    /** Has the processor's thread read once more and then close the connection if that finds nothing; any thread. */
    static void retire(IoSession session) {
        Processor processor = processorOf(session);
        if (processor != null) {
            processor.scheduleClose((NioSession) session);
        } else {
            session.closeNow();
        }
    }

    /**
     * Has the processor's thread read a session whose reading was suspended, even if nothing arrives; false if it is on
     * no socket. Any thread.
     */
    static boolean readSoon(IoSession session) {
        Processor processor = processorOf(session);
        if (processor == null) {
            return false;
        }
        processor.scheduleRead((NioSession) session);
        return true;
    }

    /** The processor of a session on sockets; null for any other. */
    private static Processor processorOf(IoSession session) {
        return session instanceof NioSession nio && nio.getProcessor() instanceof Processor processor
                ? processor
                : null;
    }

    /**
     * MINA's processor, extended so that a link can refuse reads and writes. The methods here run on the processor's
     * thread, except {@code scheduleClose}, which any thread may call, like {@code wakeup}, which is inherited.
     */
    public static class Processor extends NioProcessor {
        private final Queue<NioSession> pendingCloses = new ConcurrentLinkedQueue<>();
        private final Queue<NioSession> pendingReads = new ConcurrentLinkedQueue<>();
        private final Queue<NioSession> pendingInterestChanges = new ConcurrentLinkedQueue<>();
        /** The thread that runs this processor; MINA may end it and start another. */
        private volatile Thread thread;
        /** Which connections took the thread's time, for the log. */
        private final TimeUsage usage = new TimeUsage(nowMicros());

        private static final long NO_TURN = Long.MAX_VALUE;
        /** When the last wait for the sockets ended; {@link #NO_TURN} before the first. */
        private long turnStartMicros = NO_TURN;

        /** Runs on one of {@code threads}. */
        public Processor(Executor threads) {
            super(threads);
        }

        @Override
        protected int read(NioSession session, IoBuffer in) throws Exception {
            Link link = (Link) session.getAttribute(LINK);
            if (link == null) {
                return super.read(session, in);
            }
            if (link.defersRead(session)) {
                return 0;
            }
            long startMicros = nowMicros();
            try {
                return link.read(() -> super.read(session, in));
            } finally {
                usage.took(link.ioShare(), nowMicros() - startMicros);
            }
        }

        private static long nowMicros() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
        }

        /** Records that the thread has handled input of a connection since a time. */
        private void handledInput(Link link, long startMicros) {
            usage.took(link.ioShare(), nowMicros() - startMicros);
        }

        /** Ends a turn of the thread: each socket waits for one at most. */
        private void endTurn() {
            long now = nowMicros();
            usage.waited(Math.max(0, now - turnStartMicros));
            if (usage.isPeriodOver(now)) {
                String text = usage.take(now);
                if (!text.isEmpty()) {
                    Log.info(
                            "thread %s of the sockets: %s",
                            Thread.currentThread().getName(), text);
                }
            }
        }

        @Override
        protected int select(long timeout) throws Exception {
            endTurn();
            try {
                return selectAfterCloses(timeout);
            } finally {
                turnStartMicros = nowMicros();
            }
        }

        private int selectAfterCloses(long timeout) throws Exception {
            thread = Thread.currentThread();
            for (NioSession session = pendingInterestChanges.poll();
                    session != null;
                    session = pendingInterestChanges.poll()) {
                watch(session);
            }
            for (NioSession session = pendingCloses.poll(); session != null; session = pendingCloses.poll()) {
                readBeforeClose(session);
            }
            for (NioSession session = pendingReads.poll(); session != null; session = pendingReads.poll()) {
                readOnce(session);
            }
            return super.select(timeout);
        }

        /** Ends a wait of the processor's thread for its sockets; any thread. */
        @Override
        protected void wakeup() {
            super.wakeup();
        }

        private void scheduleClose(NioSession session) {
            pendingCloses.add(session);
            wakeup();
        }

        /**
         * Has this thread watch a session for reading and writing as its state says now; any thread. MINA reads and
         * then writes the set of what is watched for, so changes of two threads could undo each other, and the session
         * would never be read or written again.
         */
        @Override
        public void updateTrafficControl(NioSession session) {
            if (Thread.currentThread() == thread) {
                watch(session);
            } else {
                pendingInterestChanges.add(session);
                wakeup();
            }
        }

        /**
         * Watches a session as its state says now. MINA overlooks a write request of which a part has been written: it
         * is in no queue any more, and its rest would never be written.
         */
        private void watch(NioSession session) {
            super.updateTrafficControl(session);
            if (session.getCurrentWriteRequest() == null || session.isWriteSuspended()) {
                return;
            }
            try {
                setInterestedInWrite(session, true);
            } catch (Exception e) {
                session.getFilterChain().fireExceptionCaught(e);
            }
        }

        private void scheduleRead(NioSession session) {
            pendingReads.add(session);
            wakeup();
        }

        /** Reads a session that may have nothing to read, so that it is known whether its peer is still there. */
        private void readOnce(NioSession session) {
            if (!session.isConnected() || session.isClosing() || session.isReadSuspended()) {
                return;
            }
            IoBuffer in = IoBuffer.allocate(READ_BUFFER_MIN_BYTES);
            try {
                read(session, in);
                if (in.position() > 0) {
                    session.getFilterChain().fireMessageReceived(in.flip());
                }
            } catch (Exception e) {
                session.getFilterChain().fireExceptionCaught(e);
            }
        }

        /** Closes a connection whose close was requested, unless input has arrived; that is passed on as usual. */
        private void readBeforeClose(NioSession session) {
            IoBuffer in = IoBuffer.allocate(READ_BUFFER_MIN_BYTES);
            try {
                if (!session.isConnected() || session.isClosing()) {
                    return;
                }
                if (link(session).readBeforeClose(() -> super.read(session, in))) {
                    session.closeNow();
                } else if (in.position() > 0) {
                    session.getFilterChain().fireMessageReceived(in.flip());
                }
            } catch (Exception e) {
                session.getFilterChain().fireExceptionCaught(e);
            }
        }

        @Override
        protected int write(NioSession session, IoBuffer out, int length) throws IOException {
            Link link = (Link) session.getAttribute(LINK);
            if (link == null) {
                return super.write(session, out, length);
            }
            if ((link.isFenced() || link.checkSendDeadline(session.getWrittenBytes()))) {
                throw new IOException("write refused: it is fenced, or its send deadline has passed");
            }
            long startMicros = nowMicros();
            try {
                return super.write(session, out, length);
            } finally {
                usage.took(link.ioShare(), nowMicros() - startMicros);
            }
        }

        /**
         * Closes the channel in one step. While a channel is registered, the JDK only shuts down its output and closes
         * it at the selector's next turn: the peer would see an orderly end (FIN) although input is unread. So the
         * channel is deregistered first; the system then resets the connection if anything is unread, and sends FIN if
         * not.
         */
        @Override
        protected void destroy(NioSession session) throws Exception {
            SelectionKey key = keyOf(session);
            if (key != null) {
                key.cancel();
                // What is ready now is found again by the next select.
                selector.selectNow(ready -> {});
                if (wakeupCalled.get()) {
                    // selectNow() has consumed the wakeup.
                    selector.wakeup();
                }
            }
            super.destroy(session);
        }

        private SelectionKey keyOf(NioSession session) {
            for (SelectionKey key : selector.keys()) {
                if (key.attachment() == session) {
                    return key;
                }
            }
            return null;
        }
    }

    private static void configure(SocketSessionConfig config, int maxReadBytes) {
        config.setTcpNoDelay(true);
        config.setReadBufferSize(READ_BUFFER_MIN_BYTES);
        config.setMaxReadBufferSize(maxReadBytes);
    }

    /** A port that is listened on. */
    public final class Listener {
        private final NioSocketAcceptor acceptor;
        private final InetSocketAddress address;

        private Listener(NioSocketAcceptor acceptor) {
            this.acceptor = acceptor;
            address = acceptor.getLocalAddress();
        }

        /** The address that is listened on, with the port that the system has chosen if none was given. */
        public InetSocketAddress address() {
            return address;
        }

        /** Connections accepted here that are not closed yet, or that still have bytes to flush; any thread. */
        public int open() {
            return acceptor.getManagedSessionCount();
        }

        /**
         * Stops accepting connections; those that are open stay, and those that wait in the backlog are accepted first.
         * Returns at once. Any thread.
         */
        public void stop() {
            stop(() -> {});
        }

        /** As {@link #stop()}; {@code then} runs on the core thread once the port is closed. */
        public void stop(Runnable then) {
            threads.execute(() -> {
                acceptor.unbind();
                loop.post(then);
            });
        }
    }

    /** Listens on an address. {@code accept} runs on MINA's thread for each connection and returns its link. */
    public Listener listen(InetSocketAddress address, Function<IoSession, Link> accept) throws IOException {
        return listen(address, false, accept);
    }

    private Listener listen(InetSocketAddress address, boolean shared, Function<IoSession, Link> accept)
            throws IOException {
        NioSocketAcceptor acceptor = new Acceptor(
                threads,
                processor,
                shared,
                accepted,
                () -> accepted.get() + connector.getManagedSessionCount() < maxConnections);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.setCloseOnDeactivation(false);
        configure(acceptor.getSessionConfig(), ACCEPTED_READ_MAX_BYTES);
        if (security != null) {
            acceptor.getFilterChain().addLast(SECURITY, security.filter(false));
        }
        acceptors.add(acceptor);
        acceptor.setHandler(new Handler() {
            @Override
            public void sessionCreated(IoSession session) {
                session.setAttribute(LINK, accept.apply(session));
            }
        });
        bind(acceptor, address);
        return new Listener(acceptor);
    }

    /**
     * Opens a port. A temporary shortage of system resources is retried, so that it does not fail a start; an address
     * that is not available fails at once. Blocks its caller meanwhile.
     */
    static void bind(NioSocketAcceptor acceptor, InetSocketAddress address) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                acceptor.bind(address);
                return;
            } catch (BindException e) {
                throw e;
            } catch (IOException e) {
                if (tries == BIND_TRIES) {
                    throw e;
                }
                Log.warn("listening on %s failed: %s; retrying", address, e.getMessage());
                pause(e);
            }
        }
    }

    private static void pause(IOException cause) throws IOException {
        try {
            Thread.sleep(BIND_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw cause;
        }
    }

    /** Listens with the same events handler for all connections. */
    public Listener listen(InetSocketAddress address, java.util.function.Supplier<Framer> framers, Link.Events events)
            throws IOException {
        return listen(address, false, framers, events);
    }

    /**
     * Listens with the same events handler for all connections.
     *
     * @param shared whether another process may listen on the address at the same time
     */
    public Listener listen(
            InetSocketAddress address, boolean shared, java.util.function.Supplier<Framer> framers, Link.Events events)
            throws IOException {
        return listen(address, shared, session -> new Link(loop, framers.get(), events, clientBudgets, urgent));
    }

    /**
     * MINA's acceptor with three additions: the address may be shared between the two processes of an upgrade;
     * connections that wait in the backlog when it closes are accepted first, since the system would reset them; and no
     * more connections are open than the limit allows. Its methods run on the acceptor's thread.
     */
    static class Acceptor extends NioSocketAcceptor {
        private static final int ROOM_CHECKS = 40;
        private static final int ROOM_CHECK_MILLIS = 5;
        private static final long SHORTAGE_PAUSE_MILLIS = 10;
        private final RepeatedWarnings warnings = new RepeatedWarnings();
        private final boolean shared;
        private final AtomicInteger accepted;
        private final BooleanSupplier hasRoom;
        /** Whether the last attempt to accept found a connection. */
        private boolean lastAttemptFoundConnection;
        /** Whether the last check found the limit reached. */
        private boolean lastCheckFoundLimitReached;

        Acceptor(
                Executor threads,
                IoProcessor<NioSession> processor,
                boolean shared,
                AtomicInteger accepted,
                BooleanSupplier hasRoom) {
            super(threads, processor);
            this.shared = shared;
            this.accepted = accepted;
            this.hasRoom = hasRoom;
        }

        @Override
        protected ServerSocketChannel open(SocketAddress address) throws Exception {
            if (!shared) {
                return super.open(address);
            }
            ServerSocketChannel channel = ServerSocketChannel.open();
            try {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
                channel.bind(address, getBacklog());
                channel.register(selector, SelectionKey.OP_ACCEPT);
                return channel;
            } catch (IOException | RuntimeException e) {
                channel.close();
                throw e;
            }
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
            if (!awaitRoom()) {
                SocketChannel refused = handle.accept();
                lastAttemptFoundConnection = refused != null;
                if (lastAttemptFoundConnection) {
                    // The peer sees FIN, or a reset if it has sent something already.
                    refused.close();
                    warnings.warn("client connection closed unread: the limit on open connections is reached");
                }
                return null;
            }
            NioSession session;
            try {
                session = acceptNext(processor, handle);
            } catch (IOException e) {
                onAcceptFailed(e);
                return null;
            }
            lastAttemptFoundConnection = session != null;
            if (lastAttemptFoundConnection) {
                accepted.incrementAndGet();
                session.getCloseFuture().addListener(closed -> accepted.decrementAndGet());
            }
            return session;
        }

        /**
         * Handles a connection that could not be accepted: those behind it can be, but MINA would stop accepting for a
         * second. Only a shortage of resources on this machine is given a pause: the port stays readable meanwhile, and
         * an immediate retry would keep a thread busy.
         */
        private void onAcceptFailed(IOException why) throws InterruptedException {
            lastAttemptFoundConnection = true;
            warnings.warn("accept failed: " + why.getMessage());
            if (lacksResources(why)) {
                Thread.sleep(SHORTAGE_PAUSE_MILLIS);
            }
        }

        private static boolean lacksResources(IOException why) {
            String text = String.valueOf(why.getMessage());
            return text.startsWith("Too many open files")
                    || text.startsWith("No buffer space")
                    || text.startsWith("Cannot allocate");
        }

        /** Accepts the connection that has waited longest, or returns null if none waits. */
        NioSession acceptNext(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
            return super.accept(processor, handle);
        }

        /**
         * Waits for connections that are about to close, up to {@link #ROOM_CHECKS} times {@link #ROOM_CHECK_MILLIS}
         * ms. If one connection has waited in vain, those behind it are refused without a wait.
         */
        private boolean awaitRoom() throws InterruptedException {
            for (int i = 0; i < ROOM_CHECKS && !lastCheckFoundLimitReached && !hasRoom.getAsBoolean(); i++) {
                Thread.sleep(ROOM_CHECK_MILLIS);
            }
            lastCheckFoundLimitReached = !hasRoom.getAsBoolean();
            return !lastCheckFoundLimitReached;
        }

        @Override
        protected void close(ServerSocketChannel handle) throws Exception {
            lastAttemptFoundConnection = true;
            for (int i = 0; i < ACCEPT_BACKLOG && lastAttemptFoundConnection; i++) {
                // MINA accepts a connection only if its selector has just reported one.
                selector.selectNow();
                processHandles(new ArrayList<>(List.of(handle)).iterator());
            }
            super.close(handle);
        }
    }

    /**
     * Forbids writing on dialled connections while {@code open} returns false: a write then fails and the connection is
     * closed. To be called before the first {@link #dial}; {@code open} runs on the processor's thread.
     */
    public void fence(BooleanSupplier open) {
        fence = open;
    }

    @Override
    public Link dial(InetSocketAddress address, Framer framer, Link.Events events) {
        Link link = new Link(loop, framer, events, dialledBudgets, urgent);
        link.fence(fence);
        link.setReadProgress(readProgress);
        if (address.isUnresolved() || connector.isDisposing()) {
            link.onClosed();
            return link;
        }
        ConnectFuture future = connector.connect(address, (session, connecting) -> session.setAttribute(LINK, link));
        link.setConnectFuture(future);
        future.addListener(done -> {
            if (future.getException() != null || future.isCanceled()) {
                link.onClosed();
            }
        });
        return link;
    }

    /** Totals over all connections since the start, including those that are closed. */
    public record Traffic(long bytesOut, long bytesIn, long messagesOut) {}

    /** Sums the traffic of all connections; any thread. */
    public Traffic traffic() {
        long out = connector.getStatistics().getWrittenBytes();
        long in = connector.getStatistics().getReadBytes();
        long messages = connector.getStatistics().getWrittenMessages();
        for (NioSocketAcceptor acceptor : acceptors) {
            out += acceptor.getStatistics().getWrittenBytes();
            in += acceptor.getStatistics().getReadBytes();
            messages += acceptor.getStatistics().getWrittenMessages();
        }
        return new Traffic(out, in, messages);
    }

    /**
     * Closes the socket of a connection attempt that is given up. MINA's own cancel counts an attempt twice if it has
     * just been established and has no session yet: the connector's thread may then end while other attempts wait for
     * it, and these never complete.
     */
    static void abandon(ConnectFuture future) {
        if (future instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request
                && request.getHandle() instanceof SocketChannel socket) {
            try {
                socket.close();
            } catch (IOException e) {
                Log.warn("cannot close the socket of a connection attempt that was given up: %s", e);
            }
        }
    }

    /**
     * Waits until all input that is older than the given age has been posted to the core. Only for a network whose
     * events are urgent. Core thread only, which it blocks.
     *
     * @param maxWaitMicros how long to wait at most
     * @return the time up to which all input has been posted, in microseconds of the event loop; older than the
     *     requested age if the wait timed out
     */
    public long awaitReadUpTo(long ageMicros, long maxWaitMicros) {
        if (readProgress == null || connector.getManagedSessionCount() == 0) {
            // No input can come while no connection is open.
            return loop.now();
        }
        if (!readProgress.await(ageMicros, maxWaitMicros)) {
            Log.warn(
                    "the thread of the sockets has not completed a read for %d us; continuing with older input",
                    readProgress.ageMicros());
        }
        long now = loop.now();
        return now - readProgress.ageMicros();
    }

    /** Closes every connection and listener, without flushing pending writes; further calls do nothing. Any thread. */
    public void close() {
        if (closing.getAndSet(true)) {
            return;
        }
        threads.execute(() -> {
            acceptors.forEach(acceptor -> acceptor.dispose(false));
            connector.dispose(false);
            processor.dispose();
            threads.shutdown();
        });
    }

    /**
     * Waits until the threads of all connections and listeners have ended, after {@link #close}.
     *
     * @param millis how long to wait at most
     * @return whether they have ended
     */
    public boolean awaitEnd(long millis) throws InterruptedException {
        return threads.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }

    /** Passes the events of a session to its link; runs on MINA's threads. */
    private static class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            link(session).onOpened(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            Link link = link(session);
            long startMicros = Processor.nowMicros();
            try {
                link.onReceived(session, (IoBuffer) message);
            } catch (Error e) {
                // MINA would pass it on and end the thread of all connections.
                exceptionCaught(session, e);
            }
            Processor processor = processorOf(session);
            if (processor != null) {
                processor.handledInput(link, startMicros);
            }
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            link(session).onSent(session);
        }

        @Override
        public void inputClosed(IoSession session) {
            link(session).onPeerClosed();
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            link(session).onClosed();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof IOException) {
                link(session).onIoError();
            } else {
                Log.failure("connection", cause);
                link(session).onProgramFault(session);
            }
            session.closeNow();
        }
    }

    static Link link(IoSession session) {
        return (Link) session.getAttribute(LINK);
    }
}
