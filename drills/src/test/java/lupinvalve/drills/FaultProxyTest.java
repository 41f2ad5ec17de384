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
    private final LinkedBlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
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
                    for (int b = socket.getInputStream().read();
                            b >= 0;
                            b = socket.getInputStream().read()) {
                        heard.add(b);
                        socket.getOutputStream().write(b);
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

    private Socket dial() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static int ask(Socket socket, int b) throws IOException {
        socket.getOutputStream().write(b);
        return socket.getInputStream().read();
    }

    private static void silent(Socket socket) throws IOException {
        socket.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(5_000);
    }

    @Test
    void passesOnWhatComesAndIsSlowWhenTold() throws IOException {
        try (Socket socket = dial()) {
            assertEquals(7, ask(socket, 7));
            proxy.slow(60);
            long start = System.nanoTime();
            assertEquals(8, ask(socket, 8));
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(120), "60 ms each way");
            proxy.slow(0);
            proxy.limit(20);
            start = System.nanoTime();
            assertEquals(9, ask(socket, 9));
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(100), "50 ms a byte each way");
        }
    }

    @Test
    void oneWayIsHeardAndTheOtherIsNot() throws Exception {
        try (Socket socket = dial()) {
            assertEquals(1, ask(socket, 1));
            heard.clear();
            proxy.cut(false, true);
            socket.getOutputStream().write(2);
            assertEquals(2, heard.poll(5, TimeUnit.SECONDS), "there it goes");
            silent(socket);
            proxy.heal();
            assertEquals(-1, socket.getInputStream().read(), "what was swallowed can't be made up for");
        }
        try (Socket socket = dial()) {
            assertEquals(3, ask(socket, 3));
            heard.clear();
            proxy.cut(true, false);
            socket.getOutputStream().write(4);
            silent(socket);
            assertEquals(null, heard.peek());
        }
    }

    @Test
    void aFarEndThatIsGoneLetsInAndSaysNothing() throws IOException {
        try (Socket before = dial()) {
            assertEquals(1, ask(before, 1));
            proxy.gone(true);
            before.getOutputStream().write(2);
            silent(before);
            try (Socket after = dial()) {
                after.getOutputStream().write(3);
                silent(after);
                proxy.heal();
                assertEquals(-1, after.getInputStream().read());
            }
            assertEquals(-1, before.getInputStream().read());
        }
        try (Socket again = dial()) {
            assertEquals(4, ask(again, 4));
        }
    }

    @Test
    void aLossyWayBreaksConnections() throws IOException {
        try (Socket socket = dial()) {
            assertEquals(1, ask(socket, 1));
            proxy.lossy(1);
            socket.getOutputStream().write(2);
            int said;
            try {
                said = socket.getInputStream().read();
            } catch (IOException e) {
                said = -1;
            }
            assertEquals(-1, said);
        }
    }
}
