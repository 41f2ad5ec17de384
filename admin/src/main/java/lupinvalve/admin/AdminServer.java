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
 * The admin interface's TCP server: one command line and one answer per connection. It has its own threads, so that a
 * command does not queue behind clients' requests. Connections are limited in number, bytes and time, so that a faulty
 * caller does not exhaust the pooler. Thread-safe.
 */
public final class AdminServer {
    /** Maximum number of connections that have not sent a complete line; one more closes the oldest of them. */
    static final int MAX_PENDING_CONNECTIONS = 32;

    private static final int MAX_LINE_BYTES = 256;
    private static final int ACCEPT_BACKLOG = 64;
    private static final int THREAD_STACK_BYTES = 256 << 10;
    /** Time from the connection's opening within which a caller must send its line. */
    private static final long LINE_TIMEOUT_MILLIS = 3_000;
    /** Time within which a caller must read the answer. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final ExecutorService executor = Executors.newCachedThreadPool(AdminServer::newThread);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(AdminServer::newThread);
    private final SimpleIoProcessorPool<NioSession> processor =
            new SimpleIoProcessorPool<>(NioProcessor.class, executor, 1, null);
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(executor, processor);
    private final AdminCommands commands;
    /** Connections that have not sent a complete line, the oldest first. Guarded by this. */
    private final Map<IoSession, PendingLine> pendingLines = new LinkedHashMap<>();

    private static final class PendingLine {
        final StringBuilder text = new StringBuilder();
        final Future<?> timeout;

        PendingLine(Future<?> timeout) {
            this.timeout = timeout;
        }
    }

    /** @param commands executes the command lines */
    public AdminServer(AdminCommands commands) {
        this.commands = commands;
    }

    private static Thread newThread(Runnable work) {
        Thread thread = new Thread(null, work, "admin", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Listens on the address; port 0 selects a free port. */
    public void bind(InetSocketAddress address) throws IOException {
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2 * MAX_LINE_BYTES);
        acceptor.setHandler(new Handler());
        acceptor.bind(address);
    }

    /** The address that the server listens on. */
    public InetSocketAddress address() {
        return acceptor.getLocalAddress();
    }

    /** Closes the listener and all connections asynchronously. */
    public void close() {
        executor.execute(() -> {
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

    /** Executes the line once it is complete; bytes after the line feed are ignored. */
    private synchronized void onBytes(IoSession session, IoBuffer bytes) {
        PendingLine line = pendingLines.get(session);
        if (line == null) {
            return;
        }
        while (bytes.hasRemaining()) {
            char next = (char) (bytes.get() & 255);
            if (next == '\n') {
                removePending(session);
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

    /** Removes a connection from the pending ones; true if it was pending. */
    private synchronized boolean removePending(IoSession session) {
        PendingLine line = pendingLines.remove(session);
        if (line != null) {
            line.timeout.cancel(false);
        }
        return line != null;
    }

    /** Answers a connection that has not sent a complete line with an error and closes it. */
    private void reject(IoSession session, String reason) {
        if (removePending(session)) {
            send(session, AdminCommands.failed(reason));
        }
    }

    private void send(IoSession session, String answer) {
        session.write(IoBuffer.wrap(answer.getBytes(US_ASCII)));
        session.closeOnFlush();
        if (!timer.isShutdown()) {
            // A caller that does not read would hold its file descriptor indefinitely.
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
            // A caller may half-close after its line and still expects the answer; only a connection without a complete
            // line is closed.
            if (removePending(session)) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            removePending(session);
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("admin interface", cause);
            }
            removePending(session);
            session.closeNow();
        }
    }
}
