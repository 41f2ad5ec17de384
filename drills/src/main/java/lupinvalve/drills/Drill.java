package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import lupinvalve.config.NodeConfig;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterSettings;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Real daemons on loopback with stand-in db nodes and discovery, a proxy on each pair, operators and clients
 * throughout, and the faults of a scenario between them. Then all is mended, and what everybody saw is judged.
 */
public final class Drill implements Closeable {
    private static final long STOOD = 2_000;
    private static final List<SystemFaults.Kind> CALLS = List.of(
            SystemFaults.Kind.ACCEPT,
            SystemFaults.Kind.SOCKET,
            SystemFaults.Kind.CONNECT,
            SystemFaults.Kind.EPOLL,
            SystemFaults.Kind.SHORT);
    private static final List<String> ZONES = List.of("east", "west");
    private static final int OPERATORS = 3, CLIENTS = 3, WITHIN_SECONDS = 30;
    /** How long a pooler that stood still owes nothing: what it held has run out by then. */
    private static final long WOKEN = 3_000;
    /**
     * The platform may send SIGKILL so long after SIGTERM and the longest deadline, which counts as so much at most.
     */
    private static final long KILL_AFTER_DEADLINE = 700, LONGEST_DEADLINE = 3_000;

    /**
     * What a drill is made of.
     *
     * @param launcher class and arguments that stand before those of the daemon in the first life of p0; empty for none
     * @param paceMillis how long each operator rests between two calls
     * @param audit what the poolers' files say of it: off, serve or fence
     */
    public record Setting(
            Scenario scenario,
            Path config,
            long seed,
            boolean lyingDisks,
            PrintStream log,
            List<String> launcher,
            long paceMillis,
            String audit) {}

    /** One pooler with all that leads to it and from it. */
    private final class Pooler {
        final String name;
        final int number, store, pg;
        final DaemonProcess process;
        final NodeList list;
        /** By whom is dialled: other poolers' stores, and db nodes. */
        final Map<String, FaultProxy> ways = new TreeMap<>();
        /** Of its system calls and clock; null where the scenario has none, or no C compiler is there. */
        final SystemFaults faults;
        /** Stands before discovery where its word is to come late, else null. */
        FaultProxy lateList;

        Pooler(int number, int store, int pg) throws IOException {
            this.number = number;
            this.store = store;
            this.pg = pg;
            name = "p" + number;
            process = new DaemonProcess(name, folder, this::said);
            faults = faultLibrary == null ? null : SystemFaults.of(faultLibrary, folder.resolve(name + ".faults"));
            if (faults != null) {
                process.environment(faults.environment());
            }
            Map<String, String> addresses = new TreeMap<>();
            for (DbNodes.DbNode node : nodes.all()) {
                FaultProxy way = new FaultProxy(node.port(name));
                ways.put(node.id, way);
                addresses.put(node.id, "127.0.0.1:" + way.port());
            }
            list = new NodeList(
                    name, nodes.all(), addresses, ZONES, discoveryQueue, new DrainTold(name, drains, discoveryLog));
        }

        private void said(String line) {
            watcher.line(name, line, System.currentTimeMillis());
            // Errors of the store are what its faults are to bring.
            String owed = DaemonLog.owed(line);
            if (owed != null) {
                unclean.add(name + " logs: " + owed);
            }
            if (group.stopped(name, line)) {
                Threads.start("wakes " + name, () -> {
                    Thread.sleep(STOOD);
                    process.wake();
                });
            }
        }

        private int discoveryPort() {
            return lateList == null ? list.port() : lateList.port();
        }

        void files() throws IOException {
            Map<String, String> members = new TreeMap<>();
            members.put(name, "127.0.0.1:" + store);
            for (Pooler other : poolers) {
                if (other != this) {
                    members.put(other.name, "127.0.0.1:" + ways.get(other.name).port());
                }
            }
            PoolerFiles.Place place = new PoolerFiles.Place(name, number, poolers.size(), pg, discoveryPort());
            String platform = PoolerFiles.platform(Files.readString(setting.config()), place, ZONES, list.entries());
            process.files(
                    socketsMost == 0 ? platform : PoolerFiles.withSockets(platform, socketsMost),
                    PoolerFiles.operator(place, folder.resolve(name), setting.audit(), members));
        }

