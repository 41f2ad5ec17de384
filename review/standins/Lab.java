import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, processes of the program, a discovery, and small helpers. Loopback only. */
final class Lab {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Whether the disruption is played; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> STARTED = new ArrayList<>();
    private static PrintWriter record;
    private static Path scratch;

    private Lab() {}

    /** Opens the record and a temporary folder; all started processes end with this one. */
    static void open(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        scratch = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::cleanUp));
        log("trouble %s", TROUBLE ? "played" : "left out");
    }

    private static void cleanUp() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
            for (Process process : STARTED) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(scratch)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.err.println("temporary folder: " + e);
        }
    }

    static Path scratch() {
        return scratch;
    }

    /** Milliseconds since the start of this run. */
    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void log(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%7d ms  ", millis()) + String.format(Locale.ROOT, format, values));
    }

    /** Ends the run with 1 if the rule was broken, else 0. */
    static void verdict(boolean broken, String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        log("%s: %s", broken ? "RULE BROKEN" : "rule held", text);
        System.out.println((broken ? "RULE BROKEN: " : "rule held: ") + text);
        System.exit(broken ? 1 : 0);
    }

    /** Ends the run with 2: the case could not be played. */
    static void cannotRun(String why) {
        log("COULD NOT RUN: %s", why);
        System.out.println("could not run: " + why);
        System.exit(2);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "lab", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Serves each accepted connection on a thread of its own. */
    interface Speaker {
        void speak(Socket socket) throws IOException;
    }

    static ServerSocket serve(int port, Speaker speaker) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(LOOPBACK, port), 100);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            speaker.speak(socket);
                        } catch (IOException e) {
                            // The peer has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    // Closed.
                }
            }
        });
        return server;
    }

    // ---- discovery, as in the protocol page: a whole list and a watch ----

    /** A discovery whose list never changes. */
    static int discovery(String members) throws IOException {
        String list = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
        return serve(0, socket -> {
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    while (true) {
                        String request = line(in);
                        if (request == null) {
                            return;
                        }
                        String header = request;
                        while (header != null && !header.isEmpty()) {
                            header = line(in);
                        }
                        OutputStream out = socket.getOutputStream();
                        byte[] body = list.getBytes(StandardCharsets.UTF_8);
                        if (!request.contains("follow=1")) {
                            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                            + body.length + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                            out.write(body);
                            out.flush();
                            continue;
                        }
                        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                        byte[] next = body;
                        while (true) {
                            out.write((Integer.toHexString(next.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                            out.write(next);
                            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                            out.flush();
                            sleep(2000);
                            next = "\n".getBytes(StandardCharsets.US_ASCII);
                        }
                    }
                })
                .getLocalPort();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** An entry of the list. */
    static String member(String id, int port, Integer mysqlPort, String rank) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\""
                + (mysqlPort == null ? "" : ",\"mysql_host_port\":\"127.0.0.1:" + mysqlPort + "\"")
                + ",\"locality\":\"almaty-main\",\"cell\":1,\"phase\":\"in_service\",\"size\":1.0,\"rank\":\"" + rank
                + "\",\"up_since_ms\":0}";
    }

    // ---- the program ----

    /** The example's settings with other addresses and limits: those of the first deployment. */
    static Path config(String name, int port, int discovery, int memoryMb) throws IOException {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                .replace("127.0.0.1:5432", "127.0.0.1:" + port)
                .replace("127.0.0.1:8500", "127.0.0.1:" + discovery)
                .replace("\"memory_mb\": 192", "\"memory_mb\": " + memoryMb);
        Path file = scratch.resolve(name + ".json");
        Files.writeString(file, text);
        return file;
    }

    /**
     * Starts a pooler with the deploy file's command, which the case's script gives in RUN.
     *
     * @param operator the operator's file, or null. The deploy file's command has no place for README's option
     *     --operator, so a script named java, first in the path of that command, adds it to the command's last line
     */
    static Process pooler(String name, Path config, Path operator) throws IOException {
        Path tmp = Files.createDirectories(scratch.resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", System.getenv("RUN"));
        Map<String, String> environment = builder.environment();
        environment.put("NODE_CONFIG", config.toString());
        environment.put("TMPDIR", tmp.toString());
        environment.remove("NODE_OPERATOR");
        if (operator != null) {
            Path folder = Files.createDirectories(scratch.resolve("bin-" + name));
            Path script = folder.resolve("java");
            Path java = Path.of(System.getProperty("java.home"), "bin", "java");
            Files.writeString(script, "#!/bin/sh\nexec '" + java + "' \"$@\" --operator '" + operator + "'\n");
            if (!script.toFile().setExecutable(true)) {
                throw new IOException("can't make " + script + " executable");
            }
            environment.put("PATH", folder + ":" + environment.get("PATH"));
        }
        Path log = scratch.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        log("started pooler %s, process %d", name, process.pid());
        return process;
    }

    /** Runs a subcommand of the program and returns its exit code; its output goes to the record. */
    static int command(String... arguments) throws IOException, InterruptedException {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "daemon/target/lupinvalve.jar"));
        line.addAll(List.of(arguments));
        Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        int code = process.waitFor();
        log("%s: exit code %d%s", String.join(" ", arguments), code, output.isEmpty() ? "" : ": " + output);
        return code;
    }

    /** Lines of a pooler's log that match, for the record. */
    static void quoteLog(String name, String pattern, int most) throws IOException {
        Path log = scratch.resolve(name + ".log");
        if (!Files.exists(log)) {
            return;
        }
        Pattern wanted = Pattern.compile(pattern);
        Files.readAllLines(log, StandardCharsets.UTF_8).stream()
                .filter(text -> wanted.matcher(text).find())
                .limit(most)
                .forEach(text -> log("log of %s: %s", name, text));
    }

    static boolean awaitPort(int port, long millis) {
        long end = millis() + millis;
        while (millis() < end) {
            try (Socket socket = new Socket(LOOPBACK, port)) {
                return socket.isConnected();
            } catch (IOException e) {
                sleep(10);
            }
        }
        return false;
    }

    // ---- PostgreSQL's protocol ----

    /** How far a db node has applied the log, and whether it hangs: then it neither applies nor answers. */
    static final class Applied {
        private final int lagMillis;
        private final int catchUpMillis;
        private volatile long hungAt = Long.MAX_VALUE;
        private volatile long hungUntil;

        /** @param catchUpMillis how long after a hang its log stands still where it was: it has to be fetched first */
        Applied(int lagMillis, int catchUpMillis) {
            this.lagMillis = lagMillis;
            this.catchUpMillis = catchUpMillis;
        }

        void hang(long millis) {
            long now = System.currentTimeMillis();
            hungUntil = now + millis;
            hungAt = now;
        }

        /** Waits for the end of a hang. */
        void await() {
            for (long now = System.currentTimeMillis(); now >= hungAt && now < hungUntil;
                    now = System.currentTimeMillis()) {
                sleep(1);
            }
        }

        /** The position in Unix milliseconds. */
        long position() {
            long now = System.currentTimeMillis();
            return (now >= hungAt && now < hungUntil + catchUpMillis ? hungAt : now) - lagMillis;
        }
    }

    /** One statement that a db node got. */
    record Got(long atMillis, String node, String statement, String id) {}

    private static final Pattern ID = Pattern.compile("\\bid=([^,* ]+)");

    static String idOf(String statement) {
        Matcher matcher = ID.matcher(statement);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** A PostgreSQL db node: answers each statement after a delay with one value. */
    static final class PgNode {
        final String name;
        final int port;
        final ConcurrentLinkedDeque<Got> got = new ConcurrentLinkedDeque<>();
        private final boolean primary;
        private final byte[] value;
        private final int delayMillis;
        private final Applied applied;

        PgNode(String name, boolean primary, byte[] value, int delayMillis) throws IOException {
            this(name, primary, value, delayMillis, new Applied(0, 0));
        }

        PgNode(String name, boolean primary, byte[] value, int delayMillis, Applied applied) throws IOException {
            this.applied = applied;
            this.name = name;
            this.primary = primary;
            this.value = value;
            this.delayMillis = delayMillis;
            port = serve(0, this::speak).getLocalPort();
        }

        private void speak(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 128 << 10);
            in.readFully(new byte[in.readInt() - 4]);
            message(out, 'R', new byte[4]);
            message(out, 'Z', new byte[] {'I'});
            out.flush();
            while (true) {
                int type = in.read();
                if (type < 0 || type == 'X') {
                    return;
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String statement = new String(body, 0, Math.max(0, body.length - 1), StandardCharsets.UTF_8);
                applied.await();
                boolean probe = statement.equals("SHOW vitals");
                if (!probe) {
                    got.add(new Got(millis(), name, statement, idOf(statement)));
                    sleep(delayMillis);
                }
                if (statement.startsWith("INSERT") && !primary) {
                    message(out, 'E', error("25006", "read only"));
                } else {
                    byte[] answer = probe
                            ? String.format(Locale.ROOT, "x0=%.3f,x1=%d", applied.position() / 1000.0, primary ? 1 : 0)
                                    .getBytes(StandardCharsets.US_ASCII)
                            : value;
                    message(out, 'T', rowDescription());
                    ByteArrayOutputStream row = new ByteArrayOutputStream();
                    row.write(new byte[] {0, 1});
                    row.write(int4(answer.length));
                    row.write(answer);
                    message(out, 'D', row.toByteArray());
                    message(out, 'C', text("SELECT 1"));
                }
                message(out, 'S', text("rank\0" + (primary ? "source" : "copy")));
                message(out, 'S', text("as_of\0" + applied.position()));
                message(out, 'Z', new byte[] {'I'});
                out.flush();
            }
        }
    }

    private static byte[] rowDescription() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(new byte[] {0, 1});
        out.write(text("blob"));
        out.write(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 0});
        return out.toByteArray();
    }

    private static byte[] error(String code, String why) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(text("SERROR"));
        out.write(text("C" + code));
        out.write(text("M" + why));
        out.write(0);
        return out.toByteArray();
    }

    static byte[] text(String text) {
        return (text + "\0").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] int4(int value) {
        return new byte[] {(byte) (value >> 24), (byte) (value >> 16), (byte) (value >> 8), (byte) value};
    }

    static void message(OutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.write(int4(body.length + 4));
        out.write(body);
    }

    /** A PostgreSQL client. */
    static final class PgClient implements Closeable {
        final Socket socket;
        final DataInputStream in;
        final OutputStream out;

        PgClient(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(6000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 8192));
            out = socket.getOutputStream();
            ByteArrayOutputStream startup = new ByteArrayOutputStream();
            startup.write(int4(196608));
            startup.write(text("user\0api\0database\0ledger\0"));
            out.write(int4(startup.size() + 4));
            out.write(startup.toByteArray());
            answer();
        }

        void send(String statement) throws IOException {
            ByteArrayOutputStream query = new ByteArrayOutputStream();
            message(query, 'Q', text(statement));
            out.write(query.toByteArray());
        }

        /** Reads up to ReadyForQuery: "served", or the error's code. */
        String answer() throws IOException {
            String answer = "";
            while (true) {
                int type = in.read();
                if (type < 0) {
                    throw new IOException("connection ended");
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (type == 'C') {
                    answer = "served";
                } else if (type == 'I') {
                    answer = "empty";
                } else if (type == 'E') {
                    String text = new String(body, StandardCharsets.UTF_8);
                    int code = text.indexOf("\0C");
                    answer = text.substring(code + 2, text.indexOf('\0', code + 2));
                } else if (type == 'Z') {
                    return answer;
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Whether the pooler answers an empty query as a front asks it to: it is ready. */
    static boolean ready(int port, long millis) {
        long end = millis() + millis;
        while (millis() < end) {
            try (PgClient client = new PgClient(port, 0)) {
                client.send("");
                if (client.answer().equals("empty")) {
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(20);
        }
        return false;
    }
}
