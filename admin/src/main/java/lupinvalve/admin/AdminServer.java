package lupinvalve.admin;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Iterator;
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
 * The operators' address: one line a connection, and one answer. It has threads of its own, so that a call does not
 * stand behind what clients send. Guards the pooler against its callers: they are bounded in number, bytes and time.
 */
public final class AdminServer {
    /** Callers at once; one more ends the one that has been here longest without a whole line. */
    static final int MAX_CONNECTIONS = 32;

    private static final int LINE_MOST = 256, BACKLOG = 64;
    /** How long a caller may take to say its line, and to read the answer. */
    private static final long LINE_WAIT_MILLIS = 3_000, READ_WAIT_MILLIS = 1_000;

    private final ExecutorService threads = Executors.newCachedThreadPool(AdminServer::thread);
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(AdminServer::thread);
    private final SimpleIoProcessorPool<NioSession> processor =
            new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(threads, processor);
    private final AdminCommands calls;
    /** Who has not said a whole line yet, the longest here first. */
    private final Map<IoSession, Caller> unheard = new LinkedHashMap<>();

    private static final class Caller {
        final StringBuilder line = new StringBuilder();
        Future<?> limit;
    }

    public AdminServer(AdminCommands calls) {
        this.calls = calls;
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(null, work, "door", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    /** Opens the address. */
    public void bind(InetSocketAddress address) throws IOException {
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2 * LINE_MOST);
        acceptor.setHandler(new Handler());
        acceptor.bind(address);
    }

    public InetSocketAddress address() {
        return acceptor.getLocalAddress();
    }

    public void close() {
        threads.execute(() -> {
            acceptor.dispose(false);
            processor.dispose();
        });
        clock.shutdownNow();
    }

    private synchronized void came(IoSession session) {
        Caller caller = new Caller();
        caller.limit =
                clock.schedule(() -> answer(session, "fail no line in time"), LINE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        unheard.put(session, caller);
        if (unheard.size() > MAX_CONNECTIONS) {
            Iterator<IoSession> eldest = unheard.keySet().iterator();
            answer(eldest.next(), "fail too many callers");
        }
    }

    /** Takes what has come; a line that is whole is carried out. Bytes behind it are nobody's. */
    private synchronized void heard(IoSession session, IoBuffer bytes) {
        Caller caller = unheard.get(session);
        if (caller == null) {
            return;
        }
        while (bytes.hasRemaining()) {
            char c = (char) (bytes.get() & 255);
            if (c == '\n') {
                forget(session);
                calls.execute(caller.line.toString(), text -> say(session, text));
                return;
            }
            caller.line.append(c);
            if (caller.line.length() > LINE_MOST) {
                answer(session, "fail a line has at most " + LINE_MOST + " bytes");
                return;
            }
        }
    }

    private synchronized Caller forget(IoSession session) {
        Caller caller = unheard.remove(session);
        if (caller != null) {
            caller.limit.cancel(false);
        }
        return caller;
    }

    /** Answers one who has not said a line; once. */
    private void answer(IoSession session, String text) {
        if (forget(session) != null) {
            say(session, text + "\n");
        }
    }

    private void say(IoSession session, String text) {
        session.write(IoBuffer.wrap(text.getBytes(US_ASCII)));
        session.closeOnFlush();
        if (!clock.isShutdown()) {
            // One that reads nothing would hold its descriptor for good.
            clock.schedule(session::closeNow, READ_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            came(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            heard(session, (IoBuffer) message);
        }

        @Override
        public void inputClosed(IoSession session) {
            // A caller may end its side once it has said its line, and still wants the answer.
            if (forget(session) != null) {
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
                Log.failure("operators' address", cause);
            }
            forget(session);
            session.closeNow();
        }
    }
}
