package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Proxy for the connections that one process opens to another: forwards bytes, or delays, drops or breaks as set. The
 * setters may be called from any thread and affect open connections too.
 */
public final class FaultProxy implements Closeable {
    /** All poolers of a zone may connect at the same time. */
    private static final int BACKLOG_CONNECTIONS = 1024;

    private static final long STACK_BYTES = 256 << 10;

    /** Notified of the bytes that were forwarded in one direction of one connection. */
    public interface Tap {
        /** The first bytes of the array, as many as the count, were forwarded. */
        void passed(byte[] bytes, int count);
    }

    /** Creates a tap for each direction of each connection. */
    public interface Taps {
        /** @param fromDialer whether the bytes come from the side that opened the connection */
        Tap open(boolean fromDialer);
    }

    /** Shared by all proxies: starting new threads for hundreds of short connections would take most of their time. */
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "proxy", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });

    private final ServerSocket server = new ServerSocket(0, BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress());
    private final Taps taps;
    private final InetSocketAddress to;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** Whether bytes from the side that opens connections are dropped. */
    private volatile boolean cutFromDialer;
    /** Whether bytes to the side that opens connections are dropped. */
    private volatile boolean cutToDialer;

    private volatile boolean gone;
    private volatile long delayMillis;
    private volatile double breakRatio;
    private volatile double bytesPerSecond = Double.POSITIVE_INFINITY;

    /** Starts a proxy for a port on loopback. */
    public FaultProxy(int port) throws IOException {
        this(port, fromDialer -> (bytes, count) -> {});
    }

    /** The same, with taps that are notified of the forwarded bytes. */
    public FaultProxy(int port, Taps taps) throws IOException {
        this.taps = taps;
        to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        Threads.start("proxy", () -> {
            while (!server.isClosed()) {
                Socket in = server.accept();
                sockets.add(in);
                start(() -> forwardConnection(in));
            }
        });
    }

    /** The port on loopback that the proxy listens on. */
    public int port() {
        return server.getLocalPort();
    }

    private void forwardConnection(Socket in) throws IOException, InterruptedException {
        if (gone) {
            // The kernel accepts the connection and no byte follows, as from a machine that lost power.
            while (gone && !in.isClosed()) {
                Thread.sleep(20);
            }
            in.close();
            return;
        }
        Socket out = new Socket();
        try {
            out.connect(to, 1000);
        } catch (IOException e) {
            in.close();
            throw e;
        }
        // With Nagle's algorithm small messages would wait 40 ms for the delayed ACK of the one before.
        in.setTcpNoDelay(true);
        out.setTcpNoDelay(true);
        sockets.add(out);
        start(() -> forward(out, in, false));
        forward(in, out, true);
    }

    private static void start(Threads.Work work) {
        THREADS.execute(Threads.ignoringDisconnects(work));
    }

    private boolean isCut(boolean fromDialer) {
        return gone || (fromDialer ? cutFromDialer : cutToDialer);
    }

    private void forward(Socket from, Socket into, boolean fromDialer) throws IOException, InterruptedException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            byte[] bytes = new byte[16 << 10];
            Tap tap = taps.open(fromDialer);
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (bytesPerSecond < Double.POSITIVE_INFINITY) {
                    Thread.sleep((long) (1000 * count / bytesPerSecond));
                }
                if (isCut(fromDialer)) {
                    // Dropped bytes are never sent again, so the stream can't continue after them.
                    while (isCut(fromDialer)) {
                        Thread.sleep(20);
                    }
                    break;
                }
                if (breakRatio > 0 && ThreadLocalRandom.current().nextDouble() < breakRatio) {
                    break;
                }
                out.write(bytes, 0, count);
                tap.passed(bytes, count);
            }
        } finally {
            from.close();
            into.close();
            sockets.remove(from);
            sockets.remove(into);
        }
    }

    /** Drops the bytes of these directions of all connections from now on, or forwards them again. */
    public void cut(boolean fromDialer, boolean toDialer) {
        cutFromDialer = fromDialer;
        cutToDialer = toDialer;
    }

    /** Makes the far end silent: connections stay open, new ones are accepted, and no byte passes; or ends that. */
    public void gone(boolean isGone) {
        gone = isGone;
    }

    /** Delays each piece of bytes by this long. */
    public void slow(long millis) {
        delayMillis = millis;
    }

    /** Sets the ratio of pieces of bytes that close their connection, from 0 to 1. */
    public void lossy(double ratio) {
        breakRatio = ratio;
    }

    /** Limits each direction of each connection to this many bytes a second. */
    public void limit(double perSecond) {
        bytesPerSecond = perSecond;
    }

    /** Ends all faults; connections that lost bytes are closed. */
    public void heal() {
        cut(false, false);
        gone(false);
        slow(0);
        lossy(0);
        limit(Double.POSITIVE_INFINITY);
    }

    @Override
    public void close() throws IOException {
        server.close();
        heal();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
