package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs one pooler by {@code deploy/run.sh} on loopback, with stand-in db nodes and discovery, and measures how usual
 * clients with deadlines fare while others flood it with one kind of input. Needs the daemon's jar and the root of the
 * tree as working directory.
 */
public final class FloodDrill implements Closeable {
    /** The limit on the pooler's memory. */
    public static final int MEMORY_MEGABYTES = 144;

    static final int GROUPS = 2;
    private static final int SOCKETS = 384;
    private static final String ZONE = "almaty-main";
    private static final String NAME = "n0";
    private static final int READY_SECONDS = 30;
    private static final int WARM_UP_MILLIS = 1_500;
    private static final int END_SECONDS = 10;
    private static final int PORT_COUNT = 2;
    private static final int KILOBYTES_PER_MEGABYTE = 1024;

    /**
     * Settings of a drill.
     *
     * @param floodClients clients that flood
     * @param usualClients clients with deadlines
     * @param seconds how long the flood lasts
     * @param core the one core that the pooler may use; empty for all
     */
    public record Setting(
            FloodKind kind, int floodClients, int usualClients, int seconds, long seed, String core, Path config) {}

    private final Setting setting;
    private final Path folder = Files.createTempDirectory("flood");
    private final DbNodes nodes;
    private final NodeList discovery;
    private final int pgPort;
    private final int mysqlPort;
    private final Process process;

    /** Starts the stand-ins and the pooler, and waits until it accepts clients. */
    public FloodDrill(Setting setting) throws IOException, InterruptedException {
        this.setting = setting;
        nodes = new DbNodes(GROUPS, (node, pooler, fields, write) -> {});
        Map<String, String> addresses = new HashMap<>();
        for (DbNodes.DbNode node : nodes.all()) {
            addresses.put(node.id, "127.0.0.1:" + node.port(NAME));
        }
        TimedLog log = new TimedLog(folder.resolve("discovery.log"));
        discovery = new NodeList(
                NAME, nodes.all(), addresses, List.of(ZONE, ZONE), new CallQueue(setting.seed()), listener(log));
        try (Scratch.Ports ports = new Scratch.Ports(PORT_COUNT)) {
            pgPort = ports.get(0);
            mysqlPort = ports.get(1);
        }
        process = start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (!SqlClients.acceptsClients(pgPort)) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the pooler is not ready: " + Files.readString(log()));
            }
            Thread.sleep(20);
        }
    }

    private static NodeList.Listener listener(TimedLog log) {
        return new NodeList.Listener() {
            @Override
            public void answered(List<String> draining, long at) {
                // Nothing drains.
            }

            @Override
            public void watchAnswered() {
                // The list does not change.
            }

            @Override
            public void log(String line) {
                log.write(line);
            }
        };
    }

    private Process start() throws IOException {
        PoolerFiles.Identity identity = new PoolerFiles.Identity(NAME, 0, 1, pgPort, discovery.port());
        String platform =
                PoolerFiles.platform(Files.readString(setting.config()), identity, List.of(ZONE), discovery.entries());
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                PoolerFiles.withSockets(platform, SOCKETS)
                        .replaceFirst("\"memory_mb\": *\\d+", "\"memory_mb\": " + MEMORY_MEGABYTES));
        List<String> command = new ArrayList<>();
        if (!setting.core().isEmpty()) {
            command.addAll(List.of("taskset", "-c", setting.core()));
        }
        command.addAll(List.of("/bin/sh", "deploy/run.sh"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log().toFile());
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.environment().remove("NODE_OPERATOR");
        String path = folder.resolve("bin") + ":" + System.getenv("PATH");
        builder.environment().put("PATH", path);
        writeJavaWrapper();
        return builder.start();
    }

    /** The deploy file's command has no place for {@code --operator}: a script named java adds it. */
    private void writeJavaWrapper() throws IOException {
        Path operator = folder.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"mysql\":{\"listen\":\"127.0.0.1:" + mysqlPort + "\",\"user\":\"" + MysqlLoginClient.USER
                        + "\",\"password\":\"\",\"node_port\":3306,\"node_user\":\"pooler\",\"node_password\":\"\","
                        + "\"database\":\"ledger\"}}");
        Path script = Files.createDirectories(folder.resolve("bin")).resolve("java");
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        String option = setting.kind().front() == FloodKind.Front.MYSQL ? " --operator '" + operator + "'" : "";
        Files.writeString(script, "#!/bin/sh\nexec '" + java + "' \"$@\"" + option + "\n");
        if (!script.toFile().setExecutable(true)) {
            throw new IOException("cannot make " + script + " executable");
        }
    }

    /** The pooler's log. */
    public Path log() {
        return folder.resolve("pooler.log");
    }

    /** Runs usual clients, and the flood beside them, and returns how the usual clients fared. */
    public FloodResult play() throws IOException, InterruptedException {
        FloodResult.Recorder warmUp = new FloodResult.Recorder();
        DeadlineClients first = new DeadlineClients(pgPort, warmUp, setting.seed() - 1);
        first.start(setting.usualClients());
        Thread.sleep(WARM_UP_MILLIS);
        first.stop();
        FloodResult.Recorder recorder = new FloodResult.Recorder();
        DeadlineClients usual = new DeadlineClients(pgPort, recorder, setting.seed());
        AtomicLong bytes = new AtomicLong();
        AtomicLong connections = new AtomicLong();
        List<FloodClient> flood = new ArrayList<>();
        int port = setting.kind().front() == FloodKind.Front.MYSQL ? mysqlPort : pgPort;
        for (int i = 0; i < (setting.kind() == FloodKind.NONE ? 0 : setting.floodClients()); i++) {
            flood.add(new FloodClient(setting.kind(), port, bytes, connections));
        }
        usual.start(setting.usualClients());
        Thread.sleep(TimeUnit.SECONDS.toMillis(setting.seconds()));
        for (FloodClient client : flood) {
            client.stop();
        }
        usual.stop();
        boolean died = !process.isAlive();
        return recorder.result(setting.kind(), died ? 0 : peakMegabytes(), died, bytes.get(), connections.get());
    }

    private long peakMegabytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE)
                .findFirst()
                .orElse(0);
    }

    /** The last lines of the pooler's log. */
    public List<String> lastLogLines(int count) throws IOException {
        List<String> lines = Files.readAllLines(log(), UTF_8);
        return lines.subList(Math.max(0, lines.size() - count), lines.size());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        nodes.close();
        Scratch.delete(folder);
    }
}
