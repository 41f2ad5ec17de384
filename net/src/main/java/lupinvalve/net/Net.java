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

/** MINA as the program uses it: one processor thread for all connections, one acceptor a listener, one connector. */
public final class Net implements Dialer {
    private static final AttributeKey LINK = new AttributeKey(Net.class, "link");
    private static final int BACKLOG = 512;
    private static final int READ_LEAST = 4096;
    /** How often a port is tried to be opened, and the rest between two tries. */
    private static final int BIND_TRIES = 20;

    private static final long BIND_PAUSE_MILLIS = 50;
    /** Of messages that are not whole: a third of the least heap that a pooler is given. */
    private static final long UNFINISHED_MOST = 14 << 20;

    private final EventLoop loop;
    private final boolean urgent;
    private volatile BooleanSupplier fence;
    private volatile int sessionsMost = Integer.MAX_VALUE;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final AtomicInteger accepted = new AtomicInteger();
    private final Room memory = new Room(UNFINISHED_MOST);
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "net", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });
    /** Where it matters how long bytes may have waited in the system; null elsewhere. */
    private final ReadProgress progress;

    private final Processor processor;
    private final NioSocketConnector connector;

    /** What keeps strangers out of connections; it may give other filters later than it did at first. */
    public interface Security {
        IoFilter filter(boolean client);
    }

    private static final String SECURITY = "security";
    private final Security security;
    private final List<NioSocketAcceptor> acceptors = new CopyOnWriteArrayList<>();

    public Net(EventLoop loop) {
        this(loop, false);
    }

    /** @param urgent whether what happens on its connections goes before all that waits for the core */
    public Net(EventLoop loop, boolean urgent) {
        this(loop, urgent, null);
    }

    /** @param security of all connections, or null for none */
    public Net(EventLoop loop, boolean urgent, Security security) {
        this.loop = loop;
        this.urgent = urgent;
        this.security = security;
        progress = urgent ? new ReadProgress(threads) : null;
        processor = urgent ? progress : new Processor(threads);
        connector = new NioSocketConnector(threads, processor);
        setUp(connector.getSessionConfig());
        if (security != null) {
            connector.getFilterChain().addLast(SECURITY, security.filter(true));
        }
        connector.setHandler(new Handler());
    }

    /**
     * Connections are let in only while fewer than so many are open, dialled ones counted. Guards the process's
     * descriptors: a burst is taken in faster than what is past the fronts' bounds can be told so, and with none left
     * nothing can be dialled.
     */
    public void setMaxConnections(int sessions) {
        sessionsMost = sessions;
    }

    /** Connections from now on are secured as it is said now; those that are up stay. */
    public void reloadSecurity() {
        if (security != null) {
            connector.getFilterChain().replace(SECURITY, security.filter(true));
            acceptors.forEach(acceptor -> acceptor.getFilterChain().replace(SECURITY, security.filter(false)));
        }
    }

    /** Has a connection ended after a last look by the thread of its processor. */
    static void retire(IoSession session) {
        if (session instanceof NioSession nio && nio.getProcessor() instanceof Processor processor) {
            processor.lookOnceMore(nio);
        } else {
            session.closeNow();
        }
    }

    /** MINA's processor, whose reads each connection may bar. */
    public static class Processor extends NioProcessor {
        private final Queue<NioSession> retired = new ConcurrentLinkedQueue<>();

        public Processor(Executor threads) {
            super(threads);
        }

        @Override
        protected int read(NioSession session, IoBuffer in) throws Exception {
            Link link = (Link) session.getAttribute(LINK);
            return link == null ? super.read(session, in) : link.read(() -> super.read(session, in));
        }

        @Override
        protected int select(long timeout) throws Exception {
            for (NioSession session = retired.poll(); session != null; session = retired.poll()) {
                lastLook(session);
            }
            return super.select(timeout);
        }

        private void lookOnceMore(NioSession session) {
            retired.add(session);
            wakeup();
        }

        /**
         * Closes a connection whose end was asked for, unless something has come by now; that is passed on like all
         * that is read.
         */
        private void lastLook(NioSession session) {
            IoBuffer in = IoBuffer.allocate(READ_LEAST);
            try {
                if (!session.isConnected() || session.isClosing()) {
                    return;
                }
                if (link(session).lastLook(() -> super.read(session, in))) {
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
            if (link != null && (link.isShut() || link.isTooLate(session.getWrittenBytes()))) {
                throw new IOException("what was decided may no longer go out");
            }
            return super.write(session, out, length);
        }

        /**
         * Closes the channel in one step. As long as it is registered the JDK only shuts it for writing, and closes it
         * at the selector's next turn: its peer reads an end in order, whatever lies unread. So it is taken from the
         * selector first; the system then resets the connection where anything is unread, and ends it in order where
         * nothing is.
         */
        @Override
        protected void destroy(NioSession session) throws Exception {
            SelectionKey key = keyOf(session);
            if (key != null) {
                key.cancel();
                // What is found ready now is found again by the next select.
                selector.selectNow(ready -> {});
                if (wakeupCalled.get()) {
                    // That call took it.
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

    private static void setUp(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setReadBufferSize(READ_LEAST);
        config.setMaxReadBufferSize(65536);
    }

    /** A port that is listened on. */
    public final class Listener {
        private final NioSocketAcceptor acceptor;
        private final InetSocketAddress address;

        private Listener(NioSocketAcceptor acceptor) {
            this.acceptor = acceptor;
            address = acceptor.getLocalAddress();
        }

        public InetSocketAddress address() {
            return address;
        }

        /** Connections taken here that are not closed yet, or on which something is still to be written. */
        public int open() {
            return acceptor.getManagedSessionCount();
        }

        /** Takes no new connections; those open stay, and those that wait to be taken are. */
        public void stop() {
            stop(() -> {});
        }

        /** The same; {@code then} runs on the core thread once it is done. */
        public void stop(Runnable then) {
            threads.execute(() -> {
                acceptor.unbind();
                loop.post(then);
            });
        }
    }

    /** Hands each connection's link to {@code accept}, which gives its events; it runs on MINA's thread. */
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
                () -> accepted.get() + connector.getManagedSessionCount() < sessionsMost);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false);
        setUp(acceptor.getSessionConfig());
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
     * Opens a port. What the system lacks for a moment is asked for again: a start must not fail by it. An address that
     * can't be had is told at once.
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
                Log.warn("listening on %s failed: %s; tried again", address, e.getMessage());
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

    /** Listens with the same events for all connections. */
    public Listener listen(InetSocketAddress address, java.util.function.Supplier<Framer> framers, Link.Events events)
            throws IOException {
        return listen(address, false, framers, events);
    }

    /**
     * Listens with the same events for all connections.
     *
     * @param shared whether another process may listen on the address at the same time
     */
    public Listener listen(
            InetSocketAddress address, boolean shared, java.util.function.Supplier<Framer> framers, Link.Events events)
            throws IOException {
        return listen(address, shared, session -> new Link(loop, framers.get(), events, memory, urgent));
    }

    /**
     * MINA's acceptor with three more duties: the address may be shared between the two processes of an upgrade, the
     * connections that wait to be taken when it closes are taken first, since the system would reset them, and no more
     * are open than there is room for.
     */
    static class Acceptor extends NioSocketAcceptor {
        private static final int TURNS = 40, TURN = 5;
        private static final long LACK_MILLIS = 10;
        private final RepeatedWarnings warnings = new RepeatedWarnings();
        private final boolean shared;
        private final AtomicInteger accepted;
        private final BooleanSupplier room;
        private boolean took, crowded;

        Acceptor(
                Executor threads,
                IoProcessor<NioSession> processor,
                boolean shared,
                AtomicInteger accepted,
                BooleanSupplier room) {
            super(threads, processor);
            this.shared = shared;
            this.accepted = accepted;
            this.room = room;
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
        protected NioSession accept(IoProcessor<NioSession> by, ServerSocketChannel handle) throws Exception {
            if (!roomSoon()) {
                SocketChannel turnedAway = handle.accept();
                took = turnedAway != null;
                if (took) {
                    turnedAway.close();
                    warnings.warn("client turned away unread: no descriptor is left for it");
                }
                return null;
            }
            NioSession session;
            try {
                session = takeNext(by, handle);
            } catch (IOException e) {
                failed(e);
                return null;
            }
            took = session != null;
            if (took) {
                accepted.incrementAndGet();
                session.getCloseFuture().addListener(closed -> accepted.decrementAndGet());
            }
            return session;
        }

        /**
         * One connection could not be taken; those behind it can. MINA would stop taking any for a second. Only what
         * this machine lacks is given a moment: the connection stays readable meanwhile, and asking again at once would
         * keep a thread busy.
         */
        private void failed(IOException why) throws InterruptedException {
            took = true;
            warnings.warn("accept failed: " + why.getMessage());
            if (lacksResources(why)) {
                Thread.sleep(LACK_MILLIS);
            }
        }

        private static boolean lacksResources(IOException why) {
            String text = String.valueOf(why.getMessage());
            return text.startsWith("Too many open files")
                    || text.startsWith("No buffer space")
                    || text.startsWith("Cannot allocate");
        }

        /** Takes the connection that has waited longest, or gives null where none waits. */
        NioSession takeNext(IoProcessor<NioSession> by, ServerSocketChannel handle) throws Exception {
            return super.accept(by, handle);
        }

        /**
         * Waits a little for connections that are being ended; those that come behind one that waited in vain don't.
         */
        private boolean roomSoon() throws InterruptedException {
            for (int i = 0; i < TURNS && !crowded && !room.getAsBoolean(); i++) {
                Thread.sleep(TURN);
            }
            crowded = !room.getAsBoolean();
            return !crowded;
        }

        @Override
        protected void close(ServerSocketChannel handle) throws Exception {
            took = true;
            for (int i = 0; i < BACKLOG && took; i++) {
                // MINA takes a connection only where its selector has just seen one.
                selector.selectNow();
                processHandles(new ArrayList<>(List.of(handle)).iterator());
            }
            super.close(handle);
        }
    }

    /** Nothing more goes out on connections that were dialled while this says no; before the first is. */
    public void fence(BooleanSupplier open) {
        fence = open;
    }

    @Override
    public Link dial(InetSocketAddress address, Framer framer, Link.Events events) {
        Link link = new Link(loop, framer, events, memory, urgent);
        link.fence(fence);
        link.progress(progress);
        if (address.isUnresolved() || connector.isDisposing()) {
            link.ended();
            return link;
        }
        ConnectFuture future = connector.connect(address, (session, connecting) -> session.setAttribute(LINK, link));
        link.dialling(future);
        future.addListener(done -> {
            if (future.getException() != null || future.isCanceled()) {
                link.ended();
            }
        });
        return link;
    }

    /** What has gone over all connections since the start, those that are closed included. */
    public record Traffic(long bytesOut, long bytesIn, long messagesOut) {}

    /** Sums of all connections; from any thread. */
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
     * Closes the socket under a dial that is given up. MINA's own cancel counts a dial twice that has just come up and
     * has no session yet: its connector's thread may then end while other dials wait for it, and these never come up.
     */
    static void abandon(ConnectFuture dialling) {
        if (dialling instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request
                && request.getHandle() instanceof SocketChannel socket) {
            try {
                socket.close();
            } catch (IOException e) {
                Log.warn("a dial that was given up could not be closed: %s", e);
            }
        }
    }

    /**
     * Waits, no longer than so, until all that had come before the given age has been handed to the core; for one whose
     * events go first. Core thread only.
     *
     * @return the time up to which that holds, which is older than the age where the wait was in vain
     */
    public long awaitReadUpTo(long ageMicros, long most) {
        if (progress == null || connector.getManagedSessionCount() == 0) {
            // Nothing comes where no connection is up.
            return loop.now();
        }
        if (!progress.await(ageMicros, most)) {
            Log.warn("nothing has been read for %d us", progress.ageMicros());
        }
        long now = loop.now();
        return now - progress.ageMicros();
    }

    /** Closes every connection and listener; once done it does nothing more. */
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

    /** Waits until the threads of all connections and listeners have ended, so long at most; after {@link #close}. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        return threads.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }

    private static class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            link(session).opened(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            link(session).received(session, (IoBuffer) message);
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            link(session).sent(session);
        }

        @Override
        public void inputClosed(IoSession session) {
            link(session).leaves();
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            link(session).ended();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof IOException) {
                link(session).broken();
            } else {
                Log.failure("connection", cause);
                link(session).failed(session);
            }
            session.closeNow();
        }
    }

    static Link link(IoSession session) {
        return (Link) session.getAttribute(LINK);
    }
}
