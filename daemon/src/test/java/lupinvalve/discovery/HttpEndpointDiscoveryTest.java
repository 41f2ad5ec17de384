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
 * What a pooler makes of a discovery that breaks off, falls silent, overlaps or is late: a scripted one on loopback.
 */
class HttpEndpointDiscoveryTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PLAIN = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final long SECOND = 1_000_000_000L;
    private final ServerSocket server;
    private final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    private final List<EndpointListEvent> told = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new EventLoop();
    private final Net net = new Net(loop, true);
    private final Pooler pooler;
    private final HttpEndpointDiscovery directory;

    HttpEndpointDiscoveryTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        pooler = new Pooler(
                loop,
                NodeConfig.read(Path.of("example/config.json"), null).site().settings()) {
            @Override
            public void onEndpointListEvent(EndpointListEvent news) {
                told.add(news);
                super.onEndpointListEvent(news);
            }
        };
        directory = new HttpEndpointDiscovery(
                net,
                pooler,
                new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                new EndpointListReader(List.of(), null),
                5);
        pooler.discovery(directory);
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

    /** The next call, its request read. */
    private Socket call() throws Exception {
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

    private static void say(Socket call, String text) throws IOException {
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

    private <T> T onCore(Supplier<T> asked) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(asked.get()));
        return answer.get(10, TimeUnit.SECONDS);
    }

    private boolean lists(String id) {
        try {
            return onCore(() -> pooler.hasUsableInstance(id));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void anObjectMayBeIndentedAndSpreadOverManyChunks() throws Exception {
        Socket watch = call();
        say(watch, HEAD);
        String indented = list(6, true, "a", "b")
                        .replace("{", "{\n  ")
                        .replace(",", ",\n\t")
                        .replace("]", "\r\n ]")
                        .replace("\"b\"", "\"b \\\" } ] \\\\\"")
                + "\n";
        for (char c : indented.toCharArray()) {
            say(watch, chunk(String.valueOf(c)));
        }
        World.await("listed", () -> lists("a") && lists("b \" } ] \\"));
        // Two in one chunk, and a beat between them.
        say(watch, chunk(list(7, false, "c") + "\n\n" + list(8, false, "-a") + "\n"));
        World.await("both taken", () -> lists("c") && !lists("a"));
        assertTrue(calls.isEmpty(), "the watch was given up");
    }

    @Test
    void halfAnObjectAndThenBeatsIsABrokenWatch() throws Exception {
        Socket watch = call();
        String whole = list(6, true, "a", "b");
        say(watch, HEAD + chunk(whole.substring(0, whole.length() - 20)));
        long broken = System.nanoTime();
        say(watch, chunk("\n") + chunk("\n"));
        Socket next = call();
        assertTrue(System.nanoTime() - broken < 2 * SECOND);
        assertEquals(false, lists("a"));
        say(next, HEAD + chunk(whole + "\n"));
        World.await("listed", () -> lists("a") && lists("b"));
    }

    @Test
    void halfAnObjectAndThenNothingIsFollowedByTheWholeInSixSeconds() throws Exception {
        Socket watch = call();
        String whole = list(6, true, "a");
        say(watch, HEAD + chunk("\n") + chunk(whole.substring(0, 30)));
        long silent = System.nanoTime();
        Socket next = call();
        say(next, HEAD + chunk(whole + "\n"));
        World.await("listed", () -> lists("a"));
        assertTrue(System.nanoTime() - silent < 6 * SECOND);
    }

    @Test
    void twoCallsMayFailAndAChangeIsStillKnownSixSecondsAfterItsWatchFellSilent() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        long silent = System.nanoTime();
        // One is never answered, one is refused.
        call();
        Socket refused = call();
        say(refused, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        Socket third = call();
        say(third, HEAD + chunk(list(7, false, "-a") + "\n"));
        World.await("gone", () -> !lists("a"));
        assertTrue(System.nanoTime() - silent < 6 * SECOND, "took ms " + (System.nanoTime() - silent) / 1_000_000);
    }

    @Test
    void afterALongOutageTwoCallsMayFailAndTheListIsKnownSixSecondsAfterItsEnd() throws Exception {
        // Calls are refused for long enough that its pauses have grown to their most.
        for (int i = 0; i < 8; i++) {
            reset(call());
        }
        long back = System.nanoTime();
        call();
        say(call(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        say(call(), HEAD + chunk(list(7, true, "b") + "\n"));
        World.await("listed", () -> lists("b"));
        assertTrue(System.nanoTime() - back < 6 * SECOND, "took ms " + (System.nanoTime() - back) / 1_000_000);
    }

    @Test
    void aWatchThatIsOnlySlowStaysUntilItsSuccessorSpeaks() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a", "b") + "\n"));
        World.await("listed", () -> lists("a"));
        Socket next = call();
        // The successor has a head, but has not said anything: what the first says still counts.
        say(next, HEAD);
        say(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("told by the first", () -> !lists("a"));
        say(next, chunk(list(8, false, "-b") + "\n"));
        World.await("told by the next", () -> !lists("b"));
        watch.setSoTimeout(10_000);
        assertEquals(-1, watch.getInputStream().read());
    }

    @Test
    void whatIsOlderThanWhatIsKnownBringsNothingBack() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a", "b") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            directory.fetch();
            return null;
        });
        Socket asked = call();
        say(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("gone", () -> !lists("a"));
        // The list was made before that, and arrives behind it; so does an older change.
        String late = list(6, true, "a", "b");
        say(asked, "HTTP/1.1 200 OK\r\nContent-Length: " + late.length() + "\r\n\r\n" + late);
        assertEquals(-1, asked.getInputStream().read());
        say(watch, chunk(list(5, false, "a") + "\n" + list(8, false, "c") + "\n"));
        World.await("what came behind them", () -> lists("c"));
        assertEquals(false, lists("a"));
    }

    @Test
    void aDiscoveryThatCountsAnewIsBelieved() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(60, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        reset(watch);
        Socket next = call();
        say(next, HEAD + chunk(list(2, true, "b") + "\n") + chunk(list(3, false, "c") + "\n"));
        World.await("listed anew", () -> lists("b") && lists("c") && !lists("a"));
    }

    @Test
    void anAnswerWithNoLengthEndsWithItsConnectionAndAResetIsNoEnd() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            directory.fetch();
            return null;
        });
        Socket ended = call();
        say(ended, PLAIN + list(7, true, "b"));
        ended.shutdownOutput();
        World.await("taken", () -> lists("b") && !lists("a"));
        onCore(() -> {
            directory.fetch();
            return null;
        });
        Socket broken = call();
        say(broken, PLAIN + list(8, true, "c"));
        // Read before the reset comes, so that only the way in which it ended can tell.
        Thread.sleep(100);
        reset(broken);
        // It has failed, so the watch is opened anew.
        say(call(), HEAD + chunk(list(8, false, "d") + "\n"));
        World.await("what came behind it", () -> lists("d"));
        assertEquals(false, lists("c"));
        assertEquals(true, lists("b"));
    }

    @Test
    void aCallThatIsAnsweredAfterItWasGivenUpChangesNothing() throws Exception {
        Socket first = call();
        Socket second = call();
        // It is kept beside the second for a while.
        first.setSoTimeout(10_000);
        assertEquals(-1, first.getInputStream().read());
        try {
            say(first, HEAD + chunk(list(9, true, "x") + "\n"));
        } catch (IOException e) {
            // Its connection is closed by now, as it should be.
        }
        say(second, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        assertEquals(false, lists("x"));
        assertEquals(
                EndpointState.LIVE,
                onCore(() ->
                        pooler.endpointStatuses().get(0).discovered().endpoint().state()));
    }

    @Test
    void aCallThatWaitsKeepsItsPlaceBesideTheNext() throws Exception {
        Socket first = call();
        Socket second = call();
        say(first, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        // The second is needed no more.
        second.setSoTimeout(10_000);
        assertEquals(-1, second.getInputStream().read());
        say(first, chunk(list(7, false, "b") + "\n"));
        World.await("the first goes on", () -> lists("b"));
    }

    @Test
    void whatIsWrittenToTwoCallsAtOnceIsReadFromBoth() throws Exception {
        Socket first = call();
        Socket second = call();
        // A whole round of callers lies between an answer and what the same connection is told next.
        say(first, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        say(second, HEAD + chunk(list(7, true, "b") + "\n"));
        World.await("known from the second", () -> lists("b") && !lists("a"));
        say(first, chunk(list(8, false, "c") + "\n"));
        World.await("known from the first", () -> lists("c"));
    }

    @Test
    void aWatchIsReadOnForAWhileOnceItsSuccessorHasSpoken() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        Socket next = call();
        say(next, HEAD + chunk("\n"));
        onCore(() -> null);
        say(watch, chunk(list(7, false, "-a") + "\n"));
        World.await("what it was told is known", () -> !lists("a"));
        watch.setSoTimeout(10_000);
        assertEquals(-1, watch.getInputStream().read());
        say(next, chunk(list(8, false, "b") + "\n"));
        World.await("the next goes on", () -> lists("b"));
    }

    @Test
    void anAnswerThatComesWhileTheCoreIsBehindItsDeadlineIsTaken() throws Exception {
        Socket first = call();
        CountDownLatch held = new CountDownLatch(1), go = new CountDownLatch(1);
        loop.post(() -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        long from = System.nanoTime();
        World.await("overdue", () -> System.nanoTime() - from > SECOND * 13 / 10);
        say(first, HEAD + chunk(list(6, true, "a") + "\n"));
        go.countDown();
        World.await("listed", () -> lists("a"));
        assertTrue(System.nanoTime() - from < SECOND * 23 / 10, "another call was needed");
        say(first, chunk(list(7, false, "b") + "\n"));
        World.await("it goes on", () -> lists("b"));
    }

    @Test
    void whatWasNumberedBeforeAChangeOfNumbersIsNotTakenBehindIt() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(60, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        onCore(() -> {
            directory.fetch();
            return null;
        });
        Socket asked = call();
        reset(watch);
        Socket next = call();
        say(next, HEAD + chunk(list(2, true, "b") + "\n"));
        World.await("listed anew", () -> lists("b"));
        String late = list(61, true, "a", "b");
        say(asked, "HTTP/1.1 200 OK\r\nContent-Length: " + late.length() + "\r\n\r\n" + late);
        assertEquals(-1, asked.getInputStream().read());
        say(next, chunk(list(3, false, "-b") + "\n"));
        World.await("what the new one tells", () -> !lists("b"));
        assertEquals(false, lists("a"));
    }

    @Test
    void beatsWithNoListAreNoWordWhereNothingIsKnown() throws Exception {
        // The first call comes from a start that remembers a list; this one from a start that knows nothing.
        call();
        ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BlockingQueue<Socket> came = new LinkedBlockingQueue<>();
        World.thread(() -> {
            while (true) {
                came.add(other.accept());
            }
        });
        Pooler empty = new Pooler(loop, pooler.settings());
        HttpEndpointDiscovery asks = new HttpEndpointDiscovery(
                net,
                empty,
                new InetSocketAddress("127.0.0.1", other.getLocalPort()),
                new EndpointListReader(List.of(), null),
                0);
        empty.discovery(asks);
        loop.post(() -> empty.start(2, List.of()));
        Socket first = came.poll(10, TimeUnit.SECONDS);
        say(first, HEAD + chunk("\n"));
        long beats = System.nanoTime();
        Socket second = came.poll(10, TimeUnit.SECONDS);
        assertTrue(second != null && System.nanoTime() - beats < 2 * SECOND, "took the beat for a word");
        say(second, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> {
            try {
                return onCore(() -> empty.hasUsableInstance("a"));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        other.close();
    }

    @Test
    void askingAgainDoesNotReplaceAWatchThatIsUp() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk("\n"));
        onCore(() -> {
            directory.subscribe(true);
            return null;
        });
        // It knows of no change, so it has only beaten; what it tells next is still heard.
        say(watch, chunk(list(6, false, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        assertTrue(calls.isEmpty(), "another was opened");
    }

    /** One watch beats until the other has been closed. */
    private static void beatUntilClosed(Socket beats, Socket closes) throws Exception {
        closes.setSoTimeout(300);
        for (int i = 0; i < 30; i++) {
            try {
                assertEquals(-1, closes.getInputStream().read());
                return;
            } catch (SocketTimeoutException e) {
                say(beats, chunk("\n"));
            }
        }
        throw new AssertionError("not closed");
    }

    /** The last news, once so much has been told. */
    private EndpointListEvent news(int count) throws Exception {
        World.await("told", () -> told.size() >= count);
        assertEquals(count, told.size(), told.toString());
        return told.get(count - 1);
    }

    @Test
    void onlyAChangeOnAWatchThatBeatsIsAsNewAsItsBytes() throws Exception {
        Socket watch = call();
        int before = told.size();
        say(watch, HEAD + chunk(list(6, false, "a") + "\n"));
        assertEquals(
                Long.MIN_VALUE,
                news(before + 1).notifiedSinceMicros(),
                "the first word tells what changed since long ago");
        long from = loop.now();
        say(watch, chunk(list(7, false, "b") + "\n"));
        long since = news(before + 2).notifiedSinceMicros();
        assertTrue(since >= from - 1_000_000 && since <= loop.now(), "since " + (since - from));
        // In two parts: it was written when the first part came.
        String half = chunk(list(8, false, "c") + "\n");
        say(watch, half.substring(0, 20));
        long parted = loop.now();
        World.await("some time later", () -> loop.now() > parted + 300_000);
        say(watch, half.substring(20));
        assertTrue(news(before + 3).notifiedSinceMicros() <= parted);
        say(watch, chunk(list(9, true, "c") + "\n"));
        assertEquals(Long.MIN_VALUE, news(before + 4).notifiedSinceMicros(), "a whole list");
        // It misses a beat, and its successor is opened.
        Socket next = call();
        say(watch, chunk(list(10, false, "d") + "\n"));
        assertEquals(Long.MIN_VALUE, news(before + 5).notifiedSinceMicros(), "it may have been told long ago");
        say(next, HEAD + chunk(list(10, false, "d") + "\n"));
        assertEquals(Long.MIN_VALUE, news(before + 6).notifiedSinceMicros());
        say(next, chunk(list(11, false, "e") + "\n"));
        assertEquals(Long.MIN_VALUE, news(before + 7).notifiedSinceMicros(), "the first may have been told it before");
        beatUntilClosed(next, watch);
        long alone = loop.now();
        say(next, chunk(list(12, false, "f") + "\n"));
        assertTrue(news(before + 8).notifiedSinceMicros() > alone - 1_000_000);
    }

    @Test
    void whatCameWhileTheProcessStoodStillIsKnownBeforeAnythingIsDecided() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        try (HeldSockets sockets = new HeldSockets(net)) {
            sockets.pause();
            long stands = System.nanoTime();
            say(watch, chunk(list(7, false, "-a") + "\n"));
            World.await("stood still", () -> System.nanoTime() - stands > SECOND / 5);
            CompletableFuture<Boolean> lists = new CompletableFuture<>();
            loop.post(() -> lists.complete(pooler.hasUsableInstance("a")));
            World.await("decides, or waits for the news", () -> lists.isDone() || HeldSockets.isAwaited());
            sockets.resume();
            assertEquals(false, lists.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void aThreadThatStandsStillForGoodHoldsUpTheCoreOnce() throws Exception {
        Socket watch = call();
        say(watch, HEAD + chunk(list(6, true, "a") + "\n"));
        World.await("listed", () -> lists("a"));
        try (HeldSockets sockets = new HeldSockets(net)) {
            sockets.pause();
            long stands = System.nanoTime();
            World.await("stood still", () -> System.nanoTime() - stands > SECOND / 5);
            for (int i = 0; i < 20; i++) {
                assertTrue(lists("a"));
            }
            assertTrue(System.nanoTime() - stands < 3 * SECOND, "each piece of work waits");
        }
    }

    @Test
    void nothingIsLeftOpenOfCallsThatFailed() throws Exception {
        for (int i = 0; i < 4; i++) {
            Socket call = call();
            say(call, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            call.setSoTimeout(10_000);
            assertEquals(-1, call.getInputStream().read());
        }
    }
}
