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

/**
 * One pooler started by {@code deploy/run.sh} with stand-in db nodes and discovery, all on loopback. Needs the daemon's
 * jar and the root of a tree as working directory.
 */
final class RunScriptPooler implements Closeable {
    /** The limit on the pooler's memory. */
    static final int MEMORY_MEGABYTES = 144;

    /** Groups of db nodes. */
    static final int GROUPS = 2;

    private static final int SOCKETS = 384;
    private static final String ZONE = "almaty-main";
    private static final String NAME = "n0";
    private static final int READY_SECONDS = 30;
    private static final int END_SECONDS = 10;
    private static final int PORT_COUNT = 2;
    private static final int KILOBYTES_PER_MEGABYTE = 1024;
    private static final int READY_CHECK_MILLIS = 20;
    /** The system's clock ticks a second, in which it counts processor time. */
    private static final double TICKS_PER_SECOND = 100;
    /** Fields of a process's stat file before the processor time, behind its name. */
    private static final int USER_TIME_FIELD = 11;

    private final Path folder = Files.createTempDirectory("pooler");
    private final Path config;
    private final String core;
    private final boolean isMysqlOn;
    private final DbNodes nodes;
    private final NodeList discovery;
    private final int pgPort;
    private final int mysqlPort;
    private final Process process;
    private final double startSeconds;

    /**
     * Starts the stand-ins and the pooler, and waits until it accepts clients.
     *
     * @param config platform configuration to start from
     * @param core the one core that the pooler may use; empty for all
     */
    RunScriptPooler(Path config, String core, boolean isMysqlOn) throws IOException, InterruptedException {
        this.config = config;
        this.core = core;
        this.isMysqlOn = isMysqlOn;
        nodes = new DbNodes(GROUPS, (node, pooler, fields, write) -> {});
        Map<String, String> addresses = new HashMap<>();
        for (DbNodes.DbNode node : nodes.all()) {
            addresses.put(node.id, "127.0.0.1:" + node.port(NAME));
        }
        TimedLog log = new TimedLog(folder.resolve("discovery.log"));
        discovery = new NodeList(NAME, nodes.all(), addresses, List.of(ZONE, ZONE), new CallQueue(1), listener(log));
        try (Scratch.Ports ports = new Scratch.Ports(PORT_COUNT)) {
            pgPort = ports.get(0);
            mysqlPort = ports.get(1);
        }
        process = start();
        awaitReady();
        startSeconds = processorSeconds();
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (!SqlClients.acceptsClients(pgPort)) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the pooler is not ready: " + Files.readString(log()));
            }
            Thread.sleep(READY_CHECK_MILLIS);
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
        String platform = PoolerFiles.platform(Files.readString(config), identity, List.of(ZONE), discovery.entries());
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                PoolerFiles.withSockets(platform, SOCKETS)
                        .replaceFirst("\"memory_mb\": *\\d+", "\"memory_mb\": " + MEMORY_MEGABYTES));
        List<String> command = new ArrayList<>();
        if (!core.isEmpty()) {
            command.addAll(List.of("taskset", "-c", core));
        }
        command.addAll(List.of("/bin/sh", "deploy/run.sh"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log().toFile());
        builder.environment().put("NODE_CONFIG", file.toString());
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
        String option = isMysqlOn ? " --operator '" + operator + "'" : "";
        Files.writeString(script, "#!/bin/sh\nexec '" + java + "' \"$@\"" + option + "\n");
        if (!script.toFile().setExecutable(true)) {
            throw new IOException("cannot make " + script + " executable");
        }
    }

    int pgPort() {
        return pgPort;
    }

    int mysqlPort() {
        return mysqlPort;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Processor time that the start took, until clients were accepted. */
    double startSeconds() {
        return startSeconds;
    }

    /** Processor time that the process has taken. */
    private double processorSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]))
                / TICKS_PER_SECOND;
    }

    /** Peak resident memory. */
    long peakMegabytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE)
                .findFirst()
                .orElse(0);
    }

    /** The pooler's log. */
    Path log() {
        return folder.resolve("pooler.log");
    }

    /** The last lines of the pooler's log. */
    List<String> lastLogLines(int count) throws IOException {
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
