package lupinvalve.rig;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A pooler counts as answered when discovery writes to a call of it that is still open. */
class NodeListTest {
    private static final String WATCH = "GET /api/targets?follow=1&since=0 HTTP/1.1\r\n\r\n";
    private final BlockingQueue<List<String>> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private DbNodes nodes;
    private NodeList list;

    @BeforeEach
    void starts() throws IOException {
        nodes = new DbNodes(1, (node, pooler, fields, write) -> { });
        list = new NodeList(nodes.all(), Map.of("n0", "127.0.0.1:1", "n1", "127.0.0.1:2", "n2", "127.0.0.1:3"), List.of("east", "west"),
                new NodeList.Told() {
                    @Override
                    public void answered(List<String> draining, long at) {
                        answers.add(draining);
                    }

                    @Override
                    public void watched() {
                        lines.add("watched");
                    }

                    @Override
                    public void said(String line) {
                        lines.add(line);
                    }
                });
    }

    @AfterEach
    void ends() throws IOException {
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

    private void awaits(String line) throws InterruptedException {
        String said = lines.poll(5, TimeUnit.SECONDS);
        while (said != null && !said.startsWith(line)) {
            said = lines.poll(5, TimeUnit.SECONDS);
        }
        assertTrue(said != null, line + " was said");
    }

    @Test
    void aWatchIsToldOfTheWholeListAndOfEachDrain() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaits("watched");
            list.drains(nodes.get("n1"), true);
            assertTrue(read(watch, "\"phase\":\"terminating\"").contains("n1"));
            assertEquals(List.of(), answers.poll());
            assertEquals(List.of("n1"), answers.poll());
        }
    }

    @Test
    void anAnswerHoldsAllThatDrain() throws Exception {
        list.drains(nodes.get("n1"), true);
        list.drains(nodes.get("n2"), true);
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaits("watched");
            assertEquals(List.of("n1", "n2"), answers.poll());
        }
    }

    @Test
    void aWatchThatWasGivenUpIsNotAnswered() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaits("watched");
        }
        answers.clear();
        list.drains(nodes.get("n1"), true);
        assertTrue(answers.isEmpty(), answers.toString());
    }

    @Test
    void aWatchThatFellSilentIsNotAnswered() throws Exception {
        try (Socket watch = call(WATCH)) {
            watch.setSoTimeout(5_000);
            awaits("watched");
            answers.clear();
            assertTrue(list.fallSilent());
            list.drains(nodes.get("n1"), true);
            assertTrue(answers.isEmpty(), answers.toString());
            assertTrue(!list.fallSilent());
        }
    }
}
