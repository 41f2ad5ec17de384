package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import lupinvalve.integration.World;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.junit.jupiter.api.Test;

/**
 * The system resets connections that wait in the backlog when a port closes: during an upgrade each would cost a
 * request.
 */
class AcceptorTest {
    @Test
    void connectionLimitHoldsInABurst() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (HeldCore pooler = new HeldCore(text -> text)) {
            pooler.net.setMaxConnections(20);
            // The core closes none of them meanwhile.
            HeldCore.Pause pause = pooler.pauseCore();
            pause.awaitReached();
            for (int i = 0; i < 60; i++) {
                clients.add(new Socket(
                        InetAddress.getLoopbackAddress(),
                        pooler.listener.address().getPort()));
            }
            // Connections over the limit are closed unread.
            clients.get(59).setSoTimeout(10_000);
            assertEquals(-1, clients.get(59).getInputStream().read());
            assertEquals(20, pooler.links.size());
            pause.resume();
            for (int i = 0; i < 20; i++) {
                clients.get(i).close();
            }
            World.await("connections accepted again", () -> {
                try {
                    Socket next = pooler.client();
                    clients.add(next);
                    HeldCore.sendQuery(next, "");
                    return HeldCore.readAnswer(next).equals(List.of("I"));
                } catch (Exception e) {
                    return false;
                }
            });
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** A failed accept costs one connection: clients behind it are accepted at once, and the failure is logged. */
    @Test
    void failedAcceptDoesNotStopTheAcceptor() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        SimpleIoProcessorPool<NioSession> processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
        AtomicInteger calls = new AtomicInteger();
        Net.Acceptor acceptor = new Net.Acceptor(threads, processor, true, new AtomicInteger(), () -> true) {
            @Override
            NioSession acceptNext(IoProcessor<NioSession> sessions, ServerSocketChannel handle) throws Exception {
                if (calls.incrementAndGet() % 2 == 0) {
                    handle.accept().close();
                    throw new IOException("Software caused connection abort");
                }
                return super.acceptNext(sessions, handle);
            }
        };
        acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void sessionOpened(IoSession session) {
                session.write(org.apache.mina.core.buffer.IoBuffer.wrap(new byte[] {'!'}));
            }
        });
        int clients = 40;
        int answered = 0;
        try {
            acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            long startNanos = System.nanoTime();
            for (int i = 0; i < clients; i++) {
                try (Socket client = new Socket(
                        InetAddress.getLoopbackAddress(),
                        acceptor.getLocalAddress().getPort())) {
                    client.setSoTimeout(10_000);
                    answered += client.getInputStream().read() == '!' ? 1 : 0;
                }
            }
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            assertEquals(clients / 2, answered);
            assertTrue(millis < 2_000, clients / 2 + " failed accepts took " + millis + " ms");
        } finally {
            acceptor.dispose(false);
            processor.dispose();
            threads.shutdown();
        }
    }

    @Test
    void backlogIsAcceptedBeforeThePortCloses() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        SimpleIoProcessorPool<NioSession> processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch resumed = new CountDownLatch(1);
        AtomicInteger accepted = new AtomicInteger();
        Net.Acceptor acceptor = new Net.Acceptor(threads, processor, true, new AtomicInteger(), () -> true) {
            @Override
            protected NioSession accept(IoProcessor<NioSession> sessions, ServerSocketChannel handle) throws Exception {
                reached.countDown();
                resumed.await();
                return super.accept(sessions, handle);
            }
        };
        acceptor.setBacklog(64);
        acceptor.setCloseOnDeactivation(false);
        acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void sessionOpened(IoSession session) {
                accepted.incrementAndGet();
            }
        });
        List<Socket> clients = new ArrayList<>();
        try {
            acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            int port = acceptor.getLocalAddress().getPort();
            clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            reached.await();
            for (int i = 1; i < 20; i++) {
                clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            Thread closing = new Thread(acceptor::unbind);
            closing.start();
            World.await(
                    "close under way",
                    () -> closing.getState() == Thread.State.TIMED_WAITING
                            || closing.getState() == Thread.State.WAITING);
            resumed.countDown();
            closing.join();
            World.await("all accepted", () -> accepted.get() == clients.size());
            assertEquals(20, accepted.get());
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            acceptor.dispose(false);
            processor.dispose();
            threads.shutdown();
        }
    }

    /** A temporary shortage of system resources must not fail a start; an address in use must fail it at once. */
    @Test
    void bindIsRetriedOnAResourceShortage() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        SimpleIoProcessorPool<NioSession> processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
        AtomicInteger calls = new AtomicInteger();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Net.Acceptor acceptor = new Net.Acceptor(threads, processor, true, new AtomicInteger(), () -> true) {
            @Override
            protected ServerSocketChannel open(SocketAddress address) throws Exception {
                if (calls.incrementAndGet() <= 3) {
                    throw new SocketException("No buffer space available");
                }
                return super.open(address);
            }
        };
        acceptor.setHandler(new IoHandlerAdapter());
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Net.bind(acceptor, any);
            assertEquals(4, calls.get());
            try (Socket client = new Socket(
                    InetAddress.getLoopbackAddress(), acceptor.getLocalAddress().getPort())) {
                assertTrue(client.isConnected());
            }
            InetSocketAddress inUse = new InetSocketAddress(InetAddress.getLoopbackAddress(), other.getLocalPort());
            assertThrows(BindException.class, () -> Net.bind(acceptor, inUse));
            assertEquals(5, calls.get());
        } finally {
            acceptor.dispose(false);
            processor.dispose();
            threads.shutdown();
        }
    }
}
