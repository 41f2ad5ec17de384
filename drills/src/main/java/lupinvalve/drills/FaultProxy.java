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

/** One direction of dialling between two processes: passes bytes on, or does to them what it is told. */
public final class FaultProxy implements Closeable {
    /** A whole zone's poolers may dial at once. */
    private static final int BACKLOG = 1024;

    private static final long STACK = 256 << 10;

    /** Sees the bytes of one direction of one connection that were passed on. */
    public interface Tap {
        void passed(byte[] bytes, int count);
    }

    /** Gives a tap for each direction of each connection. */
    public interface Taps {
        /** @param there whether the bytes are of the one who dialled */
        Tap open(boolean there);
    }

    /** Of all proxies: connections that come and go by the hundred would else spend their time on new threads. */
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "proxy", STACK);
        thread.setDaemon(true);
        return thread;
    });

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Taps taps;
    private final InetSocketAddress to;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** Bytes of the one who dials, and those of the one dialled, that are swallowed. */
    private volatile boolean cutThere, cutBack;

    private volatile boolean gone;
    private volatile long delayMillis;
    private volatile double breaks, bytesPerSecond = Double.POSITIVE_INFINITY;

    public FaultProxy(int port) throws IOException {
        this(port, there -> (bytes, count) -> {});
    }

    /** The same; what it passes on is seen by these. */
    public FaultProxy(int port, Taps taps) throws IOException {
        this.taps = taps;
        to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        Threads.start("proxy", () -> {
            while (!server.isClosed()) {
                Socket in = server.accept();
                sockets.add(in);
                start(() -> carry(in));
            }
        });
    }

    public int port() {
        return server.getLocalPort();
    }

    private void carry(Socket in) throws IOException, InterruptedException {
        if (gone) {
            // Whoever dials is let in by the system and hears nothing, as from a machine that went without a word.
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
        // Else small messages wait 40 ms for the last one to be acknowledged.
        in.setTcpNoDelay(true);
        out.setTcpNoDelay(true);
        sockets.add(out);
        start(() -> pass(out, in, false));
        pass(in, out, true);
    }

    private static void start(Threads.Work work) {
        THREADS.execute(Threads.quiet(work));
    }

    private boolean cut(boolean there) {
        return gone || (there ? cutThere : cutBack);
    }

    private void pass(Socket from, Socket into, boolean there) throws IOException, InterruptedException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            byte[] bytes = new byte[16 << 10];
            Tap tap = taps.open(there);
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (bytesPerSecond < Double.POSITIVE_INFINITY) {
                    Thread.sleep((long) (1000 * count / bytesPerSecond));
                }
                if (cut(there)) {
                    // What was swallowed can't be made up for: the rest would make no sense.
                    while (cut(there)) {
                        Thread.sleep(20);
                    }
                    break;
                }
                if (breaks > 0 && ThreadLocalRandom.current().nextDouble() < breaks) {
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

    /** Swallows what comes in these directions, or no more. */
    public void cut(boolean there, boolean back) {
        cutThere = there;
        cutBack = back;
    }

    /** The far end is gone without a word, or there again. */
    public void gone(boolean now) {
        gone = now;
    }

    /** Each piece of bytes comes so much later. */
    public void slow(long millis) {
        delayMillis = millis;
    }

    /** This part of the pieces breaks its connection; 0 to 1. */
    public void lossy(double part) {
        breaks = part;
    }

    /** So many bytes a second in each direction of each connection. */
    public void limit(double perSecond) {
        bytesPerSecond = perSecond;
    }

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
