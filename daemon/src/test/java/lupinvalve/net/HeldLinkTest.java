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
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

/** What keeps long answers in their peers' machines instead of in this one's memory. */
class HeldLinkTest {
    /** The wire of these tests: every byte is a message. */
    private static final Framer BYTES = (bytes, from, to, out) -> {
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
                // Counted by the link itself.
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
    void messagesThatAreNotWholeShareOneBudgetAndGiveItBack() throws Exception {
        EventLoop loop = new EventLoop();
        loop.start();
        Room room = new Room(10_000);
        List<String> faults = new CopyOnWriteArrayList<>();
        Framer never = (bytes, from, to, out) -> from;
        List<Link> links = new ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                links.add(new Link(loop, i == 3 ? BYTES : never, events(new AtomicReference<>(), faults), room, false));
                links.get(i).received(new DummySession(), IoBuffer.allocate(4500));
            }
            World.await("the third has no room", () -> faults.size() > 0);
            assertEquals(2 * 4500, room.taken());
            // Those that were begun in time go on, and what has ended makes room.
            links.get(0).ended();
            links.get(0).ended();
            assertEquals(4500, room.taken());
            links.get(1).received(new DummySession(), IoBuffer.allocate(4500));
            assertEquals(9000, room.taken());
            CountDownLatch told = new CountDownLatch(1);
            loop.post(told::countDown);
            told.await();
            // The last one was whole at once, but had to be read first.
            assertEquals(2, faults.size());
        } finally {
            loop.stop();
        }
    }

    private interface Body {
        void run(EventLoop loop, Net.Listener listener, Socket peer, Link link) throws Exception;
    }

    /** A connection with a peer that reads nothing so far, and more written to it than the system takes. */
    private static void unread(Consumer<Link> before, Body body) throws Exception {
        EventLoop loop = new EventLoop();
        Net net = new Net(loop);
        AtomicReference<Link> opened = new AtomicReference<>();
        Link.Events events = events(opened, new ArrayList<>());
        loop.start();
        Net.Listener listener =
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> BYTES, events);
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
    void aHeldLinkReadsNothingAndRoomIsToldOnceThePeerHasRead() throws Exception {
        unread(link -> link.pauseReading(true), (loop, listener, peer, link) -> {
            CountDownLatch room = new CountDownLatch(1);
            loop.post(() -> link.whenPendingAtMost(1000, room::countDown));
            peer.getOutputStream().write(new byte[1000]);
            Thread.sleep(200);
            assertTrue(link.pendingWriteBytes() > 0 && room.getCount() == 1, "nobody has read");
            assertEquals(0, link.read(), "nothing has been read");
            readAll(peer);
            room.await();
            loop.post(() -> link.pauseReading(false));
            World.await("read", () -> link.read() == 1000);
        });
    }

    @Test
    void aConnectionThatHasEndedCountsUntilItsLastWordIsOut() throws Exception {
        unread(link -> {}, (loop, listener, peer, link) -> {
            CountDownLatch finished = new CountDownLatch(1);
            loop.post(() -> {
                link.finish();
                finished.countDown();
            });
            finished.await();
            Thread.sleep(200);
            assertEquals(1, listener.open());
            readAll(peer);
            World.await("out", () -> listener.open() == 0);
        });
    }
}
