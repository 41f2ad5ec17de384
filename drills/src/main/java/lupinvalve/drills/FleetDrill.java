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
 * Up to some forty poolers without a store, which are killed together, started, told to end, started and given their
 * configuration anew within one run, while clients go on using their connections and come back at once. The processes
 * may be held to a few cores, on which they contend with each other.
 */
public final class FleetDrill implements Closeable {
    /** How long clients ask between two of the things that strike the fleet. */
    private static final long SERVE_MILLIS = 3_000;

    private static final int DOWN_LEAST = 300, DOWN_SPREAD = 500;
    private static final int START_SECONDS = 120, END_SECONDS = 60;
    /** Of ten poolers so many are killed together, and so many told to end. */
    private static final int KILLED_OF_TEN = 7, ENDED_OF_TEN = 5;

    private static final List<String> ZONES = List.of("east", "west");

    /**
     * What a run is made of.
     *
     * @param clients of each pooler
     * @param sockets what each pooler is told of its descriptors
     * @param cores to how many cores all poolers are held together; 0 for all there are
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
            process = new DaemonProcess(name, folder, line -> faultOfLog(name, line));
            Map<String, String> addresses = new TreeMap<>();
            for (DbNodes.DbNode node : nodes.all()) {
                addresses.put(node.id, "127.0.0.1:" + node.port(name));
            }
            list = new NodeList(name, nodes.all(), addresses, ZONES, queue, new DrainTold(name, drains, log));
            PoolerFiles.Place place = new PoolerFiles.Place(name, number, setting.poolers(), port, list.port());
            String platform = PoolerFiles.platform(Files.readString(setting.config()), place, ZONES, list.entries());
            process.files(PoolerFiles.withSockets(platform, setting.sockets()), "{}");
        }

        void start() throws IOException {
            timing.poolerStarted(name, System.currentTimeMillis());
            drains.started(name, System.currentTimeMillis());
            process.start();
        }

        void awaitReady() throws IOException, InterruptedException {
            Await.until(name + " takes clients", START_SECONDS, () -> SqlClients.takes(port));
            timing.ready((System.nanoTime() - process.startedAt()) / 1_000_000);
        }

        /** Tells it to end, kills it as early as the platform may, and starts it again. */
        void endAndStart() throws IOException, InterruptedException {
            String wrong = process.endBySeries(killMillis);
            if (wrong != null) {
                unclean.add(wrong);
            }
            start();
        }
    }

    private final Setting setting;
    private final Path folder = Files.createTempDirectory("fleet");
    private final Book book = new Book();
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
    private final Stall stall = new Stall(() -> over);

    /** Sets all up; nothing runs yet. */
    public FleetDrill(Setting setting) throws IOException {
        this.setting = setting;
        random = new Random(setting.seed());
        RouterSettings settings = NodeConfig.read(setting.config(), null).site().settings();
        killMillis = Drill.killMillis(settings);
        timing = new Timing(Drill.rules(settings));
        drains = new Drains(
                IntStream.range(0, setting.poolers()).mapToObj(i -> "p" + i).toList(), timing);
        queue = new CallQueue(setting.seed());
        nodes = new DbNodes(setting.groups(), new Arrivals(book, timing, (node, pooler, at) -> {}));
        try (Scratch.Ports ports = new Scratch.Ports(setting.poolers())) {
            for (int i = 0; i < setting.poolers(); i++) {
                poolers.add(new Pooler(i, ports.get(i)));
            }
        }
        if (setting.cores() > 0) {
            poolers.forEach(pooler -> pooler.process.cores(setting.cores()));
        }
        nodeFaults = new NodeFaults(poolers.stream().map(pooler -> pooler.list).toList(), timing, drains, log);
        clients = new SqlClients(book, timing, setting.groups());
    }

    private void faultOfLog(String name, String line) {
        String fault = DaemonLog.fault(line);
        if (fault != null) {
            unclean.add(name + " logs: " + fault);
        }
    }

    /** Starts all and waits until each takes clients. */
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
     * Strikes the fleet: kills, ends and configurations, each of many poolers at once, with db nodes that drain
     * meanwhile.
     */
    public void play() throws IOException, InterruptedException {
        DbNodes.DbNode leaving = nodes.all().get(random.nextInt(nodes.all().size()));
        serve("clients ask");
        drain(leaving, true);
        killTogether();
        serve("started anew");
        drain(leaving, false);
        endTogether();
        serve("ended and started anew");
        reloadTogether();
        serve("configured anew");
    }

    private void serve(String after) throws InterruptedException {
        setting.log().println(after);
        Thread.sleep(SERVE_MILLIS);
    }

    private void drain(DbNodes.DbNode node, boolean on) throws IOException {
        nodeFaults.act(new Step(0, Step.Kind.NODE_DRAIN, node.id, "", 0, 0), node, on);
    }

    private List<Pooler> some(int ofTen) {
        List<Pooler> drawn = new ArrayList<>(poolers);
        Collections.shuffle(drawn, random);
        return drawn.subList(0, Math.max(1, drawn.size() * ofTen / 10));
    }

    private void killTogether() throws IOException, InterruptedException {
        List<Pooler> killed = some(KILLED_OF_TEN);
        long at = System.currentTimeMillis();
        for (Pooler pooler : killed) {
            pooler.process.kill();
        }
        Thread.sleep(DOWN_LEAST + random.nextInt(DOWN_SPREAD));
        for (Pooler pooler : killed) {
            book.down(pooler.name, at, System.currentTimeMillis());
            pooler.start();
        }
        for (Pooler pooler : killed) {
            pooler.awaitReady();
        }
    }

    private void endTogether() throws InterruptedException, IOException {
        List<Pooler> ended = some(ENDED_OF_TEN);
        List<Thread> each = new ArrayList<>();
        for (Pooler pooler : ended) {
            each.add(Threads.start("ends " + pooler.name, pooler::endAndStart));
        }
        for (Thread thread : each) {
            thread.join(END_SECONDS * 1_000L);
        }
        for (Pooler pooler : ended) {
            pooler.awaitReady();
        }
    }

    private void reloadTogether() throws IOException, InterruptedException {
        List<Thread> each = new ArrayList<>();
        for (Pooler pooler : poolers) {
            each.add(Threads.start("reloads " + pooler.name, pooler.process::reload));
        }
        for (Thread thread : each) {
            thread.join(END_SECONDS * 1_000L);
        }
    }

    /** Ends clients, then daemons, and judges what everybody saw. */
    public FleetResult judge() throws IOException, InterruptedException {
        clients.stop();
        List<Thread> ends = new ArrayList<>();
        for (Pooler pooler : poolers) {
            ends.add(Threads.start("ends " + pooler.name, () -> {
                String wrong = pooler.process.end();
                if (wrong != null) {
                    unclean.add(wrong);
                }
            }));
        }
        for (Thread end : ends) {
            end.join(END_SECONDS * 1_000L);
        }
        over = true;
        return new FleetResult(setting, book.verdict(), timing.verdict(), List.copyOf(unclean), stall.longestMillis());
    }

    /** Where the logs are. */
    public Path folder() {
        return folder;
    }

    /** Ends all that it started; the folder stays where it is to be looked at. */
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
