package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.integration.World;
import lupinvalve.net.HeldSockets;
import lupinvalve.net.Net;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs endpoint discovery against a scripted discovery server on loopback whose answers are truncated, stop, overlap or
 * come late.
 */
class HttpEndpointDiscoveryTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private final ServerSocket server;
    private final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    private final List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new EventLoop();
    private final Net net = new Net(loop, true);
    private final Pooler pooler;
    private final HttpEndpointDiscovery discovery;

    HttpEndpointDiscoveryTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        pooler = new Pooler(
                loop,
                NodeConfig.read(Path.of("example/config.json"), null).site().settings()) {
            @Override
            public void onEndpointListEvent(EndpointListEvent event) {
                events.add(event);
                super.onEndpointListEvent(event);
            }
        };
        discovery = new HttpEndpointDiscovery(
                net,
                pooler,
                new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                new EndpointListReader(List.of(), null),
                5);
        pooler.discovery(discovery);
    }

    @BeforeEach
    void start() {
        World.thread(() -> {
            while (true) {
                calls.add(server.accept());
            }
        });
        loop.start();
        loop.post(() -> pooler.start(1, List.of()));
    }

    @AfterEach
    void stop() throws IOException {
        net.close();
        loop.stop();
        server.close();
        for (Socket call : calls) {
            call.close();
        }
    }

    /** Accepts the next call and reads its request. */
    private Socket nextCall() throws Exception {
        Socket call = calls.poll(10, TimeUnit.SECONDS);
        assertTrue(call != null, "no call in 10 s");
        call.setTcpNoDelay(true);
        InputStream in = call.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return call;
    }

    private static void send(Socket call, String text) throws IOException {
        call.getOutputStream().write(text.getBytes(ISO_8859_1));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String list(int revision, boolean complete, String... ids) {
        StringBuilder text =
                new StringBuilder("{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[");
        for (String id : ids) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"id\":\"")
                    .append(id.replace("-", ""))
                    .append("\",\"host_port\":\"127.0.0.1:1\",\"cell\":1,\"phase\":\"")
                    .append(id.startsWith("-") ? "terminated" : "in_service")
                    .append("\",\"up_since_ms\":0}");
        }
        return text.append("]}").toString();
    }

    private static void reset(Socket call) throws IOException {
        call.setSoLinger(true, 0);
        call.close();
    }

    private <T> T onCore(Supplier<T> query) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> result.complete(query.get()));
        return result.get(10, TimeUnit.SECONDS);
    }

    private boolean lists(String id) {
        try {
            return onCore(() -> pooler.hasUsableInstance(id));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void objectMayBeIndentedAndSpanManyChunks() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD);
        String indented = list(6, true, "a", "b")
                        .replace("{", "{\n  ")
                        .replace(",", ",\n\t")
                        .replace("]", "\r\n ]")
                        .replace("\"b\"", "\"b \\\" } ] \\\\\"")
                + "\n";
        for (char character : indented.toCharArray()) {
            send(watch, chunk(String.valueOf(character)));
        }
        World.await("listed", () -> lists("a") && lists("b \" } ] \\"));
        // Two objects in one chunk, with a heartbeat between them.
        send(watch, chunk(list(7, false, "c") + "\n\n" + list(8, false, "-a") + "\n"));
        World.await("both changes applied", () -> lists("c") && !lists("a"));
        assertTrue(calls.isEmpty(), "the watch was closed and reopened");
    }

    @Test
    void truncatedObjectFollowedByHeartbeatsFailsTheWatch() throws Exception {
        Socket watch = nextCall();
        String completeList = list(6, true, "a", "b");
        send(watch, CHUNKED_HEAD + chunk(completeList.substring(0, completeList.length() - 20)));
        long truncatedAtNanos = System.nanoTime();
        send(watch, chunk("\n") + chunk("\n"));
        Socket next = nextCall();
        assertTrue(System.nanoTime() - truncatedAtNanos < 2 * NANOS_PER_SECOND);
        assertEquals(false, lists("a"));
        send(next, CHUNKED_HEAD + chunk(completeList + "\n"));
        World.await("listed", () -> lists("a") && lists("b"));
    }

    @Test
    void listIsKnownWithinSixSecondsAfterAWatchStopsWithinAnObject() throws Exception {
        Socket watch = nextCall();
        String completeList = list(6, true, "a");
        send(watch, CHUNKED_HEAD + chunk("\n") + chunk(completeList.substring(0, 30)));
        long silentSinceNanos = System.nanoTime();
        Socket next = nextCall();
        send(next, CHUNKED_HEAD + chunk(completeList + "\n"));
        World.await("listed", () -> lists("a"));
        assertTrue(System.nanoTime() - silentSinceNanos < 6 * NANOS_PER_SECOND);
    }

    @Test
    void changeIsKnownWithinSixSecondsAfterTheWatchBecameSilentThoughTwoCallsFail() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        long silentSinceNanos = System.nanoTime();
        // The first successor is never answered, the second is rejected.
        nextCall();
        Socket rejected = nextCall();
        send(rejected, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        Socket third = nextCall();
        send(third, CHUNKED_HEAD + chunk(list(7, false, "-a") + "\n"));
        World.await("departure applied", () -> !lists("a"));
        assertTrue(
                System.nanoTime() - silentSinceNanos < 6 * NANOS_PER_SECOND,
                "milliseconds taken: " + (System.nanoTime() - silentSinceNanos) / 1_000_000);
    }

    @Test
    void listIsKnownWithinSixSecondsAfterALongOutageThoughTwoCallsFail() throws Exception {
        // Enough calls are reset for the backoff to reach its maximum.
        for (int i = 0; i < 8; i++) {
            reset(nextCall());
        }
        long outageEndNanos = System.nanoTime();
        nextCall();
        send(nextCall(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        send(nextCall(), CHUNKED_HEAD + chunk(list(7, true, "b") + "\n"));
        World.await("listed", () -> lists("b"));
        assertTrue(
                System.nanoTime() - outageEndNanos < 6 * NANOS_PER_SECOND,
                "milliseconds taken: " + (System.nanoTime() - outageEndNanos) / 1_000_000);
    }

    @Test
    void slowWatchIsReadUntilItsSuccessorSendsAMessage() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a", "b") + "\n"));
        World.await("listed", () -> lists("a"));
        Socket next = nextCall();
        // The successor has received a head but no message: the first watch is still read.
        send(next, CHUNKED_HEAD);
        send(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("change of the first watch applied", () -> !lists("a"));
        send(next, chunk(list(8, false, "-b") + "\n"));
        World.await("change of the successor applied", () -> !lists("b"));
        watch.setSoTimeout(10_000);
        assertEquals(-1, watch.getInputStream().read());
    }

    @Test
    void outdatedListsAndChangesAreIgnored() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a", "b") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            discovery.fetch();
            return null;
        });
        Socket fetch = nextCall();
        send(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("departure applied", () -> !lists("a"));
        // The complete list and a change, both older than the applied change, arrive after it.
        String late = list(6, true, "a", "b");
        send(fetch, "HTTP/1.1 200 OK\r\nContent-Length: " + late.length() + "\r\n\r\n" + late);
        assertEquals(-1, fetch.getInputStream().read());
        send(watch, chunk(list(5, false, "a") + "\n" + list(8, false, "c") + "\n"));
        World.await("change behind the outdated ones applied", () -> lists("c"));
        assertEquals(false, lists("a"));
    }

    @Test
    void listIsAppliedAfterDiscoveryRestartsItsRevisionNumbers() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(60, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        reset(watch);
        Socket next = nextCall();
        send(next, CHUNKED_HEAD + chunk(list(2, true, "b") + "\n") + chunk(list(3, false, "c") + "\n"));
        World.await("list with restarted revisions applied", () -> lists("b") && lists("c") && !lists("a"));
    }

    @Test
    void answerWithoutLengthIsCompletedByEndOfConnectionButNotByReset() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            discovery.fetch();
            return null;
        });
        Socket endedCall = nextCall();
        send(endedCall, HEAD_WITHOUT_LENGTH + list(7, true, "b"));
        endedCall.shutdownOutput();
        World.await("list applied at the end of the connection", () -> lists("b") && !lists("a"));
        onCore(() -> {
            discovery.fetch();
            return null;
        });
        Socket resetCall = nextCall();
        send(resetCall, HEAD_WITHOUT_LENGTH + list(8, true, "c"));
        // The pooler reads all of the body before the reset: only the reset marks the answer as incomplete.
        Thread.sleep(100);
        reset(resetCall);
        // The failure of the call makes the pooler open a new watch.
        send(nextCall(), CHUNKED_HEAD + chunk(list(8, false, "d") + "\n"));
        World.await("change on the new watch applied", () -> lists("d"));
        assertEquals(false, lists("c"));
        assertEquals(true, lists("b"));
    }

    @Test
    void answerOnAClosedWatchIsIgnored() throws Exception {
        Socket first = nextCall();
        Socket second = nextCall();
        // The first watch stays open beside the second until its answer times out.
        first.setSoTimeout(10_000);
        assertEquals(-1, first.getInputStream().read());
        try {
            send(first, CHUNKED_HEAD + chunk(list(9, true, "x") + "\n"));
        } catch (IOException e) {
            // Expected: the pooler has closed the connection.
        }
        send(second, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        assertEquals(false, lists("x"));
        assertEquals(
                EndpointState.LIVE,
                onCore(() ->
                        pooler.endpointStatuses().get(0).discovered().endpoint().state()));
    }

    @Test
    void watchAnsweredLateReplacesItsUnansweredSuccessor() throws Exception {
        Socket first = nextCall();
        Socket second = nextCall();
        send(first, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        // The second watch is redundant and is closed.
        second.setSoTimeout(10_000);
        assertEquals(-1, second.getInputStream().read());
        send(first, chunk(list(7, false, "b") + "\n"));
        World.await("the first watch continues", () -> lists("b"));
    }

    @Test
    void twoWatchesAnsweredAtTheSameTimeAreBothRead() throws Exception {
        Socket first = nextCall();
        Socket second = nextCall();
        // Discovery serves all other callers between two messages on the same connection.
        send(first, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        send(second, CHUNKED_HEAD + chunk(list(7, true, "b") + "\n"));
        World.await("list of the second watch applied", () -> lists("b") && !lists("a"));
        send(first, chunk(list(8, false, "c") + "\n"));
        World.await("change on the first watch applied", () -> lists("c"));
    }

    @Test
    void supersededWatchIsStillReadForAWhile() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        Socket next = nextCall();
        send(next, CHUNKED_HEAD + chunk("\n"));
        onCore(() -> null);
        send(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("change on the superseded watch applied", () -> !lists("a"));
        watch.setSoTimeout(10_000);
        assertEquals(-1, watch.getInputStream().read());
        send(next, chunk(list(8, false, "b") + "\n"));
        World.await("the successor continues", () -> lists("b"));
    }

    @Test
    void answerReceivedWhileTheCoreThreadIsLateForTheDeadlineIsApplied() throws Exception {
        Socket first = nextCall();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.post(() -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        long blockedSinceNanos = System.nanoTime();
        World.await(
                "deadline of the watch passed",
                () -> System.nanoTime() - blockedSinceNanos > NANOS_PER_SECOND * 13 / 10);
        send(first, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        release.countDown();
        World.await("listed", () -> lists("a"));
        assertTrue(System.nanoTime() - blockedSinceNanos < NANOS_PER_SECOND * 23 / 10, "a second call was needed");
        send(first, chunk(list(7, false, "b") + "\n"));
        World.await("the watch continues", () -> lists("b"));
    }

    @Test
    void listRequestedBeforeARevisionRestartIsIgnoredAfterIt() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(60, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            discovery.fetch();
            return null;
        });
        Socket fetch = nextCall();
        reset(watch);
        Socket next = nextCall();
        send(next, CHUNKED_HEAD + chunk(list(2, true, "b") + "\n"));
        World.await("list with restarted revisions applied", () -> lists("b"));
        String late = list(61, true, "a", "b");
        send(fetch, "HTTP/1.1 200 OK\r\nContent-Length: " + late.length() + "\r\n\r\n" + late);
        assertEquals(-1, fetch.getInputStream().read());
        send(next, chunk(list(3, false, "-b") + "\n"));
        World.await("change on the new watch applied", () -> !lists("b"));
        assertEquals(false, lists("a"));
    }

    @Test
    void heartbeatsDoNotCountAsMessagesWhileNoListIsKnown() throws Exception {
        // This call is of a pooler that started with a list of revision 5; the pooler under test starts with none.
        nextCall();
        ServerSocket otherServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BlockingQueue<Socket> otherCalls = new LinkedBlockingQueue<>();
        World.thread(() -> {
            while (true) {
                otherCalls.add(otherServer.accept());
            }
        });
        Pooler empty = new Pooler(loop, pooler.settings());
        HttpEndpointDiscovery emptyDiscovery = new HttpEndpointDiscovery(
                net,
                empty,
                new InetSocketAddress("127.0.0.1", otherServer.getLocalPort()),
                new EndpointListReader(List.of(), null),
                0);
        empty.discovery(emptyDiscovery);
        loop.post(() -> empty.start(2, List.of()));
        Socket first = otherCalls.poll(10, TimeUnit.SECONDS);
        send(first, CHUNKED_HEAD + chunk("\n"));
        long heartbeatNanos = System.nanoTime();
        Socket second = otherCalls.poll(10, TimeUnit.SECONDS);
        assertTrue(
                second != null && System.nanoTime() - heartbeatNanos < 2 * NANOS_PER_SECOND,
                "the heartbeat counted as a message, so no second call came in time");
        send(second, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> {
            try {
                return onCore(() -> empty.hasUsableInstance("a"));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        otherServer.close();
    }

    @Test
    void repeatedSubscribeDoesNotReplaceAnOpenWatch() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk("\n"));
        onCore(() -> {
            discovery.subscribe(true);
            return null;
        });
        // The watch has only received a heartbeat, as nothing changed; the next change on it is still applied.
        send(watch, chunk(list(6, false, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        assertTrue(calls.isEmpty(), "another watch was opened");
    }

    /** Sends heartbeats on one watch until the pooler has closed the other. */
    private static void sendHeartbeatsUntilClosed(Socket alive, Socket closing) throws Exception {
        closing.setSoTimeout(300);
        for (int i = 0; i < 30; i++) {
            try {
                assertEquals(-1, closing.getInputStream().read());
                return;
            } catch (SocketTimeoutException e) {
                send(alive, chunk("\n"));
            }
        }
        throw new AssertionError("the other watch was not closed");
    }

    /** Waits until exactly {@code count} events have been reported and returns the last. */
    private EndpointListEvent awaitEvent(int count) throws Exception {
        World.await("event reported", () -> events.size() >= count);
        assertEquals(count, events.size(), events.toString());
        return events.get(count - 1);
    }

    @Test
    void onlyAChangeOnAnUninterruptedSingleWatchHasANotificationTime() throws Exception {
        Socket watch = nextCall();
        int before = events.size();
        send(watch, CHUNKED_HEAD + chunk(list(6, false, "a") + "\n"));
        assertEquals(
                Long.MIN_VALUE,
                awaitEvent(before + 1).notifiedSinceMicros(),
                "the first message may contain changes of any age");
        long sentAfterMicros = loop.now();
        send(watch, chunk(list(7, false, "b") + "\n"));
        long since = awaitEvent(before + 2).notifiedSinceMicros();
        assertTrue(since >= sentAfterMicros - 1_000_000 && since <= loop.now(), "since " + (since - sentAfterMicros));
        // A message in two parts was sent no later than the first part arrived.
        String message = chunk(list(8, false, "c") + "\n");
        send(watch, message.substring(0, 20));
        long firstPartMicros = loop.now();
        World.await("300 ms passed", () -> loop.now() > firstPartMicros + 300_000);
        send(watch, message.substring(20));
        assertTrue(awaitEvent(before + 3).notifiedSinceMicros() <= firstPartMicros);
        send(watch, chunk(list(9, true, "c") + "\n"));
        assertEquals(Long.MIN_VALUE, awaitEvent(before + 4).notifiedSinceMicros(), "a complete list may be old");
        // The watch misses a heartbeat, and its successor is opened.
        Socket next = nextCall();
        send(watch, chunk(list(10, false, "d") + "\n"));
        assertEquals(
                Long.MIN_VALUE,
                awaitEvent(before + 5).notifiedSinceMicros(),
                "a change on an interrupted watch may be old");
        send(next, CHUNKED_HEAD + chunk(list(10, false, "d") + "\n"));
        assertEquals(Long.MIN_VALUE, awaitEvent(before + 6).notifiedSinceMicros());
        send(next, chunk(list(11, false, "e") + "\n"));
        assertEquals(
                Long.MIN_VALUE,
                awaitEvent(before + 7).notifiedSinceMicros(),
                "the first watch may have been notified of it before");
        sendHeartbeatsUntilClosed(next, watch);
        long onlyOpenSinceMicros = loop.now();
        send(next, chunk(list(12, false, "f") + "\n"));
        assertTrue(awaitEvent(before + 8).notifiedSinceMicros() > onlyOpenSinceMicros - 1_000_000);
    }

    @Test
    void changesReceivedDuringASuspensionAreAppliedBeforeTheNextTask() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        try (HeldSockets sockets = new HeldSockets(net)) {
            sockets.pause();
            long suspendedSinceNanos = System.nanoTime();
            send(watch, chunk(list(7, false, "-a") + "\n"));
            World.await("suspended for 200 ms", () -> System.nanoTime() - suspendedSinceNanos > NANOS_PER_SECOND / 5);
            CompletableFuture<Boolean> lists = new CompletableFuture<>();
            loop.post(() -> lists.complete(pooler.hasUsableInstance("a")));
            World.await(
                    "the task has run, or the core thread waits for unread events",
                    () -> lists.isDone() || HeldSockets.isAwaited());
            sockets.resume();
            assertEquals(false, lists.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void permanentlySuspendedNetworkThreadDelaysTheCoreThreadOnlyOnce() throws Exception {
        Socket watch = nextCall();
        send(watch, CHUNKED_HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        try (HeldSockets sockets = new HeldSockets(net)) {
            sockets.pause();
            long suspendedSinceNanos = System.nanoTime();
            World.await("suspended for 200 ms", () -> System.nanoTime() - suspendedSinceNanos > NANOS_PER_SECOND / 5);
            for (int i = 0; i < 20; i++) {
                assertTrue(lists("a"));
            }
            assertTrue(
                    System.nanoTime() - suspendedSinceNanos < 3 * NANOS_PER_SECOND,
                    "each task waits for the network thread");
        }
    }

    @Test
    void connectionsOfFailedCallsAreClosed() throws Exception {
        for (int i = 0; i < 4; i++) {
            Socket call = nextCall();
            send(call, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            call.setSoTimeout(10_000);
            assertEquals(-1, call.getInputStream().read());
        }
    }
}
