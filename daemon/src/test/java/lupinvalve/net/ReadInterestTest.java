package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.core.EventLoop;
import lupinvalve.integration.World;
import org.junit.jupiter.api.Test;

/** Pauses and resumes of reading by the core while the sockets' thread changes what it waits for as well. */
class ReadInterestTest {
    private static final int ROUNDS = 40;
    private static final int PIECES = 1_500;
    private static final int PIECE_BYTES = 1_000;

    /** Each piece is echoed and followed by a short pause of the reading. */
    private static Link.Events echo(AtomicReference<EventLoop> loop) {
        return new Link.Events() {
            @Override
            public void opened(Link link) {
                // The client sends first.
            }

            @Override
            public void messages(Link link, List<byte[]> messages, long atMicros) {
                messages.forEach(link::write);
                link.pauseReading(true);
                loop.get().after(0, () -> link.pauseReading(false));
            }

            @Override
            public void malformed(Link link, String why) {
                throw new IllegalStateException(why);
            }

            @Override
            public void closed(Link link) {
                // The round ends.
            }
        };
    }

    /** Guards against a connection that is never read again, or whose answer is never written. */
    @Test
    void aConnectionWhoseReadingIsPausedAndResumedIsReadToItsEnd() throws Exception {
        AtomicReference<EventLoop> loop = new AtomicReference<>(new EventLoop());
        Net net = new Net(loop.get());
        loop.get().start();
        Framer whole = (bytes, from, to, out) -> {
            out.add(java.util.Arrays.copyOfRange(bytes, from, to));
            return to;
        };
        Net.Listener listener =
                net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> whole, echo(loop));
        try {
            for (int round = 0; round < ROUNDS; round++) {
                try (Socket client = new Socket()) {
                    client.setReceiveBufferSize(8 << 10);
                    client.connect(listener.address());
                    client.setSoTimeout(10_000);
                    AtomicLong received = new AtomicLong();
                    World.thread(() -> {
                        byte[] piece = new byte[4096];
                        for (int count = client.getInputStream().read(piece);
                                count >= 0;
                                count = client.getInputStream().read(piece)) {
                            received.addAndGet(count);
                        }
                    });
                    for (int i = 0; i < PIECES; i++) {
                        client.getOutputStream().write(new byte[PIECE_BYTES]);
                    }
                    long sent = (long) PIECES * PIECE_BYTES;
                    World.await("round " + round + ": all is echoed", () -> received.get() == sent);
                    assertEquals(sent, received.get());
                }
            }
        } finally {
            net.close();
            loop.get().stop();
        }
    }
}
