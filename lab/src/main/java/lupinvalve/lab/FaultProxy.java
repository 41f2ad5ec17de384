package lupinvalve.lab;

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

/** One direction of dialling between two members: passes bytes on, swallows them, or is slow, as it is told. */
final class FaultProxy implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress to;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** Bytes of the one who dials, and those of the one dialled, that are swallowed. */
    volatile boolean cutThere, cutBack;
    volatile int delayMillis;

    FaultProxy(int port) throws IOException {
        to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        thread(() -> {
            while (true) {
                Socket in = server.accept();
                sockets.add(in);
                thread(() -> carry(in));
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // A peer has gone, or the proxy is closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private void carry(Socket in) throws IOException {
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
        thread(() -> pass(in, out, true));
        thread(() -> pass(out, in, false));
    }

    private void pass(Socket from, Socket into, boolean there) throws IOException, InterruptedException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            byte[] bytes = new byte[16 << 10];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (there ? cutThere : cutBack) {
                    // What was swallowed can't be made up for: the rest would make no sense.
                    while (there ? cutThere : cutBack) {
                        Thread.sleep(20);
                    }
                    break;
                }
                out.write(bytes, 0, count);
            }
        } finally {
            from.close();
            into.close();
            sockets.remove(from);
            sockets.remove(into);
        }
    }

    void heal() {
        cutThere = false;
        cutBack = false;
        delayMillis = 0;
    }

    /** Ends all connections that are up. */
    void reset() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        heal();
        reset();
    }
}
