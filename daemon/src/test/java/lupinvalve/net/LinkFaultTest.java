package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Where the program can't give what is due, its peer hears so by a reset, never by an end in order. */
class LinkFaultTest {
    private static final Framer BYTES = (bytes, from, to, out) -> {
        out.add(Arrays.copyOfRange(bytes, from, to));
        return to;
    };
    private static final int MORE_THAN_BUFFERS_HOLD = 12 << 20;

    /** A front that does one thing with what it reads, and keeps why its connection ended. */
    private static final class Front implements Link.Events {
        private final java.util.function.Consumer<Link> work;
        private final CompletableFuture<EndReason> ended = new CompletableFuture<>();

        Front(java.util.function.Consumer<Link> work) {
            this.work = work;
        }

        @Override
        public void opened(Link link) {
            // It waits to be spoken to.
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            work.accept(link);
        }

        @Override
        public void malformed(Link link, String why) {
            work.accept(link);
        }

        @Override
        public void closed(Link link) {
            ended.complete(link.reason());
        }
    }

    @BeforeAll
    static void quiet() {
        Log.setLevel(Log.Level.ERROR);
    }

    @AfterAll
    static void loud() {
        Log.setLevel(Log.Level.INFO);
    }

    private static void isReset(Framer framer, Front front, EndReason reason, boolean reads, int withinSeconds)
            throws Exception {
        EventLoop loop = new EventLoop();
        loop.start();
        Net net = new Net(loop);
        Net.Listener listener = net.listen(new InetSocketAddress("127.0.0.1", 0), () -> framer, front);
        try (Socket client = new Socket("127.0.0.1", listener.address().getPort())) {
            client.setSoTimeout(10_000);
            client.getOutputStream().write(1);
            if (reads) {
                assertThrows(
                        SocketException.class, () -> client.getInputStream().read());
            }
            assertEquals(reason, front.ended.get(withinSeconds, TimeUnit.SECONDS));
            assertThrows(SocketException.class, () -> client.getInputStream().readAllBytes());
        } finally {
            net.close();
            loop.stop();
        }
    }

    @Test
    void aFaultInAFrontIsAReset() throws Exception {
        isReset(
                BYTES,
                new Front(link -> {
                    throw new IllegalStateException("planted");
                }),
                EndReason.FAULT,
                true,
                10);
    }

    @Test
    void aFaultOnTheThreadOfTheSocketsIsAReset() throws Exception {
        isReset(
                (bytes, from, to, out) -> {
                    throw new IllegalStateException("planted");
                },
                new Front(link -> {}),
                EndReason.FAULT,
                true,
                10);
    }

    /** It is given 15 s, as one that reads slowly must get its answers. */
    @Test
    void whoTakesNothingIsResetAfterAWhile() throws Exception {
        isReset(
                BYTES,
                new Front(link -> link.write(new byte[MORE_THAN_BUFFERS_HOLD])),
                EndReason.READS_TOO_SLOWLY,
                false,
                30);
    }
}
