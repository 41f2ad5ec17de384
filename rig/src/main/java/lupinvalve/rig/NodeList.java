package lupinvalve.rig;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Discovery as one pooler sees it: the list over HTTP, and a watch that tells of each start of a db node. */
final class NodeList implements Closeable {
    private static final long BEAT = 500;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> watching = new CopyOnWriteArrayList<>();
    private final List<DbNodes.DbNode> nodes;
    private final Map<String, String> addresses;
    private final List<String> zones;
    private final List<Socket> silent = new CopyOnWriteArrayList<>();
    private int revision = 1;
    private final List<Long> answers = new ArrayList<>();
    private final Set<String> draining = new HashSet<>();

    /** @param addresses of db nodes as this pooler reaches them */
    NodeList(List<DbNodes.DbNode> nodes, Map<String, String> addresses, List<String> zones) throws IOException {
        this.nodes = nodes;
        this.addresses = addresses;
        this.zones = zones;
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                Threads.start("discovery", () -> answer(socket));
            }
        });
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Thread.sleep(BEAT);
                push("\n");
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private String entry(DbNodes.DbNode node) {
        return "{\"id\":\"" + node.id + "\",\"host_port\":\"" + addresses.get(node.id) + "\",\"locality\":\"" + zones.get(node.zone)
                + "\",\"cell\":" + node.group + ",\"phase\":\"" + (draining.contains(node.id) ? "terminating" : "in_service")
                + "\",\"size\":1.0,\"up_since_ms\":" + node.startedAt() + "}";
    }

    /** The list's entries, for a start before discovery answers. */
    String entries() {
        return nodes.stream().map(this::entry).collect(Collectors.joining(","));
    }

    private void answer(Socket socket) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
        String head = in.readLine();
        while (head != null && !in.readLine().isEmpty()) {
            // The rest says nothing that is needed here.
            continue;
        }
        synchronized (this) {
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
            chunk(socket, "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + entries() + "]}\n");
            if (head != null && head.contains("follow=1")) {
                watching.add(socket);
                answers.add(System.currentTimeMillis());
                return;
            }
        }
        socket.getOutputStream().write("0\r\n\r\n".getBytes(US_ASCII));
        socket.close();
    }

    /** A db node drains, or no longer. */
    synchronized void drains(DbNodes.DbNode node, boolean now) {
        if (now) {
            draining.add(node.id);
        } else {
            draining.remove(node.id);
        }
        started(node);
    }

    /** When the first watch since then was told the whole list, in Unix milliseconds, or the far future where none was. */
    synchronized long firstAnswerSince(long at) {
        return answers.stream().filter(answer -> answer >= at).findFirst().orElse(Long.MAX_VALUE);
    }

    /** What is open now stays open and says nothing more. */
    synchronized void fallSilent() {
        silent.addAll(watching);
        watching.clear();
    }

    /** A db node has started again, or its entry has changed otherwise. */
    synchronized void started(DbNodes.DbNode node) {
        revision++;
        push("{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry(node) + "]}\n");
    }

    private synchronized void push(String line) {
        for (Socket socket : watching) {
            try {
                chunk(socket, line);
            } catch (IOException e) {
                watching.remove(socket);
            }
        }
    }

    private static void chunk(Socket socket, String line) throws IOException {
        byte[] bytes = line.getBytes(UTF_8);
        OutputStream out = socket.getOutputStream();
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : watching) {
            socket.close();
        }
        for (Socket socket : silent) {
            socket.close();
        }
    }
}
