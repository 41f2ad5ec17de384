import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * What the cases of this review share: free ports, the record, the pooler's processes, and stand-ins for discovery, db
 * nodes and clients, after the platform's protocol. JDK only.
 */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final List<Process> CHILDREN = new CopyOnWriteArrayList<>();
    private static final long STARTED = System.currentTimeMillis();
    private static final AtomicLong IDS = new AtomicLong();
    private static PrintWriter record;
    /** Whether each statement goes into the record, with its answer and where it ran. */
    static volatile boolean recordsStatements = true;

    private static Path scratch;

    private Kit() {}

    interface Body {
        /** Returns whether the rule held. */
        boolean run() throws Exception;
    }

    /** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String recordFile, Body body) {
        int code = 2;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
            scratch = Files.createTempDirectory("lupinvalve-review");
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
            Thread limit = new Thread(() -> {
                sleep(110_000);
                note("could not run: 110 s are over");
                Runtime.getRuntime().exit(2);
            });
            limit.setDaemon(true);
            limit.start();
            boolean held = body.run();
            note(held ? "verdict: the rule held" : "verdict: the rule was broken");
            code = held ? 0 : 1;
        } catch (Throwable e) {
            // An error too: the JVM would end with 1, which stands for a broken rule.
            e.printStackTrace();
            if (record != null) {
                note("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private static void cleanUp() {
        CHILDREN.forEach(Process::destroyForcibly);
        CHILDREN.forEach(child -> {
            try {
                child.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if ("1".equals(System.getenv("KEEP"))) {
            System.out.println("kept: " + scratch);
            return;
        }
        try (Stream<Path> files = Files.walk(scratch)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("not removed: " + e.getMessage());
        }
    }

    static synchronized void note(String format, Object... values) {
        String line = String.format("%7d ms  ", System.currentTimeMillis() - STARTED) + String.format(format, values);
        record.println(line);
        System.out.println(line);
    }

    /** As {@link #note}, but into the record alone. */
    static synchronized void detail(String format, Object... values) {
        record.println(String.format("%7d ms  ", System.currentTimeMillis() - STARTED) + String.format(format, values));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Path scratch() {
        return scratch;
    }

    /** A free port below those that the system gives to connections, which could take it before it is used. */
    static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                detail("port %d is taken", port);
            }
        }
        throw new IOException("no free port found");
    }

    static String newId() {
        return String.format("%016x", System.nanoTime() * 31 + IDS.incrementAndGet());
    }

    static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- the program's processes ----

    /** The example's configuration for one pooler, with its addresses and other replacements. */
    static Path config(String name, int listen, int discovery, String... replacements) throws IOException {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                .replace("127.0.0.1:5432", HOST + ":" + listen)
                .replace("127.0.0.1:8500", HOST + ":" + discovery);
        for (int i = 0; i < replacements.length; i += 2) {
            if (!text.contains(replacements[i])) {
                throw new IOException("example/config.json has no " + replacements[i]);
            }
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return Files.writeString(scratch.resolve(name + ".json"), text);
    }

    /**
     * Starts a pooler with the deploy file's command. An operator's file, which may be null, is added to the end of
     * that command, as README.md gives it: deploy/run.sh itself has no place for the option.
     */
    static Process pooler(String name, Path config, Path operator) throws IOException {
        String script = "deploy/run.sh";
        if (operator != null) {
            String text = Files.readString(Path.of(script));
            if (!text.stripTrailing().endsWith("lupinvalve.jar serve")) {
                throw new IOException(script + " ends otherwise than expected");
            }
            script = Files.writeString(
                            scratch.resolve(name + ".run.sh"), text.stripTrailing() + " --operator " + operator + "\n")
                    .toString();
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh " + script);
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().remove("NODE_OPERATOR");
        Path folder = Files.createDirectories(scratch.resolve(name + ".tmp"));
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(scratch.resolve(name + ".log").toFile()));
        Process process = builder.start();
        CHILDREN.add(process);
        note("started pooler %s, process %d", name, process.pid());
        return process;
    }

    /** Runs one command of the program to its end; returns its exit code, then its output. */
    static String[] command(long seconds, String... arguments) throws IOException, InterruptedException {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "daemon/target/lupinvalve.jar"));
        line.addAll(List.of(arguments));
        File out = File.createTempFile("call", ".txt", scratch.toFile());
        Process process = new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(out).start();
        CHILDREN.add(process);
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            return new String[] {"timeout", ""};
        }
        return new String[] {Integer.toString(process.exitValue()), Files.readString(out.toPath()).strip()};
    }

    /** Copies the log lines of a pooler that contain any of the words into the record. */
    static void recordLog(String name, String... words) throws IOException {
        for (String line : Files.readAllLines(scratch.resolve(name + ".log"))) {
            for (String word : words) {
                if (line.contains(word)) {
                    detail("log of %s: %s", name, line);
                    break;
                }
            }
        }
    }

    /** Waits until a pooler answers an empty query with EmptyQueryResponse; whether it has in time. */
    static boolean awaitReady(int port, long millis) {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            try (PgClient client = new PgClient(port)) {
                if (client.isReady()) {
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(20);
        }
        return false;
    }

    // ---- a client ----

    /** An answer: kind is served, refused or failed. */
    record Answer(String kind, String value) {}

    /** A client of the PostgreSQL front. */
    static final class PgClient implements AutoCloseable {
        private final Socket socket = new Socket();
        private final DataInputStream in;
        private final DataOutputStream out;

        PgClient(int port) throws IOException {
            socket.connect(new InetSocketAddress(HOST, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            byte[] body = "user\0api\0database\0ledger\0\0".getBytes(StandardCharsets.UTF_8);
            out.writeInt(body.length + 8);
            out.writeInt(196608);
            out.write(body);
            out.flush();
            readAnswer();
        }

        boolean isReady() throws IOException {
            return query("").kind().equals("empty");
        }

        Answer query(String sql) throws IOException {
            if (sql.isEmpty() || !recordsStatements) {
                return send(sql);
            }
            detail("client %d sent: %s", socket.getLocalPort(), sql);
            Answer answer = send(sql);
            detail("client %d was answered: %s %s", socket.getLocalPort(), answer.kind(), answer.value());
            return answer;
        }

        private Answer send(String sql) throws IOException {
            byte[] text = sql.getBytes(StandardCharsets.UTF_8);
            out.write('Q');
            out.writeInt(text.length + 5);
            out.write(text);
            out.write(0);
            out.flush();
            return readAnswer();
        }

        private Answer readAnswer() throws IOException {
            String kind = "";
            String value = "";
            while (true) {
                int type = in.readByte();
                byte[] body = in.readNBytes(in.readInt() - 4);
                if (type == 'I') {
                    kind = "empty";
                } else if (type == 'D') {
                    value = new String(body, 6, body.length - 6, StandardCharsets.UTF_8);
                } else if (type == 'C') {
                    kind = "served";
                } else if (type == 'E') {
                    String text = new String(body, StandardCharsets.UTF_8);
                    kind = text.contains("C53300") || text.contains("C57P03") ? "refused" : "failed";
                    value = text.replace('\0', ' ').strip();
                } else if (type == 'Z') {
                    return new Answer(kind, value);
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- the db set's data ----

    /** One committed write. */
    record Commit(long position, String handle, String blob) {}

    /** The log of a db set, which its primary writes and its replicas apply. */
    static final class Ledger {
        private final List<Commit> commits = new ArrayList<>();

        synchronized long commit(String handle, String blob) {
            long position = System.currentTimeMillis();
            if (!commits.isEmpty()) {
                position = Math.max(position, commits.get(commits.size() - 1).position());
            }
            commits.add(new Commit(position, handle, blob));
            return position;
        }

        /** The value of a handle as of a position. */
        synchronized String read(String handle, long position) {
            String value = "(nothing)";
            for (Commit commit : commits) {
                if (commit.handle().equals(handle) && commit.position() <= position) {
                    value = commit.blob();
                }
            }
            return value;
        }
    }

    /** A statement that came to a db node. */
    record Arrival(long atMillis, String node, String sql) {}

    // ---- db nodes over PostgreSQL's protocol ----

    /** A db node. */
    static final class PgNode {
        final String id;
        final Ledger ledger;
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        volatile boolean primary;
        /** How far it is behind; 0 for the primary. */
        volatile long lagMillis;
        /** How long it works on a statement. */
        volatile long workMillis;
        /** The port of its MySQL listener; 0 without one. */
        volatile int mysqlPort;

        final int port;

        PgNode(String id, Ledger ledger, boolean primary, long lagMillis) throws IOException {
            this.id = id;
            this.ledger = ledger;
            this.primary = primary;
            this.lagMillis = lagMillis;
            ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(HOST));
            port = server.getLocalPort();
            accept(server, this::serve);
        }

        String entry(String phase) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"" + HOST + ":" + port
                    + "\",\"locality\":\"almaty-main\",\"flavor\":\"std-5c\",\"cell\":1,\"phase\":\"" + phase
                    + (mysqlPort == 0 ? "" : "\",\"mysql_host_port\":\"" + HOST + ":" + mysqlPort)
                    + "\",\"size\":1.0,\"rank\":\"" + (primary ? "source" : "copy") + "\",\"up_since_ms\":0}";
        }

        private void serve(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            in.skipNBytes(in.readInt() - 4);
            message(out, 'R', new byte[4]);
            message(out, 'Z', new byte[] {'I'});
            out.flush();
            int type;
            while ((type = in.read()) == 'Q') {
                byte[] body = in.readNBytes(in.readInt() - 4);
                String sql = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                long asOf = System.currentTimeMillis() - lagMillis;
                String[] quoted = sql.split("'");
                if (sql.startsWith("SHOW vitals")) {
                    row(out, "x0=" + asOf / 1000.0 + ",x1=" + (primary ? 1 : 0));
                } else if (sql.equals("SELECT 1")) {
                    row(out, "1");
                } else {
                    arrivals.add(new Arrival(System.currentTimeMillis(), id, sql));
                    if (recordsStatements) {
                        detail("%s got: %s", id, sql);
                    }
                    sleep(workMillis);
                    asOf = System.currentTimeMillis() - lagMillis;
                    if (sql.startsWith("INSERT") && !primary) {
                        error(out, "25006");
                    } else if (sql.startsWith("INSERT")) {
                        asOf = ledger.commit(quoted[1], quoted[3]);
                        row(out, quoted[3]);
                    } else if (after(sql) > asOf) {
                        error(out, "72000");
                    } else {
                        row(out, ledger.read(quoted[1], asOf));
                    }
                }
                message(out, 'S', ("as_of\0" + asOf + "\0").getBytes(StandardCharsets.UTF_8));
                message(out, 'S', ("rank\0" + (primary ? "source" : "copy") + "\0").getBytes(StandardCharsets.UTF_8));
                message(out, 'Z', new byte[] {'I'});
                out.flush();
            }
        }

        private static long after(String sql) {
            int at = sql.indexOf("after=");
            return at < 0 ? 0 : Long.parseLong(sql.substring(at + 6).split("[^0-9]")[0]);
        }

        private static void row(DataOutputStream out, String value) throws IOException {
            message(
                    out,
                    'T',
                    "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(StandardCharsets.ISO_8859_1));
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            out.write('D');
            out.writeInt(10 + bytes.length);
            out.writeShort(1);
            out.writeInt(bytes.length);
            out.write(bytes);
            message(out, 'C', "SELECT 1\0".getBytes(StandardCharsets.UTF_8));
        }

        private static void error(DataOutputStream out, String code) throws IOException {
            message(out, 'E', ("SERROR\0C" + code + "\0Mno\0\0").getBytes(StandardCharsets.UTF_8));
        }

        private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
            out.write(type);
            out.writeInt(body.length + 4);
            out.write(body);
        }
    }

    interface Speaker {
        void speak(Socket socket) throws IOException;
    }

    static void accept(ServerSocket server, Speaker speaker) {
        start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    start(() -> {
                        try (socket) {
                            socket.setTcpNoDelay(true);
                            speaker.speak(socket);
                        } catch (IOException e) {
                            // The peer has left.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    // ---- discovery over HTTP ----

    /** Discovery: the whole list, or a watch that begins with the whole list. */
    static final class Discovery {
        final int port;
        private long revision = 1;
        private final Map<String, String> entries = new java.util.LinkedHashMap<>();

        Discovery(List<PgNode> nodes) throws IOException {
            nodes.forEach(node -> entries.put(node.id, node.entry("in_service")));
            ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(HOST));
            port = server.getLocalPort();
            accept(server, this::serve);
        }

        synchronized String list() {
            return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", entries.values())
                    + "]}\n";
        }

        private void serve(Socket socket) throws IOException {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String first = in.readLine();
            for (String line = in.readLine(); line != null && !line.isEmpty(); ) {
                line = in.readLine();
            }
            if (first == null) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            String list = list();
            if (!first.contains("follow=1")) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            chunk(out, list);
            while (true) {
                sleep(2000);
                chunk(out, "\n");
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }
}
