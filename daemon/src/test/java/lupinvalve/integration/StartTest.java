package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import lupinvalve.cli.Daemon;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/**
 * Guards against routing by an outdated endpoint list after a start: the list in the configuration file may contain a
 * db node that was drained long ago, so a start waits for discovery.
 */
class StartTest {
    /** Longer than the rest of a start; if the listener opens within this time, it opened with the outdated list. */
    private static final long WAIT_MILLIS = 2_500;

    private static final long TIMEOUT_SECONDS = 10;
    /** Time for which a call is left unanswered before it fails. */
    private static final long UNANSWERED_MILLIS = 500;

    /** Discovery that accepts calls; the test decides when and whether they are answered. */
    private static final class Discovery implements Closeable {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        Discovery() throws IOException {
            server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        }

        static void answer(Socket call, String json) throws IOException {
            OutputStream out = call.getOutputStream();
            String line = json + "\n";
            out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                            + "\r\n" + line + "\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static CountDownLatch start(Daemon daemon, AtomicBoolean failed) {
        CountDownLatch started = new CountDownLatch(1);
        World.thread(() -> {
            try {
                daemon.start();
            } catch (IOException | RuntimeException e) {
                failed.set(true);
            }
            started.countDown();
        });
        return started;
    }

    @Test
    void noClientIsAcceptedBeforeDiscoveryHasAnswered() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        AtomicBoolean failed = new AtomicBoolean();
        try (Discovery discovery = new Discovery();
                World world = new World(OperatorConfig.NONE, primary, replica)) {
            Daemon restarted = World.daemon(world.config(discovery.server, 1024), OperatorConfig.NONE, null);
            try {
                CountDownLatch started = start(restarted, failed);
                try (Socket call = discovery.server.accept()) {
                    assertFalse(started.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), "serves with an outdated list");
                    // The replica was drained without a notification to this process.
                    replica.phase = "terminating";
                    Discovery.answer(
                            call,
                            "{\"revision\":9,\"complete\":true,\"members\":[" + primary.entry() + "," + replica.entry()
                                    + "]}");
                    assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "serves once discovery has answered");
                }
                assertFalse(failed.get());
            } finally {
                restarted.stop();
            }
        }
    }

    @Test
    void silentDiscoveryDelaysTheStartBySecondsOnly() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        try (Discovery discovery = new Discovery();
                World world = new World(OperatorConfig.NONE, new DbNode("s-1", true))) {
            Daemon restarted = World.daemon(world.config(discovery.server, 1024), OperatorConfig.NONE, null);
            try {
                assertTrue(start(restarted, failed).await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertFalse(failed.get());
                assertTrue(restarted.address().getPort() > 0);
            } finally {
                restarted.stop();
            }
        }
    }

    @Test
    void rejectingDiscoveryDoesNotDelayTheStart() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        try (Discovery discovery = new Discovery();
                World world = new World(OperatorConfig.NONE, new DbNode("s-1", true))) {
            Daemon restarted = World.daemon(world.config(discovery.server, 1024), OperatorConfig.NONE, null);
            try {
                CountDownLatch started = start(restarted, failed);
                for (int call = 0; call < 2; call++) {
                    try (Socket rejected = discovery.server.accept()) {
                        rejected.getOutputStream()
                                .write("HTTP/1.1 503 Service Unavailable\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    }
                }
                // The third call is not answered and must not delay the start.
                assertTrue(started.await(WAIT_MILLIS, TimeUnit.MILLISECONDS));
                assertFalse(failed.get());
            } finally {
                restarted.stop();
            }
        }
    }

    /**
     * An overloaded discovery delays calls, fails some and answers others: changes that it has notified to other
     * poolers may have to be in force here.
     */
    @Test
    void callsThatFailAfterADelayDoNotEndTheWait() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        try (Discovery discovery = new Discovery();
                World world = new World(OperatorConfig.NONE, new DbNode("s-1", true))) {
            Daemon restarted = World.daemon(world.config(discovery.server, 1024), OperatorConfig.NONE, null);
            try {
                CountDownLatch started = start(restarted, failed);
                for (int call = 0; call < 2; call++) {
                    try (Socket reset = discovery.server.accept()) {
                        assertFalse(started.await(UNANSWERED_MILLIS, TimeUnit.MILLISECONDS));
                        reset.setSoLinger(true, 0);
                    }
                }
                try (Socket call = discovery.server.accept()) {
                    assertFalse(
                            started.await(UNANSWERED_MILLIS, TimeUnit.MILLISECONDS), "serves with an outdated list");
                    Discovery.answer(
                            call,
                            "{\"revision\":9,\"complete\":true,\"members\":["
                                    + world.nodes.get(0).entry() + "]}");
                    assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
                }
                assertFalse(failed.get());
            } finally {
                restarted.stop();
            }
        }
    }

    @Test
    void startLogsTheListOfTheFile() throws Exception {
        Pattern start = Pattern.compile(
                "INFO \\S+ starts: list of the file at revision \\d+ with 2 db nodes, discovery at 127.0.0.1:\\d+.*");
        try (Discovery discovery = new Discovery();
                World world = new World(OperatorConfig.NONE, new DbNode("s-1", true), new DbNode("s-2", false));
                Program program = Program.serve(world.config(discovery.server, 1024))) {
            String line = program.until("starts: ");
            assertTrue(start.matcher(line).find(), line);
            try (Socket call = discovery.server.accept()) {
                Discovery.answer(
                        call,
                        "{\"revision\":9,\"complete\":true,\"members\":["
                                + world.nodes.get(0).entry() + "]}");
                assertTrue(program.until("discovery: first endpoint list").contains("revision 9"));
                program.until("listens on");
                Discovery.answer(call, "");
            }
            program.signal("TERM");
            assertEquals(0, program.exit(TIMEOUT_SECONDS));
        }
    }
}
