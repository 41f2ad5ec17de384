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
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import lupinvalve.cli.Daemon;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;

/** Test fixture: one pooler with scripted db nodes and a scripted discovery service, all on loopback. */
public final class World implements Closeable {
    static {
        Log.setLevel(Log.Level.ERROR);
    }

    private static final int PROTOCOL_VERSION_3 = 3 << 16;

    public final List<DbNode> nodes;
    public final Daemon daemon;
    final AtomicInteger watchesCount = new AtomicInteger();
    volatile boolean heartbeats = true;
    final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<OutputStream> watchStreams = new CopyOnWriteArrayList<>();
    private final AtomicInteger revision = new AtomicInteger(1);

    public World(OperatorConfig operator, DbNode... nodes) throws Exception {
        this(1024, operator, nodes);
    }

    public World(int sockets, OperatorConfig operator, DbNode... nodes) throws Exception {
        this(sockets, operator, null, nodes);
    }

    /**
     * @param sharedDirectory directory that the processes of a hot restart share; turns on the admin interface. Null
     *     for neither
     */
    public World(int sockets, OperatorConfig operator, Path sharedDirectory, DbNode... nodes) throws Exception {
        this(sockets, operator, sharedDirectory, UnaryOperator.identity(), nodes);
    }

    /** @param settings changes the text of the example's configuration */
    public World(OperatorConfig operator, UnaryOperator<String> settings, DbNode... nodes) throws Exception {
        this(1024, operator, null, settings, nodes);
    }

    private World(
            int sockets, OperatorConfig operator, Path sharedDirectory, UnaryOperator<String> settings, DbNode... nodes)
            throws Exception {
        this.nodes = List.of(nodes);
        thread(() -> {
            while (true) {
                Socket socket = discovery.accept();
                thread(() -> answer(socket, watchesCount));
            }
        });
        thread(() -> {
            while (true) {
                Thread.sleep(500);
                if (heartbeats) {
                    sendToWatches("");
                }
            }
        });
        daemon = daemon(settings.apply(config(discovery, sockets)), operator, sharedDirectory);
        daemon.start();
    }

    /** A second daemon of the same pooler: the same listen address and shared directory, and its own admin address. */
    Daemon successor(Path sharedDirectory) throws Exception {
        return daemon(
                config(discovery, 1024)
                        .replace("127.0.0.1:0", "127.0.0.1:" + daemon.address().getPort()),
                OperatorConfig.NONE,
                sharedDirectory);
    }

    static Daemon daemon(String config, OperatorConfig operator, Path sharedDirectory) throws IOException {
        Path file = Files.createTempFile("lupinvalve", ".json");
        Files.writeString(
                file,
                sharedDirectory == null ? config : config.replaceFirst("\\{", "{\"operator\": \"127.0.0.1:00\","));
        Daemon daemon = new Daemon(NodeConfig.read(file, null), operator, sharedDirectory);
        Files.delete(file);
        return daemon;
    }

    /** Sends a command to the admin interface and returns the answer. */
    static String call(Daemon daemon, String line) throws IOException {
        try (Socket socket = new Socket(
                daemon.adminAddress().getAddress(), daemon.adminAddress().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((line + "\n").getBytes(UTF_8));
            return new String(socket.getInputStream().readAllBytes(), UTF_8);
        }
    }

    String call(String line) throws IOException {
        return call(daemon, line);
    }

    /** The platform's configuration file with this discovery server and limit on sockets. */
    String config(ServerSocket discoveryServer, int sockets) throws IOException {
        return Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:5432", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:" + discoveryServer.getLocalPort())
                .replace("\"sockets\": 1024", "\"sockets\": " + sockets)
                .replace("\"members\": []", "\"members\": [" + entries() + "]");
    }

    /** Work of a background thread, whose exceptions are ignored: its sockets are closed while it uses them. */
    public interface Work {
        void run() throws Exception;
    }

    public static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The peer has closed the connection, or the test has ended.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public static void hold(java.util.concurrent.CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Waits up to 10 s until a condition holds. */
    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within 10 s: " + what);
            }
            Thread.sleep(2);
        }
    }

    private String entries() {
        return nodes.stream().map(DbNode::entry).collect(Collectors.joining(","));
    }

    /** Serves one connection as discovery: counts the watch and sends the complete list. */
    void answer(Socket socket, AtomicInteger count) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder requestHead = new StringBuilder();
        while (requestHead.indexOf("\r\n\r\n") < 0) {
            requestHead.append((char) in.read());
        }
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
        count.incrementAndGet();
        watchStreams.add(out);
        sendLine(out, "{\"revision\":" + revision.get() + ",\"complete\":true,\"members\":[" + entries() + "]}");
    }

    private static void sendLine(OutputStream out, String text) throws IOException {
        byte[] line = (text + "\n").getBytes(UTF_8);
        synchronized (out) {
            out.write((Integer.toHexString(line.length) + "\r\n").getBytes(UTF_8));
            out.write(line);
            out.write("\r\n".getBytes(UTF_8));
        }
    }

    private void sendToWatches(String text) {
        for (OutputStream out : watchStreams) {
            try {
                sendLine(out, text);
            } catch (IOException e) {
                watchStreams.remove(out);
            }
        }
    }

    /** Changes a node's phase and notifies all watches. */
    public void phase(DbNode node, String phase) {
        node.phase = phase;
        sendToWatches("{\"revision\":" + revision.incrementAndGet() + ",\"complete\":false,\"members\":[" + node.entry()
                + "]}");
    }

    /** Connects with PostgreSQL's JDBC driver. */
    public Connection pg() throws SQLException {
        return pg(daemon.address().getPort());
    }

    static Connection pg(int port) throws SQLException {
        Properties properties = new Properties();
        properties.setProperty("user", "api");
        properties.setProperty("preferQueryMode", "simple");
        properties.setProperty("sslmode", "disable");
        properties.setProperty("assumeMinServerVersion", "9.0");
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + port + "/ledger", properties);
    }

    /** Connects with MySQL's JDBC driver. */
    public Connection mysql(String user, String password) throws SQLException {
        return DriverManager.getConnection(
                "jdbc:mysql://127.0.0.1:" + daemon.mysqlAddress().getPort()
                        + "/ledger?sslMode=DISABLED&useServerPrepStmts=true&allowPublicKeyRetrieval=true",
                user,
                password);
    }

    /** A plain socket to the PostgreSQL frontend that has sent its startup message and these queries. */
    Socket raw(String... queries) throws IOException {
        return raw(daemon.address().getPort(), queries);
    }

    /** As {@link #raw(String...)}, to the frontend on a port of this machine. */
    static Socket raw(int port, String... queries) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        bytes.write(startup());
        for (String query : queries) {
            bytes.write(query(query));
        }
        socket.getOutputStream().write(bytes.toByteArray());
        return socket;
    }

    /** Encodes a startup message. */
    static byte[] startup() {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        return java.nio.ByteBuffer.allocate(2 * Integer.BYTES + names.length)
                .putInt(2 * Integer.BYTES + names.length)
                .putInt(PROTOCOL_VERSION_3)
                .put(names)
                .array();
    }

    /** Encodes a simple query message. */
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
