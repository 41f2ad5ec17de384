package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A pooler counts as answered when discovery writes to a call that the pooler has not closed. */
class NodeListTest {
    private static final String WATCH = "GET /api/targets?follow=1&since=0 HTTP/1.1\r\n\r\n";
    private static final String CALL = "GET /api/targets HTTP/1.1\r\n\r\n";
    private final BlockingQueue<List<String>> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private volatile CallQueue.Outcome outcome = new CallQueue.Outcome(0, CallQueue.Ending.ANSWERED);
    private final CallQueue queue = new CallQueue(7) {
        @Override
        CallQueue.Outcome outcome(String pooler, long now) {
            return outcome;
        }
    };
    private DbNodes nodes;
    private NodeList list;

    @BeforeEach
    void open() throws IOException {
        nodes = new DbNodes(1, (node, pooler, fields, write) -> {});
        list = new NodeList(
                "p0",
                nodes.all(),
                Map.of("n0", "127.0.0.1:1", "n1", "127.0.0.1:2", "n2", "127.0.0.1:3"),
                List.of("east", "west"),
                queue,
                new NodeList.Listener() {
                    @Override
                    public void answered(List<String> draining, long at) {
                        answers.add(draining);
                    }

                    @Override
                    public void watchAnswered() {
                        lines.add("watched");
                    }

                    @Override
                    public void log(String line) {
                        lines.add(line);
                    }
                });
    }

    @AfterEach
    void closeAll() throws IOException {
        list.close();
        nodes.close();
    }

    private Socket call(String head) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), list.port());
        socket.getOutputStream().write(head.getBytes(US_ASCII));
        return socket;
    }

    private static String read(Socket from, String wanted) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(from.getInputStream(), US_ASCII));
        String line = in.readLine();
        while (line != null && !line.contains(wanted)) {
            line = in.readLine();
        }
        return line;
    }

    /** All text received until the end of the connection; a reset is appended as "reset". */
    private static String text(Socket from) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] bytes = new byte[4096];
        try {
            for (int count = from.getInputStream().read(bytes);
                    count >= 0;
                    count = from.getInputStream().read(bytes)) {
                text.append(new String(bytes, 0, count, US_ASCII));
            }
        } catch (SocketException e) {
            text.append("reset");
        }
        return text.toString();
    }

    private void awaitLine(String line) throws InterruptedException {
        String next = lines.poll(5, TimeUnit.SECONDS);
        while (next != null && !next.startsWith(line)) {
            next = lines.poll(5, TimeUnit.SECONDS);
        }
        assertTrue(next != null, line + " was logged");
    }

    @Test
    void aWatchReceivesTheWholeListAndEachDrain() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaitLine("watched");
            list.setDraining(nodes.get("n1"), true);
            assertTrue(read(watch, "\"phase\":\"terminating\"").contains("n1"));
            assertEquals(List.of(), answers.poll());
            assertEquals(List.of("n1"), answers.poll());
        }
    }

    @Test
    void anAnswerListsAllDrainingDbNodes() throws Exception {
        list.setDraining(nodes.get("n1"), true);
        list.setDraining(nodes.get("n2"), true);
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaitLine("watched");
            assertEquals(List.of("n1", "n2"), answers.poll());
        }
    }

    @Test
    void aWatchThatItsCallerClosedIsNotAnswered() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaitLine("watched");
        }
        answers.clear();
        list.setDraining(nodes.get("n1"), true);
        assertTrue(answers.isEmpty(), answers.toString());
    }

    @Test
    void aSilentWatchIsNotAnswered() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaitLine("watched");
            answers.clear();
            assertTrue(list.silenceWatches());
            list.setDraining(nodes.get("n1"), true);
            assertTrue(answers.isEmpty(), answers.toString());
            assertTrue(!list.silenceWatches());
        }
    }

    /** The text that a call with this outcome receives. */
    private String responseText(CallQueue.Ending ending) throws IOException {
        outcome = new CallQueue.Outcome(0, ending);
        try (Socket call = call(CALL)) {
            call.setSoTimeout(5_000);
            return text(call);
        }
    }

    @Test
    void onlyAWholeListCountsAsAnAnswer() throws Exception {
        list.setDraining(nodes.get("n1"), true);
        answers.clear();
        assertTrue(responseText(CallQueue.Ending.REFUSED).startsWith("HTTP/1.1 503 "));
        assertEquals("reset", responseText(CallQueue.Ending.RESET));
        String torn = responseText(CallQueue.Ending.TORN);
        assertTrue(torn.endsWith("reset") && !torn.contains("\"n2\""), torn);
        assertTrue(answers.isEmpty(), answers.toString());
        assertTrue(responseText(CallQueue.Ending.ANSWERED).contains("\"n2\""));
        assertEquals(List.of("n1"), answers.poll());
    }

    @Test
    void aCallClosedBeforeItsTurnIsNotAnswered() throws Exception {
        outcome = new CallQueue.Outcome(System.currentTimeMillis() + 300, CallQueue.Ending.ANSWERED);
        try (Socket call = call(CALL)) {
            call.setSoTimeout(5_000);
            awaitLine("call 1 began");
        }
        awaitLine("call 1 had been given up");
        assertTrue(answers.isEmpty(), answers.toString());
    }

    @Test
    void resetWatchesAreNotAnswered() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaitLine("watched");
            answers.clear();
            list.resetWatches();
            list.setDraining(nodes.get("n1"), true);
            assertThrows(SocketException.class, () -> read(watch, "terminating"));
            assertTrue(answers.isEmpty(), answers.toString());
        }
    }
}
