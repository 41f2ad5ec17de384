package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import lupinvalve.core.EventLoop;
import lupinvalve.integration.World;
import lupinvalve.maintenance.ByteBudget;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

/** Flow control: long answers that are not read, and incomplete messages, must not fill this process's memory. */
class HeldLinkTest {
    /** Makes one message of every read. */
    private static final Framer EVERY_READ = (bytes, from, to, out) -> {
        out.add(Arrays.copyOfRange(bytes, from, to));
        return to;
    };

    private static Link.Events events(AtomicReference<Link> opened, List<String> faults) {
        return new Link.Events() {
            @Override
            public void opened(Link link) {
                opened.set(link);
            }

            @Override
            public void messages(Link link, List<byte[]> messages, long atMicros) {
                // The link itself counts the bytes.
            }

            @Override
            public void malformed(Link link, String why) {
                faults.add(why);
            }

            @Override
            public void closed(Link link) {
                // The test ends.
            }
        };
    }

    @Test
    void incompleteMessagesShareOneBudgetAndReleaseIt() throws Exception {
        EventLoop loop = new EventLoop();
        loop.start();
        ByteBudget budget = new ByteBudget(10_000);
        LinkBudgets budgets = new LinkBudgets(budget, new ByteBudget(Long.MAX_VALUE), OutputMeter.NONE);
        List<String> faults = new CopyOnWriteArrayList<>();
        Framer never = (bytes, from, to, out) -> from;
        List<Link> links = new ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                links.add(new Link(
                        loop, i == 3 ? EVERY_READ : never, events(new AtomicReference<>(), faults), budgets, false));
                links.get(i).onReceived(new DummySession(), IoBuffer.allocate(4500));
            }
            World.await("the third exceeds the budget", () -> faults.size() > 0);
            assertEquals(2 * 4500, budget.takenBytes());
            // Messages begun within the budget can be continued, and a connection that ends releases its share.
            links.get(0).onClosed();
            links.get(0).onClosed();
            assertEquals(4500, budget.takenBytes());
            links.get(1).onReceived(new DummySession(), IoBuffer.allocate(4500));
            assertEquals(9000, budget.takenBytes());
            CountDownLatch delivered = new CountDownLatch(1);
            loop.post(delivered::countDown);
            delivered.await();
            // The fourth link's message was complete at once, but its bytes needed the budget first.
            assertEquals(2, faults.size());
        } finally {
            loop.stop();
        }
    }

    private interface Body {
        void run(EventLoop loop, Net.Listener listener, Socket peer, Link link) throws Exception;
    }

    /**
     * Runs with a connection whose peer has read nothing so far, and with more written to it than the system accepts.
     */
    private static void withUnreadOutput(Consumer<Link> before, Body body) throws Exception {
        EventLoop loop = new EventLoop();
        Net net = new Net(loop);
        AtomicReference<Link> opened = new AtomicReference<>();
        Link.Events events = events(opened, new ArrayList<>());
        loop.start();
        Net.Listener listener =
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> EVERY_READ, events);
        try (Socket peer = new Socket()) {
            peer.setReceiveBufferSize(4096);
            peer.connect(listener.address());
            World.await("open", () -> opened.get() != null);
            Link link = opened.get();
            CountDownLatch wrote = new CountDownLatch(1);
            loop.post(() -> {
                before.accept(link);
                byte[] part = new byte[64 << 10];
                for (int i = 0; i < 60 || link.pendingWriteBytes() < 1 << 20 && i < 400; i++) {
                    link.write(part);
                }
                wrote.countDown();
            });
            wrote.await();
            body.run(loop, listener, peer, link);
        } finally {
            net.close();
            loop.stop();
        }
    }

    private static void readAll(Socket peer) {
        World.thread(() -> peer.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
    }

    @Test
    void pausedLinkReadsNothingAndDrainIsNotifiedOnceThePeerHasRead() throws Exception {
        withUnreadOutput(link -> link.pauseReading(true), (loop, listener, peer, link) -> {
            CountDownLatch drained = new CountDownLatch(1);
            loop.post(() -> link.whenPendingAtMost(1000, drained::countDown));
            peer.getOutputStream().write(new byte[1000]);
            Thread.sleep(200);
            assertTrue(link.pendingWriteBytes() > 0 && drained.getCount() == 1, "nobody has read");
            assertEquals(0, link.bytesRead(), "nothing has been read");
            readAll(peer);
            drained.await();
            loop.post(() -> link.pauseReading(false));
            World.await("read", () -> link.bytesRead() == 1000);
        });
    }

    @Test
    void finishedConnectionCountsAsOpenUntilItIsFlushed() throws Exception {
        withUnreadOutput(link -> {}, (loop, listener, peer, link) -> {
            CountDownLatch finished = new CountDownLatch(1);
            loop.post(() -> {
                link.finish();
                finished.countDown();
            });
            finished.await();
            Thread.sleep(200);
            assertEquals(1, listener.open());
            readAll(peer);
            World.await("flushed", () -> listener.open() == 0);
        });
    }
}
