package lupinvalve.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Pauses the thread that reads and writes the sockets of a {@link Net}, like a machine that gives it no time to run.
 */
public final class HeldSockets implements Closeable {
    private final CountDownLatch paused = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final Socket peer;

    public HeldSockets(Net net) throws IOException {
        net.dial(new InetSocketAddress("127.0.0.1", server.getLocalPort()), this::pauseInFramer, new Silent());
        peer = server.accept();
    }

    private int pauseInFramer(byte[] bytes, int from, int to, List<byte[]> out) {
        paused.countDown();
        try {
            resumed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return to;
    }

    /** Returns once the thread is paused. */
    public void pause() throws IOException, InterruptedException {
        pauseAtNextRead();
        awaitPaused();
    }

    /** Makes the thread pause when it reads what has arrived by now. */
    public void pauseAtNextRead() throws IOException {
        peer.getOutputStream().write(1);
    }

    /** Waits until the thread is paused. */
    public void awaitPaused() throws InterruptedException {
        paused.await();
    }

    public void resume() {
        resumed.countDown();
    }

    /** Whether some core thread waits for the sockets to be read. */
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
            // Nothing is sent on it.
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            // The framer produces no message.
        }

        @Override
        public void malformed(Link link, String why) {
            // The framer reports no error.
        }

        @Override
        public void closed(Link link) {
            // The test ends.
        }
    }
}
