package lupinvalve.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Holds up the thread that reads and writes the sockets of a {@link Net}, as a machine does that gives it no time. */
public final class HeldSockets implements Closeable {
    private final CountDownLatch held = new CountDownLatch(1), go = new CountDownLatch(1);
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final Socket peer;

    public HeldSockets(Net net) throws IOException {
        net.dial(new InetSocketAddress("127.0.0.1", server.getLocalPort()), this::cut, new Silent());
        peer = server.accept();
    }

    private int cut(byte[] bytes, int from, int to, List<byte[]> out) {
        held.countDown();
        try {
            go.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return to;
    }

    /** Returns once the thread stands still. */
    public void pause() throws IOException, InterruptedException {
        pauseAtNextRead();
        awaitPaused();
    }

    /** The thread will stand still once it comes to read what has come by now. */
    public void pauseAtNextRead() throws IOException {
        peer.getOutputStream().write(1);
    }

    /** Waits until it stands still. */
    public void awaitPaused() throws InterruptedException {
        held.await();
    }

    public void resume() {
        go.countDown();
    }

    /** Whether a core waits for what has come to its sockets. */
    public static boolean isAwaited() {
        return Thread.getAllStackTraces().values().stream().anyMatch(stack -> List.of(stack).stream()
                .anyMatch(frame -> frame.getClassName().endsWith("ReadProgress")
                        && frame.getMethodName().equals("await")));
    }

    @Override
    public void close() throws IOException {
        resume();
        peer.close();
        server.close();
    }

    private static final class Silent implements Link.Events {
        @Override
        public void opened(Link link) {
            // Nothing is said on it.
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            // None are cut.
        }

        @Override
        public void malformed(Link link, String why) {
            // Nothing is read.
        }

        @Override
        public void closed(Link link) {
            // The test ends.
        }
    }
}