        void kill() throws IOException, InterruptedException {
            if (!process.runs()) {
                return;
            }
            boolean leads = name.equals(group.leader());
            operators.fault(leads);
            downSince.put(name, System.currentTimeMillis());
            process.kill();
            discoveryLog.said(name + " was killed");
            if (setting.lyingDisks()) {
                PoolerFiles.forget(folder.resolve(name));
            }
        }

        /** How long its life takes until it takes clients, unless that ends before. */
        private void timeStart() throws InterruptedException {
            long begun = process.startedAt();
            while (!over && process.runs() && process.startedAt() == begun) {
                if (SqlClients.takes(pg)) {
                    timing.ready(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                    return;
                }
                Thread.sleep(20);
            }
        }

        void start() throws IOException {
            if (!process.runs()) {
                group.started(name);
                Long since = downSince.remove(name);
                if (since != null) {
                    book.down(name, since, System.currentTimeMillis());
                }
                timing.poolerStarted(name, System.currentTimeMillis());
                drains.started(name, System.currentTimeMillis());
                discoveryLog.said(name + " starts");
                process.start();
                Threads.start("ready " + name, this::timeStart);
            }
        }
    }

    private record Due(long at, long order, Step step, boolean undo) {}

    private final Setting setting;
    private final Path folder = Files.createTempDirectory("drill");
    private final DbNodes nodes;
    private final Book book = new Book();
    private final Timing timing;
    private final Drains drains;
    private final CallQueue discoveryQueue;
    private final TimedLog discoveryLog = new TimedLog(folder.resolve("discovery.log"));
    private final List<Pooler> poolers = new ArrayList<>();
    private final StoreClients operators;
    private final SqlClients clients;
    private final NodeFaults nodeFaults;
    private final LinkFaults linkFaults;
    private final Histogram recoveries = new ConcurrentHistogram(60_000_000, 3);
    private final Map<String, Long> downSince = new TreeMap<>();
    private final Map<Step.Kind, Integer> done = new EnumMap<>(Step.Kind.class);
    private final List<Step> course = new ArrayList<>();
    private final List<String> unclean = new CopyOnWriteArrayList<>();
    private final GroupLog group;
    private volatile DrillWatcher watcher = new DrillWatcher() {};
    private volatile boolean over;
    private final Path faultLibrary;
    private final long killMillis;
    private int variedClients;
    /** What each pooler is told of its sockets; 0 for what the platform's file says. */
    private int socketsMost;

    private final Crowd crowd = new Crowd();
    private final Stall stall = new Stall(() -> over);

    /** Sets all up; nothing runs yet. */
    public Drill(Setting setting) throws IOException {
        this.setting = setting;
        Scenario scenario = setting.scenario();
        faultLibrary = scenario.steps().stream().anyMatch(step -> step.kind().ofSystem()) ? faultLibrary() : null;
        RouterSettings settings = NodeConfig.read(setting.config(), null).site().settings();
        killMillis = killMillis(settings);
        timing = new Timing(rules(settings));
        drains = new Drains(
                IntStream.range(0, scenario.poolers()).mapToObj(i -> "p" + i).toList(), timing);
        discoveryQueue = new CallQueue(setting.seed());
        nodes = new DbNodes(
                scenario.groups(), new Arrivals(book, timing, (node, pooler, at) -> watcher.ran(node, pooler, at)));
        // Held until the proxies have theirs.
        try (Scratch.Ports ports = new Scratch.Ports(2 * scenario.poolers())) {
            for (int i = 0; i < scenario.poolers(); i++) {
                poolers.add(new Pooler(i, ports.get(2 * i), ports.get(2 * i + 1)));
            }
            for (Pooler from : poolers) {
                for (Pooler to : poolers) {
                    if (from != to) {
                        from.ways.put(to.name, new FaultProxy(to.store));
                    }
                }
            }
        }
        operators = new StoreClients(places(), setting.seed());
        group = new GroupLog(operators.checker);
        nodeFaults = new NodeFaults(poolers.stream().map(p -> p.list).toList(), timing, drains, discoveryLog);
        Map<String, Map<String, FaultProxy>> ways = new TreeMap<>();
        poolers.forEach(p -> ways.put(p.name, p.ways));
        linkFaults = new LinkFaults(ways, timing);
        clients = new SqlClients(book, timing, scenario.groups());
        for (Pooler pooler : poolers) {
            pooler.files();
        }
    }

