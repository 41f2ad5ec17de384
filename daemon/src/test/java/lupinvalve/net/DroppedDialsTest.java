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

/** Whoever gives up connections that are being dialled can still dial afterwards. */
class DroppedDialsTest {
    private static final int NETS = 60, DROPPED = 10, WITHIN_SECONDS = 20;

    private static final class Opened implements Link.Events {
        final CountDownLatch opened = new CountDownLatch(1);

        @Override
        public void opened(Link link) {
            opened.countDown();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            // Nobody speaks.
        }

        @Override
        public void malformed(Link link, String why) {
            // Nobody speaks.
        }

        @Override
        public void closed(Link link) {
            // Where it never opens the test says so.
        }
    }

    /** One user of the network: gives up some dials early or late, then dials once more. */
    private record User(EventLoop loop, Net net, Opened last) {
        void dial(InetSocketAddress to, long seed) {
            Random random = new Random(seed);
            loop.start();
            for (int i = 0; i < DROPPED; i++) {
                long begins = i * 3_000L;
                long given = random.nextInt(3_000);
                loop.post(() -> loop.after(begins, () -> {
                    Link link = net.dial(to, (bytes, from, end, out) -> end, new Opened());
                    loop.after(given, link::drop);
                }));
            }
            loop.post(() ->
                    loop.after(DROPPED * 3_000L + 3_000, () -> net.dial(to, (bytes, from, end, out) -> end, last)));
        }
    }

    @Test
    void dialsThatAreGivenUpLeaveTheNextOnesWell() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress())) {
            InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            List<User> users = new ArrayList<>();
            for (int i = 0; i < NETS; i++) {
                EventLoop loop = new EventLoop("user");
                users.add(new User(loop, new Net(loop), new Opened()));
            }
            for (int i = 0; i < NETS; i++) {
                users.get(i).dial(to, i);
            }
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WITHIN_SECONDS);
            int opened = 0;
            for (User user : users) {
                opened += user.last().opened.await(end - System.nanoTime(), TimeUnit.NANOSECONDS) ? 1 : 0;
            }
            for (User user : users) {
                user.net().close();
                user.loop().stop();
            }
            assertTrue(opened == NETS, opened + " of " + NETS + " could dial again");
        }
    }
}
