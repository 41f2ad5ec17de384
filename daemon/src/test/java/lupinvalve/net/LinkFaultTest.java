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

/** If the program cannot send an answer that is owed, the peer sees a reset, never an orderly end. */
class LinkFaultTest {
    private static final Framer EVERY_READ = (bytes, from, to, out) -> {
        out.add(Arrays.copyOfRange(bytes, from, to));
        return to;
    };
    private static final int MORE_THAN_BUFFERS_HOLD_BYTES = 12 << 20;

    /** A front that does one thing with its input, and records why its connection ended. */
    private static final class Front implements Link.Events {
        private final java.util.function.Consumer<Link> onInput;
        private final CompletableFuture<EndReason> ended = new CompletableFuture<>();

        Front(java.util.function.Consumer<Link> onInput) {
            this.onInput = onInput;
        }

        @Override
        public void opened(Link link) {
            // The client sends first.
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            onInput.accept(link);
        }

        @Override
        public void malformed(Link link, String why) {
            onInput.accept(link);
        }

        @Override
        public void closed(Link link) {
            ended.complete(link.reason());
        }
    }

    @BeforeAll
    static void silenceLog() {
        Log.setLevel(Log.Level.ERROR);
    }

    @AfterAll
    static void restoreLog() {
        Log.setLevel(Log.Level.INFO);
    }

    private static void assertReset(Framer framer, Front front, EndReason reason, boolean reads, int withinSeconds)
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
    void faultInTheFrontResetsTheConnection() throws Exception {
        assertReset(
                EVERY_READ,
                new Front(link -> {
                    throw new IllegalStateException("planted");
                }),
                EndReason.FAULT,
                true,
                10);
    }

    @Test
    void faultOnTheIoThreadResetsTheConnection() throws Exception {
        assertReset(
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
    void clientThatReadsNothingIsResetAfterAWhile() throws Exception {
        assertReset(
                EVERY_READ,
                new Front(link -> link.write(new byte[MORE_THAN_BUFFERS_HOLD_BYTES])),
                EndReason.READS_TOO_SLOWLY,
                false,
                30);
    }
}