    /** When the platform may send SIGKILL at the earliest, in milliseconds from SIGTERM. */
    static long killMillis(RouterSettings settings) {
        long longest = settings.classes().stream()
                        .mapToLong(RequestClass::deadlineMicros)
                        .max()
                        .orElse(0)
                / 1000;
        return Math.min(longest, LONGEST_DEADLINE) + KILL_AFTER_DEADLINE;
    }

    /** What the settings allow in time. */
    static Timing.Rules rules(RouterSettings settings) {
        RouterSettings.Rules rules = settings.rules();
        return new Timing.Rules(
                rules.drainGraceMicros() / 1000,
                rules.initialCapacityRatio(),
                rules.warmUpMicros() / 1000,
                rules.overloadMultiple(),
                rules.overloadMicros() / 1000);
    }

    private Path faultLibrary() throws IOException {
        try {
            Path library = SystemFaults.build(folder);
            if (library == null) {
                setting.log().println("no C compiler: clocks are not stepped and no system calls fail");
            }
            return library;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the library of system faults was built", e);
        }
    }

    /** Has somebody hear what happens; before {@link #start}. */
    public void watch(DrillWatcher by) {
        watcher = by;
    }

    /** Has all daemons log each attempt; before {@link #start}. */
    public void debug() {
        poolers.forEach(p -> p.process.debug());
    }

    /**
     * Has each pooler meet so many clients more that ask several things at once, rest and read slowly, with so many
     * sockets that room is made of connections at rest; before {@link #start}.
     */
    public void variedClients(int count, int sockets) throws IOException {
        variedClients = count;
        socketsMost = sockets;
        for (Pooler pooler : poolers) {
            pooler.files();
        }
    }

    /** Holds all daemons to the first so many cores of this machine, on which they contend; before {@link #start}. */
    public void cores(int count) {
        poolers.forEach(pooler -> pooler.process.cores(count));
    }

    /** A double, to see the judge bite: all that discovery writes to a pooler comes so late; before {@link #start}. */
    public void lateLists(String name, long millis) throws IOException {
        Pooler late = pooler(name);
        late.lateList = new FaultProxy(late.list.port());
        late.lateList.slow(millis);
        late.files();
    }

    /** Addresses of all members, past all proxies. */
    public Map<String, String> places() {
        Map<String, String> places = new TreeMap<>();
        poolers.forEach(p -> places.put(p.name, "127.0.0.1:" + p.store));
        return places;
    }

    /** Starts all and waits until the group is founded and each pooler takes clients. */
    public void start() throws IOException, InterruptedException {
        if (!setting.launcher().isEmpty()) {
            poolers.get(0).process.main(setting.launcher());
        }
        for (Pooler pooler : poolers) {
            pooler.process.start();
        }
        if (!setting.launcher().isEmpty()) {
            Threads.start("tends p0", this::tend);
        }
        Await.until("the group is founded", WITHIN_SECONDS, () -> operators.read() >= 0);
        for (Pooler pooler : poolers) {
            Await.until(pooler.name + " takes clients", WITHIN_SECONDS, () -> SqlClients.takes(pooler.pg));
        }
        operators.start(OPERATORS, setting.paceMillis());
        for (Pooler pooler : poolers) {
            if (setting.scenario().groups() > 0) {
                clients.start(
                        pooler.name,
                        pooler.pg,
                        ClientHabits.Kind.STEADY,
                        CLIENTS,
                        setting.seed() * 131 + pooler.number);
                clients.start(
                        pooler.name,
                        pooler.pg,
                        ClientHabits.Kind.VARIED,
                        variedClients,
                        setting.seed() * 137 + pooler.number);
            }
        }
    }

    /** Starts p0 as it ships once its launcher has ended it. */
    private void tend() throws IOException, InterruptedException {
        DaemonProcess first = poolers.get(0).process;
        while (!over && first.runs()) {
            Thread.sleep(20);
        }
        if (!over) {
            first.main(List.of("lupinvalve.cli.Main"));
            first.start();
        }
    }

    /** The log's line of the point at which something went wrong, or null where it was not met. */
    public String pointMet() {
        return group.pointMet();
    }

