package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import lupinvalve.config.NodeConfig;
import lupinvalve.routing.RouterSettings;

/**
 * Runs up to some forty poolers without a store. Within one run most are killed together and restarted, half are ended
 * by signals and restarted, and all reload their configuration, while clients keep using their connections and
 * reconnect at once. The processes may be limited to a few cores, for which they contend.
 */
public final class FleetDrill implements Closeable {
    /** How long clients send statements between two faults of the fleet. */
    private static final long SERVE_MILLIS = 3_000;

    private static final int MIN_DOWN_MILLIS = 300;
    private static final int DOWN_SPREAD_MILLIS = 500;
    private static final int START_SECONDS = 120;
    private static final int END_SECONDS = 60;
    /** How many of ten poolers are killed together. */
    private static final int KILLED_OF_TEN = 7;
    /** How many of ten poolers are ended by signals together. */
    private static final int ENDED_OF_TEN = 5;

    private static final List<String> ZONES = List.of("east", "west");

    /**
     * Settings of a run.
     *
     * @param groups how many db sets
     * @param clients how many clients each pooler has
     * @param sockets the limit on sockets in each pooler's file
     * @param cores to how many cores all poolers together are limited; 0 for all cores
     */
    public record Setting(
            int poolers, int groups, Path config, long seed, int clients, int sockets, int cores, PrintStream log) {}

    private final class Pooler {
        final String name;
        final int port;
        final DaemonProcess process;
        final NodeList list;

        Pooler(int number, int port) throws IOException {
            name = "p" + number;
            this.port = port;
            process = new DaemonProcess(name, folder, line -> checkLogLine(name, line));
            Map<String, String> addresses = new TreeMap<>();
            for (DbNodes.DbNode node : nodes.all()) {
                addresses.put(node.id, "127.0.0.1:" + node.port(name));
            }
            list = new NodeList(name, nodes.all(), addresses, ZONES, queue, new DiscoveryRecorder(name, drains, log));
            PoolerFiles.Identity identity =
                    new PoolerFiles.Identity(name, number, setting.poolers(), port, list.port());
            String platform = PoolerFiles.platform(Files.readString(setting.config()), identity, ZONES, list.entries());
            process.files(PoolerFiles.withSockets(platform, setting.sockets()), "{}");
        }

        void start() throws IOException {
            timing.poolerStarted(name, System.currentTimeMillis());
            drains.poolerStarted(name, System.currentTimeMillis());
            process.start();
        }

        void awaitReady() throws IOException, InterruptedException {
            Await.until(name + " accepts clients", START_SECONDS, () -> SqlClients.acceptsClients(port));
            timing.poolerReady((System.nanoTime() - process.startedAt()) / 1_000_000);
        }

        /** Ends the process by signals, with SIGKILL as early as the platform may send it, and starts it again. */
        void endAndStart() throws IOException, InterruptedException {
            String problem = process.endBySeries(killMillis);
            if (problem != null) {
                unclean.add(problem);
            }
            start();
        }
    }

    private final Setting setting;
    private final Path folder = Files.createTempDirectory("fleet");
    private final RequestChecker requestChecker = new RequestChecker();
    private final Timing timing;
    private final Drains drains;
    private final CallQueue queue;
    private final TimedLog log = new TimedLog(folder.resolve("discovery.log"));
    private final DbNodes nodes;
    private final NodeFaults nodeFaults;
    private final SqlClients clients;
    private final List<Pooler> poolers = new ArrayList<>();
    private final List<String> unclean = new CopyOnWriteArrayList<>();
    private final long killMillis;
    private final Random random;
    private volatile boolean over;
    private final StallMonitor stallMonitor = new StallMonitor(() -> over);

    /** Opens ports and stand-ins and writes the poolers' files; starts no process. */
    public FleetDrill(Setting setting) throws IOException {
        this.setting = setting;
        random = new Random(setting.seed());
        RouterSettings settings = NodeConfig.read(setting.config(), null).site().settings();
        killMillis = Drill.killMillis(settings);
        timing = new Timing(Drill.rules(settings));
        drains = new Drains(
                IntStream.range(0, setting.poolers()).mapToObj(i -> "p" + i).toList(), timing);
        queue = new CallQueue(setting.seed());
        nodes = new DbNodes(setting.groups(), new StatementRecorder(requestChecker, timing, (node, pooler, at) -> {}));
        try (Scratch.Ports ports = new Scratch.Ports(setting.poolers())) {
            for (int i = 0; i < setting.poolers(); i++) {
                poolers.add(new Pooler(i, ports.get(i)));
            }
        }
        if (setting.cores() > 0) {
            poolers.forEach(pooler -> pooler.process.cores(setting.cores()));
        }
        nodeFaults = new NodeFaults(poolers.stream().map(pooler -> pooler.list).toList(), timing, drains, log);
        clients = new SqlClients(requestChecker, timing, setting.groups());
    }

