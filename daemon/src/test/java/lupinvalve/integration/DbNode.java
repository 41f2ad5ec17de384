package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * A scripted db node. It serves the PostgreSQL protocol; a second port may serve the same script over the MySQL
 * protocol.
 */
public final class DbNode implements Closeable {
    /** The outcome of a request at a node. */
    public enum Makes {
        SERVED,
        MISS,
        BEHIND,
        FULL,
        ERROR,
        HANG,
        DROP,
        SPOILT,
        MORE
    }

    final String id;
    public volatile boolean primary;
    public volatile LongSupplier asOf = System::currentTimeMillis;
    public final ConcurrentLinkedQueue<Makes> script = new ConcurrentLinkedQueue<>();
    public volatile String value = "value";
    /** Answers are sent once it is open. */
    public volatile java.util.concurrent.CountDownLatch hold = new java.util.concurrent.CountDownLatch(0);
    /** The greeting of a connection is sent once it is open. */
    public volatile java.util.concurrent.CountDownLatch greets = new java.util.concurrent.CountDownLatch(0);
    /** Idle time after which a connection is dropped without notice, which the next request on it detects. */
    public volatile long dropsAfterNanos = Long.MAX_VALUE;

    /** Time since which the connection served last has been idle. */
    public volatile long restsSince = System.nanoTime();
    /** The bytes sent instead of the answer for SPOILT, or after the answer for MORE. */
    public volatile byte[] strange = {};
    /** Statements in the order of their arrival. */
    public final List<String> seen = new CopyOnWriteArrayList<>();

    /** Number of executions by request id. */
    public final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** Number of open connections. */
    public final AtomicInteger open = new AtomicInteger();
    /** Number of connections accepted so far. */
    public final AtomicInteger met = new AtomicInteger();
    /** Address of its MySQL port, or null if it has none. */
    public volatile String mysql;

    volatile String phase = "in_service";
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public DbNode(String id, boolean primary) throws IOException {
        this.id = id;
        this.primary = primary;
        serve(server, this::speak);
    }

    /** Serves one connection. */
    public interface Speaker {
        void speak(Socket socket) throws IOException;
    }

    public void serve(ServerSocket from, Speaker speaker) {
        World.thread(() -> {
            while (true) {
                Socket socket = from.accept();
                // Without this, Nagle's algorithm delays an answer's second packet by 40 ms, until the first is
                // acknowledged.
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                World.thread(() -> {
                    open.incrementAndGet();
                    met.incrementAndGet();
                    try (socket) {
                        speaker.speak(socket);
                    } finally {
                        open.decrementAndGet();
                    }
                });
            }
        });
    }

    String entry() {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + server.getLocalPort() + "\","
                + (mysql == null ? "" : "\"mysql_host_port\":\"" + mysql + "\",")
                + "\"cell\":1,\"phase\":\"" + phase + "\",\"rank\":\"" + (primary ? "source" : "copy")
                + "\",\"up_since_ms\":0}";
    }

    public int port() {
        return server.getLocalPort();
    }

    public String rank() {
        return primary ? "source" : "copy";
    }

    /**
     * Records a statement and returns its outcome, from the script or else from the node's role and log position;
     * counts executions.
     */
    public Makes decide(String statement, Map<String, String> fields) {
        seen.add(statement);
        Makes makes = script.poll();
        boolean write = statement.startsWith("INSERT");
        if (makes == null) {
            makes = Makes.SERVED;
            if (write && !primary) {
                makes = Makes.MISS;
            } else if (fields.containsKey("after") && Long.parseLong(fields.get("after")) > asOf.getAsLong()) {
                makes = Makes.BEHIND;
            } else if ("bag-status".equals(fields.get("c")) && asOf.getAsLong() < System.currentTimeMillis() - 500) {
                makes = Makes.BEHIND;
            }
        }
        if (makes == Makes.SERVED
                || makes == Makes.DROP
                || makes == Makes.ERROR
                || makes == Makes.HANG
                || makes == Makes.SPOILT
                || makes == Makes.MORE) {
            runs.merge(fields.getOrDefault("id", "?"), 1, Integer::sum);
        }
        return makes;
    }

    public static Map<String, String> fields(String statement) {
        Map<String, String> fields = new ConcurrentHashMap<>();
        int from = statement.lastIndexOf("/*");
        if (from >= 0) {
            for (String pair :
                    statement.substring(from + 2, statement.lastIndexOf("*/")).split(",")) {
                fields.put(pair.split("=")[0].strip(), pair.split("=")[1].strip());
            }
        }
        return fields;
    }

    private void speak(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(new java.io.BufferedOutputStream(socket.getOutputStream()));
        in.skipNBytes(in.readInt() - 4);
        World.hold(greets);
        message(out, 'R', new byte[4]);
        ready(out);
        while (true) {
            restsSince = System.nanoTime();
            int type = in.read();
            if (type != 'Q' || System.nanoTime() - restsSince > dropsAfterNanos) {
                return;
            }
            byte[] body = in.readNBytes(in.readInt() - 4);
            String statement = new String(body, 0, body.length - 1, UTF_8);
            if (statement.equals("SHOW vitals")) {
                row(
                        out,
                        "x0="
                                + java.math.BigDecimal.valueOf(asOf.getAsLong(), 3)
                                        .toPlainString() + ",x1=" + (primary ? 1 : 0));
                ready(out);
                continue;
            }
            Makes makes = decide(statement, fields(statement));
            World.hold(hold);
            switch (makes) {
                case SERVED, MORE -> row(out, value);
                case SPOILT -> {
                    out.write(strange);
                    out.flush();
                    continue;
                }
                case MISS -> error(out, "25006");
                case BEHIND -> error(out, "72000");
                case FULL -> error(out, "53300");
                case ERROR -> error(out, "XX000");
                case HANG -> {
                    in.read();
                    return;
                }
                default -> {
                    return;
                }
            }
            message(out, 'S', ("as_of\0" + asOf.getAsLong() + "\0").getBytes(UTF_8));
            message(out, 'S', ("rank\0" + rank() + "\0").getBytes(UTF_8));
            message(out, 'Z', new byte[] {'I'});
            out.write(makes == Makes.MORE ? strange : new byte[0]);
            out.flush();
        }
    }

    private static void row(DataOutputStream out, String value) throws IOException {
        message(
                out,
                'T',
                ("\0\1blob\0" + "\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0")
                        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        byte[] bytes = value.getBytes(UTF_8);
        out.write('D');
        out.writeInt(4 + 2 + 4 + bytes.length);
        out.writeShort(1);
        out.writeInt(bytes.length);
        out.write(bytes);
        message(out, 'C', "SELECT 1\0".getBytes(UTF_8));
    }

    private static void error(DataOutputStream out, String code) throws IOException {
        message(out, 'E', ("SERROR\0C" + code + "\0Mno\0\0").getBytes(UTF_8));
    }

    private static void ready(DataOutputStream out) throws IOException {
        message(out, 'Z', new byte[] {'I'});
        out.flush();
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