    /** Lets operators put for so long. */
    public void pass(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    // ---- the scenario ----

    /** Plays the scenario's steps at their times, each undone in its time, and brings all back. */
    public void play() throws IOException, InterruptedException {
        PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        setting.scenario().steps().forEach(step -> due.add(new Due(step.atMillis(), due.size(), step, false)));
        long begun = System.nanoTime();
        while (!due.isEmpty()) {
            Due next = due.poll();
            long wait = next.at() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            if (wait > 0) {
                Thread.sleep(wait);
            }
            if (next.undo()) {
                act(next.step(), false);
            } else {
                Step step = next.step().who().equals(Step.LEADER) ? named(next.step()) : next.step();
                setting.log().println(step);
                course.add(step);
                done.merge(step.kind(), 1, Integer::sum);
                // Others that took long, as an end does, may have held it up: it lasts its time all the same.
                long from = Math.max(next.at(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                act(step, true);
                due.add(new Due(
                        from + step.forMillis(), setting.scenario().steps().size() + next.order(), step, true));
            }
        }
        mend();
    }

    private Step named(Step step) {
        String now = group.leader() == null ? "p0" : group.leader();
        return new Step(step.atMillis(), step.kind(), now, step.to(), step.amount(), step.forMillis());
    }

    private Pooler pooler(String name) {
        return poolers.get(Integer.parseInt(name.substring(1)));
    }

    private void act(Step step, boolean on) throws IOException, InterruptedException {
        if (step.kind().ofNode()) {
            nodeFaults.act(step, nodes.get(step.who()), on);
            return;
        }
        operators.fault(false);
        if (step.kind().between) {
            linkFaults.act(step, on);
            return;
        }
        switch (step.kind()) {
            case KILL -> {
                if (on) {
                    pooler(step.who()).kill();
                } else {
                    pooler(step.who()).start();
                }
            }
            case POWER -> {
                for (Pooler each : poolers) {
                    if (on) {
                        each.kill();
                    } else {
                        each.start();
                    }
                }
            }
            case RESTART -> {
                if (on && pooler(step.who()).process.runs() && SqlClients.takes(pooler(step.who()).pg)) {
                    String wrong = pooler(step.who()).process.end();
                    if (wrong != null) {
                        unclean.add(wrong);
                    }
                    pooler(step.who()).start();
                }
            }
            case SIGNALS -> {
                if (on && pooler(step.who()).process.runs() && SqlClients.takes(pooler(step.who()).pg)) {
                    String wrong = pooler(step.who()).process.endBySeries(killMillis);
                    if (wrong != null) {
                        unclean.add(wrong);
                    }
                    pooler(step.who()).start();
                }
            }
            case CLOCK, CALLS -> systemFaults(pooler(step.who()), step, on);
            case CROWD -> crowd.act(pooler(step.who()).pg, (int) step.amount(), on);
            case LIST_SILENT -> {
                if (on && pooler(step.who()).list.fallSilent()) {
                    drains.fellSilent(step.who(), System.currentTimeMillis());
                }
            }
            case OVERLOAD -> overload(on);
            case RELOAD -> {
                if (on && !pooler(step.who()).process.paused()) {
                    pooler(step.who()).process.reload();
                }
            }
            default -> pause(pooler(step.who()), on);
        }
    }

    private static void systemFaults(Pooler pooler, Step step, boolean on) {
        if (pooler.faults == null) {
            return;
        }
        if (step.kind() == Step.Kind.CLOCK) {
            pooler.faults.set(SystemFaults.Kind.CLOCK, on ? (long) (step.amount() * 1e6) : 0);
            return;
        }
        for (SystemFaults.Kind kind : CALLS) {
            pooler.faults.set(kind, on ? (long) step.amount() : 0);
        }
    }

    private void overload(boolean on) throws IOException {
        discoveryLog.said(on ? "discovery is overloaded" : "discovery is overloaded no longer");
        discoveryQueue.overloaded(on);
        if (on) {
            for (Pooler each : poolers) {
                each.list.breakWatches();
            }
        }
    }

    private void pause(Pooler pooler, boolean on) throws IOException, InterruptedException {
        if (on && pooler.process.runs()) {
            downSince.put(pooler.name, System.currentTimeMillis());
            timing.disturbed(pooler.name, null, System.currentTimeMillis(), System.currentTimeMillis() + WOKEN);
            pooler.process.pause(true);
        } else if (pooler.process.paused()) {
            pooler.process.pause(false);
            long since = downSince.remove(pooler.name);
            book.down(pooler.name, since, System.currentTimeMillis() + WOKEN);
            timing.disturbed(pooler.name, null, since, System.currentTimeMillis() + WOKEN);
        }
    }

    /** All that was done is undone, and all poolers act on what holds. */
    private void mend() throws IOException, InterruptedException {
        overload(false);
        for (DbNodes.DbNode node : nodes.all()) {
            node.pause(false);
            node.slow(0);
        }
        for (Pooler pooler : poolers) {
            pooler.ways.values().forEach(FaultProxy::heal);
            if (pooler.faults != null) {
                pooler.faults.heal();
            }
            pause(pooler, false);
            pooler.start();
        }
        long wanted = operators.checker.acknowledged();
        Set<Pooler> behind = new HashSet<>(poolers);
        long start = System.nanoTime();
        while (!behind.isEmpty() && System.nanoTime() < start + TimeUnit.SECONDS.toNanos(WITHIN_SECONDS)) {
            Thread.sleep(10);
            for (Pooler pooler : List.copyOf(behind)) {
                if (group.adopted(pooler.name) >= wanted) {
                    behind.remove(pooler);
                    if (pooler.process.startedAt() >= start - TimeUnit.MILLISECONDS.toNanos(500)) {
                        recoveries.recordValue((System.nanoTime() - pooler.process.startedAt()) / 1000);
                    }
                }
            }
        }
        behind.forEach(p -> unclean.add(p.name + " acts on revision " + group.adopted(p.name) + " " + WITHIN_SECONDS
                + " s after all was mended, " + wanted + " holds"));
    }

    /** Kills the leader again and again for so long, each time once the last one is back and has caught up. */
    public void killLeaders(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            int tried = operators.tried();
            Await.until(
                    "commits go on",
                    WITHIN_SECONDS,
                    () -> operators.served() && operators.tried() > tried + 5 && group.leader() != null);
            Pooler one = pooler(group.leader());
            if (!one.process.runs()) {
                continue;
            }
            done.merge(Step.Kind.KILL, 1, Integer::sum);
            one.kill();
            Await.until("a new leader serves", WITHIN_SECONDS, operators::served);
            one.start();
            Await.until(
                    "caught up",
                    WITHIN_SECONDS,
                    () -> group.adopted(one.name) >= operators.checker.acknowledged() * 9L / 10);
            Thread.sleep(300);
        }
        mend();
    }

    // ---- the verdict ----

    /**
     * Ends clients, then daemons, and judges what everybody saw.
     *
     * @param ends whether the daemons' own ends are looked at; else they are just killed
     */
    public DrillResult judge(boolean ends) throws IOException, InterruptedException {
        clients.stop();
        operators.stop();
        long last = -1;
        for (int i = 0; i < 5 && last < 0; i++) {
            last = operators.read();
        }
        long end = last;
        try {
            Await.until("all act on the last revision", WITHIN_SECONDS, () -> poolers.stream()
                    .allMatch(p -> group.adopted(p.name) >= end));
        } catch (IOException e) {
            unclean.add(e.getMessage());
        }
        over = true;
        for (Pooler pooler : poolers) {
            String wrong = ends ? pooler.process.end() : null;
            if (wrong != null) {
                unclean.add(wrong);
            }
        }
        DrillResult.Course played = new DrillResult.Course(
                poolers.size(), setting.seed(), done, discoveryQueue.counts(), stall.longestMillis(), unclean);
        DrillResult.Group seen =
                new DrillResult.Group(operators, operators.checker.lost(last), group.elections(), recoveries);
        return new DrillResult(played, book.verdict(), timing.verdict(), seen);
    }

    /** Ends a pooler by signals in series; what was wrong with its end, or null. */
    String endBySeries(String name, long millis) throws IOException, InterruptedException {
        return pooler(name).process.endBySeries(millis);
    }

    /** What was done when, as a scenario that replays it. */
    public Scenario course() {
        return new Scenario(poolers.size(), setting.scenario().groups(), course);
    }

    /** Where the logs are. */
    public Path folder() {
        return folder;
    }

    /** Ends all that it started; the folder stays where it is to be looked at. */
    public void close(boolean keep) throws IOException {
        over = true;
        crowd.close();
        for (Pooler pooler : poolers) {
            pooler.process.close();
            pooler.list.close();
            if (pooler.lateList != null) {
                pooler.lateList.close();
            }
            for (FaultProxy way : pooler.ways.values()) {
                way.close();
            }
        }
        nodes.close();
        discoveryLog.close();
        if (!keep) {
            Scratch.delete(folder);
        }
    }

    @Override
    public void close() throws IOException {
        close(false);
    }
}
