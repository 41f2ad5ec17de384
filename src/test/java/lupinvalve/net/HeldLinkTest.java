package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.core.Loop;
import lupinvalve.stories.World;
import org.junit.jupiter.api.Test;

/** What keeps long answers in their peers' machines instead of in this one's memory. */
class HeldLinkTest {
    /** The wire of these tests: every byte is a message. */
    private static final Framer BYTES = (bytes, from, to, out) -> {
        out.add(Arrays.copyOfRange(bytes, from, to));
        return to;
    };

    @Test
    void aHeldLinkReadsNothingAndRoomIsToldOnceThePeerHasRead() throws Exception {
        Loop loop = new Loop();
        Net net = new Net(loop);
        AtomicReference<Link> opened = new AtomicReference<>();
        Link.Events events = new Link.Events() {
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
                // Everything is well formed.
            }

            @Override
            public void closed(Link link) {
                // The test ends.
            }
        };
        loop.start();
        Net.Listener listener = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> BYTES, events);
        try (Socket peer = new Socket()) {
            peer.setReceiveBufferSize(4096);
            peer.connect(listener.address());
            World.await("open", () -> opened.get() != null);
            Link link = opened.get();
            CountDownLatch wrote = new CountDownLatch(1);
            CountDownLatch room = new CountDownLatch(1);
            loop.post(() -> {
                link.hold(true);
                byte[] part = new byte[64 << 10];
                for (int i = 0; i < 60 || link.unread() < 1 << 20 && i < 400; i++) {
                    link.write(part);
                }
                link.whenRoom(1000, room::countDown);
                wrote.countDown();
            });
            wrote.await();
            peer.getOutputStream().write(new byte[1000]);
            Thread.sleep(200);
            assertTrue(link.unread() > 0 && room.getCount() == 1, "nobody has read");
            assertEquals(0, link.read(), "nothing has been read");
            World.thread(() -> peer.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
            room.await();
            loop.post(() -> link.hold(false));
            World.await("read", () -> link.read() == 1000);
        } finally {
            net.close();
            loop.stop();
        }
    }
}
