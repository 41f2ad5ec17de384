package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import lupinvalve.cli.Daemon;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;

/** One pooler before scripted db nodes and a scripted discovery, all on loopback. */
public final class World implements Closeable {
    static {
        Log.setLevel(Log.Level.ERROR);
    }

    public final List<DbNode> nodes;
    public final Daemon daemon;
    final AtomicInteger watches = new AtomicInteger();
    volatile boolean beats = true;
    final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<OutputStream> watching = new CopyOnWriteArrayList<>();
    private final AtomicInteger revision = new AtomicInteger(1);

    public World(OperatorConfig operator, DbNode... nodes) throws Exception {
        this(1024, operator, nodes);
    }

    public World(int sockets, OperatorConfig operator, DbNode... nodes) throws Exception {
        this(sockets, operator, null, nodes);
    }

    /** @param shared folder for operators' orders, with an address for their calls; null for neither */
    public World(int sockets, OperatorConfig operator, Path shared, DbNode... nodes) throws Exception {
        this.nodes = List.of(nodes);
        thread(() -> {
            while (true) {
                Socket socket = discovery.accept();
                thread(() -> answer(socket, watches));
            }
        });
        thread(() -> {
            while (true) {
                Thread.sleep(500);
                if (beats) {
                    line("");
                }
            }
        });
        daemon = daemon(config(discovery, sockets), operator, shared);
        daemon.start();
    }

    /** The same pooler once more: with the same address and folder, and a door of its own. */
    Daemon successor(Path shared) throws Exception {
        return daemon(
                config(discovery, 1024)
                        .replace("127.0.0.1:0", "127.0.0.1:" + daemon.address().getPort()),
                OperatorConfig.NONE,
                shared);
    }

    static Daemon daemon(String config, OperatorConfig operator, Path shared) throws IOException {
        Path file = Files.createTempFile("lupinvalve", ".json");
        Files.writeString(
                file, shared == null ? config : config.replaceFirst("\\{", "{\"operator\": \"127.0.0.1:00\","));
        Daemon daemon = new Daemon(NodeConfig.read(file, null), operator, shared);
        Files.delete(file);
        return daemon;
    }

    /** What a call to the operators' address is answered. */
    static String call(Daemon daemon, String line) throws IOException {
        try (Socket socket = new Socket(
                daemon.doorAddress().getAddress(), daemon.doorAddress().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((line + "\n").getBytes(UTF_8));
            return new String(socket.getInputStream().readAllBytes(), UTF_8);
        }
    }

    String call(String line) throws IOException {
        return call(daemon, line);
    }

    /** The platform's file, with discovery at a port. */
    String config(ServerSocket at, int sockets) throws IOException {
        return Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:5432", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:" + at.getLocalPort())
                .replace("\"sockets\": 1024", "\"sockets\": " + sockets)
                .replace("\"members\": []", "\"members\": [" + entries() + "]");
    }

    /** Code that may fail when its socket closes under it. */
    public interface Work {
        void run() throws Exception;
    }

    public static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The peer has gone, or the test is over.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    static void hold(java.util.concurrent.CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Waits until something holds. */
    public static void await(String what, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not in 10 s: " + what);
            }
            Thread.sleep(2);
        }
    }

    private String entries() {
        return nodes.stream().map(DbNode::entry).collect(Collectors.joining(","));
    }

    /** Answers as discovery; counts the watch. */
    void answer(Socket socket, AtomicInteger count) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
        count.incrementAndGet();
        watching.add(out);
        push(out, "{\"revision\":" + revision.get() + ",\"complete\":true,\"members\":[" + entries() + "]}");
    }

    private static void push(OutputStream out, String text) throws IOException {
        byte[] line = (text + "\n").getBytes(UTF_8);
        synchronized (out) {
            out.write((Integer.toHexString(line.length) + "\r\n").getBytes(UTF_8));
            out.write(line);
            out.write("\r\n".getBytes(UTF_8));
        }
    }

    private void line(String text) {
        for (OutputStream out : watching) {
            try {
                push(out, text);
            } catch (IOException e) {
                watching.remove(out);
            }
        }
    }

    /** Tells of a node's new phase. */
    public void phase(DbNode node, String phase) {
        node.phase = phase;
        line("{\"revision\":" + revision.incrementAndGet() + ",\"complete\":false,\"members\":[" + node.entry() + "]}");
    }

    /** A client of PostgreSQL's own driver. */
    public Connection pg() throws SQLException {
        return pg(daemon.address().getPort());
    }

    static Connection pg(int port) throws SQLException {
        Properties p = new Properties();
        p.setProperty("user", "api");
        p.setProperty("preferQueryMode", "simple");
        p.setProperty("sslmode", "disable");
        p.setProperty("assumeMinServerVersion", "9.0");
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + port + "/ledger", p);
    }

    /** A client of MySQL's own driver. */
    public Connection mysql(String user, String password) throws SQLException {
        return DriverManager.getConnection(
                "jdbc:mysql://127.0.0.1:" + daemon.mysqlAddress().getPort()
                        + "/ledger?sslMode=DISABLED&useServerPrepStmts=true&allowPublicKeyRetrieval=true",
                user,
                password);
    }

    /** A bare socket to the platform's front, which has sent its startup message. */
    Socket raw(String... queries) throws IOException {
        Socket socket = new Socket("127.0.0.1", daemon.address().getPort());
        socket.setSoTimeout(10_000);
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        java.io.DataOutputStream out = new java.io.DataOutputStream(bytes);
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        out.writeInt(8 + names.length);
        out.writeInt(196608);
        out.write(names);
        for (String query : queries) {
            out.write(query(query));
        }
        socket.getOutputStream().write(bytes.toByteArray());
        return socket;
    }

    /** A simple query as it is sent. */
    static byte[] query(String text) {
        byte[] bytes = (text + "\0").getBytes(UTF_8);
        return java.nio.ByteBuffer.allocate(1 + Integer.BYTES + bytes.length)
                .put((byte) 'Q')
                .putInt(Integer.BYTES + bytes.length)
                .put(bytes)
                .array();
    }

    @Override
    public void close() throws IOException {
        daemon.stop();
        discovery.close();
        for (DbNode node : nodes) {
            node.close();
        }
    }
}
