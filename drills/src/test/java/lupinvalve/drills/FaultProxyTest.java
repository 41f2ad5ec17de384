package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
    private final LinkedBlockingQueue<Integer> received = new LinkedBlockingQueue<>();
    private ServerSocket echo;
    private FaultProxy proxy;

    @BeforeEach
    void open() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        proxy = new FaultProxy(echo.getLocalPort());
        Threads.start("echo", () -> {
            while (true) {
                Socket socket = echo.accept();
                Threads.start("echo", () -> {
                    for (int value = socket.getInputStream().read();
                            value >= 0;
                            value = socket.getInputStream().read()) {
                        received.add(value);
                        socket.getOutputStream().write(value);
                    }
                    socket.close();
                });
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        echo.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static int roundTrip(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(5_000);
    }

    @Test
    void forwardsBytesAndDelaysOrLimitsThemAsSet() throws IOException {
        try (Socket socket = connect()) {
            assertEquals(7, roundTrip(socket, 7));
            proxy.slow(60);
            long start = System.nanoTime();
            assertEquals(8, roundTrip(socket, 8));
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(120), "60 ms each way");
            proxy.slow(0);
            proxy.limit(20);
            start = System.nanoTime();
            assertEquals(9, roundTrip(socket, 9));
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(100), "50 ms a byte each way");
        }
    }

    @Test
    void aCutOfOneDirectionLeavesTheOtherOpen() throws Exception {
        try (Socket socket = connect()) {
            assertEquals(1, roundTrip(socket, 1));
            received.clear();
            proxy.cut(false, true);
            socket.getOutputStream().write(2);
            assertEquals(2, received.poll(5, TimeUnit.SECONDS), "the open direction forwards");
            assertSilent(socket);
            proxy.heal();
            assertEquals(-1, socket.getInputStream().read(), "a connection that lost bytes is closed");
        }
        try (Socket socket = connect()) {
            assertEquals(3, roundTrip(socket, 3));
            received.clear();
            proxy.cut(true, false);
            socket.getOutputStream().write(4);
            assertSilent(socket);
            assertEquals(null, received.peek());
        }
    }

    @Test
    void aSilentFarEndAcceptsConnectionsAndSendsNothing() throws IOException {
        try (Socket before = connect()) {
            assertEquals(1, roundTrip(before, 1));
            proxy.gone(true);
            before.getOutputStream().write(2);
            assertSilent(before);
            try (Socket after = connect()) {
                after.getOutputStream().write(3);
                assertSilent(after);
                proxy.heal();
                assertEquals(-1, after.getInputStream().read());
            }
            assertEquals(-1, before.getInputStream().read());
        }
        try (Socket again = connect()) {
            assertEquals(4, roundTrip(again, 4));
        }
    }

    @Test
    void aLossyLinkBreaksConnections() throws IOException {
        try (Socket socket = connect()) {
            assertEquals(1, roundTrip(socket, 1));
            proxy.lossy(1);
            socket.getOutputStream().write(2);
            int result;
            try {
                result = socket.getInputStream().read();
            } catch (IOException e) {
                result = -1;
            }
            assertEquals(-1, result);
        }
    }
}