    private void checkLogLine(String name, String line) {
        String fault = DaemonLog.fault(line);
        if (fault != null) {
            unclean.add(name + " logs: " + fault);
        }
    }

    /** Starts all poolers, waits until each accepts clients, and starts the clients. */
    public void start() throws IOException, InterruptedException {
        for (Pooler pooler : poolers) {
            pooler.start();
        }
        for (Pooler pooler : poolers) {
            pooler.awaitReady();
        }
        for (Pooler pooler : poolers) {
            int steady = setting.clients() / 4;
            clients.start(
                    pooler.name, pooler.port, ClientHabits.Kind.STEADY, steady, setting.seed() * 131 + pooler.port);
            clients.start(
                    pooler.name,
                    pooler.port,
                    ClientHabits.Kind.VARIED,
                    setting.clients() - steady,
                    setting.seed() * 137 + pooler.port);
        }
    }

    /**
     * Runs the faults: kills, ends and reloads, each of many poolers at once, with a db node that drains during the
     * kills.
     */
    public void play() throws IOException, InterruptedException {
        DbNodes.DbNode drainingNode = nodes.all().get(random.nextInt(nodes.all().size()));
        letClientsRun("all poolers serve clients");
        drain(drainingNode, true);
        killTogether();
        letClientsRun("the poolers that were killed together serve again");
        drain(drainingNode, false);
        endTogether();
        letClientsRun("the poolers that were ended together serve again");
        reloadTogether();
        letClientsRun("all poolers have reloaded their configuration");
    }

    private void letClientsRun(String progress) throws InterruptedException {
        setting.log().println(progress);
        Thread.sleep(SERVE_MILLIS);
    }

    private void drain(DbNodes.DbNode node, boolean on) throws IOException {
        nodeFaults.act(new Step(0, Step.Kind.NODE_DRAIN, node.id, "", 0, 0), node, on);
    }

    private List<Pooler> drawPoolers(int ofTen) {
        List<Pooler> drawn = new ArrayList<>(poolers);
        Collections.shuffle(drawn, random);
        return drawn.subList(0, Math.max(1, drawn.size() * ofTen / 10));
    }

    private void killTogether() throws IOException, InterruptedException {
        List<Pooler> killed = drawPoolers(KILLED_OF_TEN);
        long at = System.currentTimeMillis();
        for (Pooler pooler : killed) {
            pooler.process.kill();
        }
        Thread.sleep(MIN_DOWN_MILLIS + random.nextInt(DOWN_SPREAD_MILLIS));
        for (Pooler pooler : killed) {
            requestChecker.poolerDown(pooler.name, at, System.currentTimeMillis());
            pooler.start();
        }
        for (Pooler pooler : killed) {
            pooler.awaitReady();
        }
    }

    private void endTogether() throws InterruptedException, IOException {
        List<Pooler> ended = drawPoolers(ENDED_OF_TEN);
        List<Thread> threads = new ArrayList<>();
        for (Pooler pooler : ended) {
            threads.add(Threads.start("ends " + pooler.name, pooler::endAndStart));
        }
        for (Thread thread : threads) {
            thread.join(END_SECONDS * 1_000L);
        }
        for (Pooler pooler : ended) {
            pooler.awaitReady();
        }
    }

    private void reloadTogether() throws IOException, InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Pooler pooler : poolers) {
            threads.add(Threads.start("reloads " + pooler.name, pooler.process::reload));
        }
        for (Thread thread : threads) {
            thread.join(END_SECONDS * 1_000L);
        }
    }

    /** Ends clients, then daemons, and judges what was recorded. */
    public FleetResult judge() throws IOException, InterruptedException {
        clients.stop();
        List<Thread> threads = new ArrayList<>();
        for (Pooler pooler : poolers) {
            threads.add(Threads.start("ends " + pooler.name, () -> {
                String problem = pooler.process.end();
                if (problem != null) {
                    unclean.add(problem);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(END_SECONDS * 1_000L);
        }
        over = true;
        return new FleetResult(
                setting,
                requestChecker.verdict(),
                timing.verdict(),
                List.copyOf(unclean),
                stallMonitor.longestMillis());
    }

    /** The folder of the daemons' files and logs. */
    public Path folder() {
        return folder;
    }

    /** Ends all that the drill started; deletes the folder unless it is to be kept for inspection. */
    public void close(boolean keep) throws IOException {
        over = true;
        for (Pooler pooler : poolers) {
            pooler.process.close();
            pooler.list.close();
        }
        nodes.close();
        log.close();
        if (!keep) {
            Scratch.delete(folder);
        }
    }

    @Override
    public void close() throws IOException {
        close(false);
    }
}
