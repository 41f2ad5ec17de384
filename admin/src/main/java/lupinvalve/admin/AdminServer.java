package lupinvalve.admin;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * The admin interface's TCP server: one line a connection, and one answer. It has threads of its own, so that a command
 * does not queue behind clients' requests. Guards the pooler against its callers: they are bounded in number, bytes and
 * time. Thread-safe.
 */
public final class AdminServer {
    /** Connections without a whole line at most; one more ends the oldest of them. */
    static final int MAX_PENDING_CONNECTIONS = 32;

    private static final int MAX_LINE_BYTES = 256;
    private static final int ACCEPT_BACKLOG = 64;
    private static final int THREAD_STACK_BYTES = 256 << 10;
    /** How long a caller may take to send its line. */
    private static final long LINE_TIMEOUT_MILLIS = 3_000;
    /** How long a caller may take to read the answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final ExecutorService threads = Executors.newCachedThreadPool(AdminServer::thread);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(AdminServer::thread);
    private final SimpleIoProcessorPool<NioSession> processor =
            new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(threads, processor);
    private final AdminCommands commands;
    /** Connections without a whole line, the oldest first. Guarded by this. */
    private final Map<IoSession, PendingLine> pendingLines = new LinkedHashMap<>();

    private static final class PendingLine {
        final StringBuilder text = new StringBuilder();
        final Future<?> timeout;

        PendingLine(Future<?> timeout) {
            this.timeout = timeout;
        }
    }

    /** @param commands what lines mean */
    public AdminServer(AdminCommands commands) {
        this.commands = commands;
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(null, work, "admin", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Opens the address; port 0 takes a free one. */
    public void bind(InetSocketAddress address) throws IOException {
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2 * MAX_LINE_BYTES);
        acceptor.setHandler(new Handler());
        acceptor.bind(address);
    }

    /** The address that is open. */
    public InetSocketAddress address() {
        return acceptor.getLocalAddress();
    }

    /** Closes the address and all connections; does not wait for it. */
    public void close() {
        threads.execute(() -> {
            acceptor.dispose(false);
            processor.dispose();
        });
        timer.shutdownNow();
    }

    private synchronized void onConnected(IoSession session) {
        Future<?> timeout =
                timer.schedule(() -> reject(session, "no line in time"), LINE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pendingLines.put(session, new PendingLine(timeout));
        if (pendingLines.size() > MAX_PENDING_CONNECTIONS) {
            reject(pendingLines.keySet().iterator().next(), "too many callers");
        }
    }

    /** Carries out a line once it is whole; bytes behind it are ignored. */
    private synchronized void onBytes(IoSession session, IoBuffer bytes) {
        PendingLine line = pendingLines.get(session);
        if (line == null) {
            return;
        }
        while (bytes.hasRemaining()) {
            char next = (char) (bytes.get() & 255);
            if (next == '\n') {
                forget(session);
                commands.execute(line.text.toString(), answer -> send(session, answer));
                return;
            }
            line.text.append(next);
            if (line.text.length() > MAX_LINE_BYTES) {
                reject(session, "a line has at most " + MAX_LINE_BYTES + " bytes");
                return;
            }
        }
    }

    /** Whether the connection had no whole line yet. */
    private synchronized boolean forget(IoSession session) {
        PendingLine line = pendingLines.remove(session);
        if (line != null) {
            line.timeout.cancel(false);
        }
        return line != null;
    }

    /** Answers a connection without a whole line, once. */
    private void reject(IoSession session, String reason) {
        if (forget(session)) {
            send(session, AdminCommands.failed(reason));
        }
    }

    private void send(IoSession session, String answer) {
        session.write(IoBuffer.wrap(answer.getBytes(US_ASCII)));
        session.closeOnFlush();
        if (!timer.isShutdown()) {
            // A caller that reads nothing would hold its descriptor for good.
            timer.schedule(session::closeNow, ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            onConnected(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            onBytes(session, (IoBuffer) message);
        }

        @Override
        public void inputClosed(IoSession session) {
            // A caller may end its side once it has sent its line, and still wants the answer.
            if (forget(session)) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            forget(session);
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("admin interface", cause);
            }
            forget(session);
            session.closeNow();
        }
    }
}
