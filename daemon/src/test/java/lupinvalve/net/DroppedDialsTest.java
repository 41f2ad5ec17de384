package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinvalve.core.EventLoop;
import org.junit.jupiter.api.Test;

/** Giving up connection attempts must not keep later ones from being established. */
class DroppedDialsTest {
    private static final int NETS = 60;
    private static final int DROPPED = 10;
    private static final int WITHIN_SECONDS = 20;

    private static final class Opened implements Link.Events {
        final CountDownLatch opened = new CountDownLatch(1);

        @Override
        public void opened(Link link) {
            opened.countDown();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            // The server sends nothing.
        }

        @Override
        public void malformed(Link link, String why) {
            // The server sends nothing.
        }

        @Override
        public void closed(Link link) {
            // The test fails if it is never opened.
        }
    }

    /** One user of a network: gives up some attempts early or late, then dials once more. */
    private record User(EventLoop loop, Net net, Opened last) {
        void dial(InetSocketAddress target, long seed) {
            Random random = new Random(seed);
            loop.start();
            for (int i = 0; i < DROPPED; i++) {
                long dialAtMicros = i * 3_000L;
                long dropAfterMicros = random.nextInt(3_000);
                loop.post(() -> loop.after(dialAtMicros, () -> {
                    Link link = net.dial(target, (bytes, from, end, out) -> end, new Opened());
                    loop.after(dropAfterMicros, link::drop);
                }));
            }
            loop.post(() ->
                    loop.after(DROPPED * 3_000L + 3_000, () -> net.dial(target, (bytes, from, end, out) -> end, last)));
        }
    }

    @Test
    void dialsThatAreGivenUpLeaveTheNextOnesWell() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress())) {
            InetSocketAddress target = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            List<User> users = new ArrayList<>();
            for (int i = 0; i < NETS; i++) {
                EventLoop loop = new EventLoop("user");
                users.add(new User(loop, new Net(loop), new Opened()));
            }
            for (int i = 0; i < NETS; i++) {
                users.get(i).dial(target, i);
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WITHIN_SECONDS);
            int opened = 0;
            for (User user : users) {
                opened += user.last().opened.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS) ? 1 : 0;
            }
            for (User user : users) {
                user.net().close();
                user.loop().stop();
            }
            assertTrue(opened == NETS, opened + " of " + NETS + " could dial again");
        }
    }
}
