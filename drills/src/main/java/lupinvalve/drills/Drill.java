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
 * Runs real daemons on loopback with stand-in db nodes and discovery, a fault proxy for each pair, operators and
 * clients, and injects the faults of a scenario between them. Then undoes all faults and judges what clients,
 * operators, db nodes and the daemons' logs recorded.
 */
public final class Drill implements Closeable {
    private static final long STOPPED_MILLIS = 2_000;
    private static final List<SystemFaults.Kind> FAILING_CALLS = List.of(
            SystemFaults.Kind.ACCEPT,
            SystemFaults.Kind.SOCKET,
            SystemFaults.Kind.CONNECT,
            SystemFaults.Kind.EPOLL,
            SystemFaults.Kind.SHORT);
    private static final List<String> ZONES = List.of("east", "west");
    private static final int OPERATOR_COUNT = 3;
    private static final int CLIENTS_PER_POOLER = 3;
    private static final int AWAIT_SECONDS = 30;
    /** How long after SIGCONT a pooler is excused: by then the deadlines of the requests that it held have passed. */
    private static final long RESUME_GRACE_MILLIS = 3_000;
    /** The platform sends SIGKILL no sooner than this after SIGTERM plus the longest deadline. */
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** The most that the longest deadline counts for in that. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    /**
     * Settings of a drill.
     *
     * @param lyingDisks whether a killed pooler loses the second half of its last history file
     * @param launcher class, and arguments before those of the daemon, for the first start of p0; empty for none
     * @param paceMillis how long each operator rests between two calls
     * @param audit the audit mode in the poolers' files: off, serve or fence
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

    /** One pooler with its process, its discovery and its fault proxies. */
    private final class Pooler {
        final String name;
        final int number;
        final int storePort;
        final int clientPort;
        final DaemonProcess process;
        final NodeList list;
        /** Proxies that this pooler connects through, by the name of the other pooler (its store) or db node. */
        final Map<String, FaultProxy> proxies = new TreeMap<>();
        /** Faults of its system calls and clock; null where the scenario has none or there is no C compiler. */
        final SystemFaults faults;
        /** Proxy in front of discovery that delays its answers; null for no delay. */
        FaultProxy lateList;

        Pooler(int number, int storePort, int clientPort) throws IOException {
            this.number = number;
            this.storePort = storePort;
            this.clientPort = clientPort;
            name = "p" + number;
            process = new DaemonProcess(name, folder, this::onLogLine);
            faults = faultLibrary == null ? null : SystemFaults.of(faultLibrary, folder.resolve(name + ".faults"));
            if (faults != null) {
                process.environment(faults.environment());
            }
            Map<String, String> addresses = new TreeMap<>();
            for (DbNodes.DbNode node : nodes.all()) {
                FaultProxy proxy = new FaultProxy(node.port(name));
                proxies.put(node.id, proxy);
                addresses.put(node.id, "127.0.0.1:" + proxy.port());
            }
            list = new NodeList(
                    name,
                    nodes.all(),
                    addresses,
                    ZONES,
                    discoveryQueue,
                    new DiscoveryRecorder(name, drains, discoveryLog));
        }

        private void onLogLine(String line) {
            watcher.logLine(name, line, System.currentTimeMillis());
            // Only these faults count: the scenario makes the store log errors on purpose.
            String ownChoiceEnding = DaemonLog.endedWithRequestsDue(line);
            if (ownChoiceEnding != null) {
                unclean.add(name + " logs: " + ownChoiceEnding);
            }
            if (groupLog.recordLine(name, line)) {
                Threads.start("resumes " + name, () -> {
                    Thread.sleep(STOPPED_MILLIS);
                    process.wake();
                });
            }
        }

        private int discoveryPort() {
            return lateList == null ? list.port() : lateList.port();
        }

        void files() throws IOException {
            Map<String, String> members = new TreeMap<>();
            members.put(name, "127.0.0.1:" + storePort);
            for (Pooler other : poolers) {
                if (other != this) {
                    members.put(
                            other.name, "127.0.0.1:" + proxies.get(other.name).port());
                }
            }
            PoolerFiles.Identity identity =
                    new PoolerFiles.Identity(name, number, poolers.size(), clientPort, discoveryPort());
            String platform = PoolerFiles.platform(Files.readString(setting.config()), identity, ZONES, list.entries());
            process.files(
                    socketLimit == 0 ? platform : PoolerFiles.withSockets(platform, socketLimit),
                    PoolerFiles.operator(identity, folder.resolve(name), setting.audit(), members));
        }

        void kill() throws IOException, InterruptedException {
            if (!process.runs()) {
                return;
            }
            boolean isLeader = name.equals(groupLog.leader());
            operators.recordFault(isLeader);
            downSince.put(name, System.currentTimeMillis());
            process.kill();
            discoveryLog.write(name + " was killed");
            if (setting.lyingDisks()) {
                PoolerFiles.truncateLastHistoryFile(folder.resolve(name));
            }
        }

        /** Measures how long the process takes from its start until it accepts clients, unless it ends before. */
        private void measureStart() throws InterruptedException {
            long begun = process.startedAt();
            while (!over && process.runs() && process.startedAt() == begun) {
                if (SqlClients.acceptsClients(clientPort)) {
                    timing.poolerReady(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                    return;
                }
                Thread.sleep(20);
            }
        }

        void start() throws IOException {
            if (!process.runs()) {
                groupLog.started(name);
                Long since = downSince.remove(name);
                if (since != null) {
                    requestChecker.poolerDown(name, since, System.currentTimeMillis());
                }
                timing.poolerStarted(name, System.currentTimeMillis());
                drains.poolerStarted(name, System.currentTimeMillis());
                discoveryLog.write(name + " starts");
                process.start();
                Threads.start("ready " + name, this::measureStart);
            }
        }
    }

    private record ScheduledAct(long at, long order, Step step, boolean isUndo) {}

    private final Setting setting;
    private final Path folder = Files.createTempDirectory("drill");
    private final DbNodes nodes;
    private final RequestChecker requestChecker = new RequestChecker();
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
    private final Map<Step.Kind, Integer> playedCounts = new EnumMap<>(Step.Kind.class);
    private final List<Step> playedSteps = new ArrayList<>();
    private final List<String> unclean = new CopyOnWriteArrayList<>();
    private final GroupLog groupLog;
    private volatile DrillWatcher watcher = new DrillWatcher() {};
    private volatile boolean over;
    private final Path faultLibrary;
    private final long killMillis;
    private int variedClients;
    /** The limit on sockets in each pooler's file; 0 to keep that of the platform's file. */
    private int socketLimit;

    private final IdleClients idleClients = new IdleClients();
    private final Floods floods = new Floods();
    private final StallMonitor stallMonitor = new StallMonitor(() -> over);

    /** Opens ports, proxies and stand-ins and writes the poolers' files; starts no process. */
    public Drill(Setting setting) throws IOException {
        this.setting = setting;
        Scenario scenario = setting.scenario();
        faultLibrary = scenario.steps().stream().anyMatch(step -> step.kind().affectsSystem()) ? faultLibrary() : null;
        RouterSettings settings = NodeConfig.read(setting.config(), null).site().settings();
        killMillis = killMillis(settings);
        timing = new Timing(rules(settings));
        drains = new Drains(
                IntStream.range(0, scenario.poolers()).mapToObj(i -> "p" + i).toList(), timing);
        discoveryQueue = new CallQueue(setting.seed());
        nodes = new DbNodes(
                scenario.groups(),
                new StatementRecorder(
                        requestChecker, timing, (node, pooler, at) -> watcher.statementRan(node, pooler, at)));
        // The ports stay bound until the proxies have theirs, so that no proxy is given one of them.
        try (Scratch.Ports ports = new Scratch.Ports(2 * scenario.poolers())) {
            for (int i = 0; i < scenario.poolers(); i++) {
                poolers.add(new Pooler(i, ports.get(2 * i), ports.get(2 * i + 1)));
            }
            for (Pooler from : poolers) {
                for (Pooler to : poolers) {
                    if (from != to) {
                        from.proxies.put(to.name, new FaultProxy(to.storePort));
                    }
                }
            }
        }
        operators = new StoreClients(memberAddresses(), setting.seed());
        groupLog = new GroupLog(operators.checker);
        nodeFaults = new NodeFaults(poolers.stream().map(pooler -> pooler.list).toList(), timing, drains, discoveryLog);
        Map<String, Map<String, FaultProxy>> proxies = new TreeMap<>();
        poolers.forEach(pooler -> proxies.put(pooler.name, pooler.proxies));
        linkFaults = new LinkFaults(proxies, timing);
        clients = new SqlClients(requestChecker, timing, scenario.groups());
        for (Pooler pooler : poolers) {
            pooler.files();
        }
    }

    /** How many milliseconds after SIGTERM the platform may send SIGKILL at the earliest. */
    static long killMillis(RouterSettings settings) {
        long longest = settings.classes().stream()
                        .mapToLong(RequestClass::deadlineMicros)
                        .max()
                        .orElse(0)
                / 1000;
        return Math.min(longest, MAX_DEADLINE_MILLIS) + KILL_AFTER_DEADLINE_MILLIS;
    }

    /** The time limits that the settings imply. */
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
                setting.log()
                        .println("no C compiler: the drill runs without clock steps and without failing system calls");
            }
            return library;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while compiling the library of system faults", e);
        }
    }

    /** Sets the observer that is notified of events. Called before {@link #start}. */
    public void watch(DrillWatcher observer) {
        watcher = observer;
    }

    /** Makes all daemons log each attempt. Called before {@link #start}. */
    public void debug() {
        poolers.forEach(pooler -> pooler.process.debug());
    }

    /**
     * Adds to each pooler this many clients that pipeline statements, rest and read slowly, and limits its sockets so
     * that it has to end idle connections to make room. Called before {@link #start}.
     */
    public void variedClients(int count, int sockets) throws IOException {
        variedClients = count;
        socketLimit = sockets;
        for (Pooler pooler : poolers) {
            pooler.files();
        }
    }

    /** Limits all daemons together to this many cores, the first ones of the machine. Called before {@link #start}. */
    public void cores(int count) {
        poolers.forEach(pooler -> pooler.process.cores(count));
    }

    /**
     * Plants a fault that {@link #judge} must find: everything that discovery writes to a pooler arrives this much
     * late. Called before {@link #start}.
     */
    public void lateLists(String name, long millis) throws IOException {
        Pooler late = pooler(name);
        late.lateList = new FaultProxy(late.list.port());
        late.lateList.slow(millis);
        late.files();
    }

    /** Addresses of all members, without proxies. */
    public Map<String, String> memberAddresses() {
        Map<String, String> memberAddresses = new TreeMap<>();
        poolers.forEach(pooler -> memberAddresses.put(pooler.name, "127.0.0.1:" + pooler.storePort));
        return memberAddresses;
    }

    /**
     * Starts all processes, waits until the group is founded and each pooler accepts clients, and starts the clients.
     */
    public void start() throws IOException, InterruptedException {
        if (!setting.launcher().isEmpty()) {
            poolers.get(0).process.main(setting.launcher());
        }
        for (Pooler pooler : poolers) {
            pooler.process.start();
        }
        if (!setting.launcher().isEmpty()) {
            Threads.start("restarts p0", this::restartAfterFailPoint);
        }
        Await.until("the group is founded", AWAIT_SECONDS, () -> operators.read() >= 0);
        for (Pooler pooler : poolers) {
            Await.until(
                    pooler.name + " accepts clients",
                    AWAIT_SECONDS,
                    () -> SqlClients.acceptsClients(pooler.clientPort));
        }
        operators.start(OPERATOR_COUNT, setting.paceMillis());
        for (Pooler pooler : poolers) {
            if (setting.scenario().groups() > 0) {
                clients.start(
                        pooler.name,
                        pooler.clientPort,
                        ClientHabits.Kind.STEADY,
                        CLIENTS_PER_POOLER,
                        setting.seed() * 131 + pooler.number);
                clients.start(
                        pooler.name,
                        pooler.clientPort,
                        ClientHabits.Kind.VARIED,
                        variedClients,
                        setting.seed() * 137 + pooler.number);
            }
        }
    }

    /** Starts p0 without its launcher once its process has ended. */
    private void restartAfterFailPoint() throws IOException, InterruptedException {
        DaemonProcess first = poolers.get(0).process;
        while (!over && first.runs()) {
            Thread.sleep(20);
        }
        if (!over) {
            first.main(List.of("lupinvalve.cli.Main"));
            first.start();
        }
    }

    /** The log line of the fail point at which the fault was injected; null where the point was not reached. */
    public String pointMet() {
        return groupLog.pointMet();
    }

    /** Lets operators put configurations for this long. */
    public void letOperatorsRun(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    // ---- the scenario ----

    /** Runs the scenario's steps at their times, undoes each after its time, then undoes all faults. */
    public void play() throws IOException, InterruptedException {
        PriorityQueue<ScheduledAct> due =
                new PriorityQueue<>(Comparator.comparingLong(ScheduledAct::at).thenComparingLong(ScheduledAct::order));
        setting.scenario().steps().forEach(step -> due.add(new ScheduledAct(step.atMillis(), due.size(), step, false)));
        long begun = System.nanoTime();
        while (!due.isEmpty()) {
            ScheduledAct next = due.poll();
            long wait = next.at() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            if (wait > 0) {
                Thread.sleep(wait);
            }
            if (next.isUndo()) {
                act(next.step(), false);
            } else {
                Step step = next.step().who().equals(Step.LEADER) ? withLeaderName(next.step()) : next.step();
                setting.log().println(step);
                playedSteps.add(step);
                playedCounts.merge(step.kind(), 1, Integer::sum);
                // An earlier step that took long, as ending a process does, may have delayed it: it still lasts its
                // full time.
                long from = Math.max(next.at(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                act(step, true);
                due.add(new ScheduledAct(
                        from + step.forMillis(), setting.scenario().steps().size() + next.order(), step, true));
            }
        }
        undoAllFaults();
    }

    private Step withLeaderName(Step step) {
        String now = groupLog.leader() == null ? "p0" : groupLog.leader();
        return new Step(step.atMillis(), step.kind(), now, step.to(), step.amount(), step.forMillis());
    }

    private Pooler pooler(String name) {
        return poolers.get(Integer.parseInt(name.substring(1)));
    }

    private void act(Step step, boolean on) throws IOException, InterruptedException {
        if (step.kind().affectsNode()) {
            nodeFaults.act(step, nodes.get(step.who()), on);
            return;
        }
        operators.recordFault(false);
        if (step.kind().affectsConnection) {
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
                if (on
                        && pooler(step.who()).process.runs()
                        && SqlClients.acceptsClients(pooler(step.who()).clientPort)) {
                    String problem = pooler(step.who()).process.end();
                    if (problem != null) {
                        unclean.add(problem);
                    }
                    pooler(step.who()).start();
                }
            }
            case SIGNALS -> {
                if (on
                        && pooler(step.who()).process.runs()
                        && SqlClients.acceptsClients(pooler(step.who()).clientPort)) {
                    String problem = pooler(step.who()).process.endBySeries(killMillis);
                    if (problem != null) {
                        unclean.add(problem);
                    }
                    pooler(step.who()).start();
                }
            }
            case CLOCK, CALLS -> systemFaults(pooler(step.who()), step, on);
            case CROWD -> idleClients.act(pooler(step.who()).clientPort, (int) step.amount(), on);
            case FLOOD -> floods.act(pooler(step.who()).clientPort, (int) step.amount(), on);
            case LIST_SILENT -> {
                if (on && pooler(step.who()).list.silenceWatches()) {
                    drains.watchFellSilent(step.who(), System.currentTimeMillis());
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
        for (SystemFaults.Kind kind : FAILING_CALLS) {
            pooler.faults.set(kind, on ? (long) step.amount() : 0);
        }
    }

    private void overload(boolean on) throws IOException {
        discoveryLog.write(on ? "discovery is overloaded" : "discovery is overloaded no longer");
        discoveryQueue.setOverloaded(on);
        if (on) {
            for (Pooler each : poolers) {
                each.list.resetWatches();
            }
        }
    }

    private void pause(Pooler pooler, boolean on) throws IOException, InterruptedException {
        if (on && pooler.process.runs()) {
            downSince.put(pooler.name, System.currentTimeMillis());
            timing.disturbed(
                    pooler.name, null, System.currentTimeMillis(), System.currentTimeMillis() + RESUME_GRACE_MILLIS);
            pooler.process.pause(true);
        } else if (pooler.process.paused()) {
            pooler.process.pause(false);
            long since = downSince.remove(pooler.name);
            requestChecker.poolerDown(pooler.name, since, System.currentTimeMillis() + RESUME_GRACE_MILLIS);
            timing.disturbed(pooler.name, null, since, System.currentTimeMillis() + RESUME_GRACE_MILLIS);
        }
    }

    /** Undoes all faults and waits until all poolers act on the revision that was acknowledged last. */
    private void undoAllFaults() throws IOException, InterruptedException {
        overload(false);
        for (DbNodes.DbNode node : nodes.all()) {
            node.pause(false);
            node.slow(0);
        }
        for (Pooler pooler : poolers) {
            pooler.proxies.values().forEach(FaultProxy::heal);
            if (pooler.faults != null) {
                pooler.faults.heal();
            }
            pause(pooler, false);
            pooler.start();
        }
        long acknowledgedRevision = operators.checker.acknowledged();
        Set<Pooler> behind = new HashSet<>(poolers);
        long start = System.nanoTime();
        while (!behind.isEmpty() && System.nanoTime() < start + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS)) {
            Thread.sleep(10);
            for (Pooler pooler : List.copyOf(behind)) {
                if (groupLog.adopted(pooler.name) >= acknowledgedRevision) {
                    behind.remove(pooler);
                    if (pooler.process.startedAt() >= start - TimeUnit.MILLISECONDS.toNanos(500)) {
                        recoveries.recordValue((System.nanoTime() - pooler.process.startedAt()) / 1000);
                    }
                }
            }
        }
        behind.forEach(pooler ->
                unclean.add(pooler.name + " acts on revision " + groupLog.adopted(pooler.name) + " " + AWAIT_SECONDS
                        + " s after all faults were undone, revision " + acknowledgedRevision + " was acknowledged"));
    }

    /** Kills the leader repeatedly for this long, each time once the one killed before has caught up. */
    public void killLeaders(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            int triedBefore = operators.putsTried();
            Await.until(
                    "puts are acknowledged and a leader is known",
                    AWAIT_SECONDS,
                    () -> operators.hasServedSinceLeaderKill()
                            && operators.putsTried() > triedBefore + 5
                            && groupLog.leader() != null);
            Pooler leader = pooler(groupLog.leader());
            if (!leader.process.runs()) {
                continue;
            }
            playedCounts.merge(Step.Kind.KILL, 1, Integer::sum);
            leader.kill();
            Await.until("a new leader serves", AWAIT_SECONDS, operators::hasServedSinceLeaderKill);
            leader.start();
            Await.until(
                    leader.name + " has caught up",
                    AWAIT_SECONDS,
                    () -> groupLog.adopted(leader.name) >= operators.checker.acknowledged() * 9L / 10);
            Thread.sleep(300);
        }
        undoAllFaults();
    }

    // ---- the verdict ----

    /**
     * Ends clients, then daemons, and judges what was recorded.
     *
     * @param endsInOrder whether the daemons are ended by SIGTERM and that is judged; else they are killed on close
     */
    public DrillResult judge(boolean endsInOrder) throws IOException, InterruptedException {
        clients.stop();
        operators.stop();
        long last = -1;
        for (int i = 0; i < 5 && last < 0; i++) {
            last = operators.read();
        }
        long end = last;
        try {
            Await.until("all poolers act on the last revision", AWAIT_SECONDS, () -> poolers.stream()
                    .allMatch(pooler -> groupLog.adopted(pooler.name) >= end));
        } catch (IOException e) {
            unclean.add(e.getMessage());
        }
        over = true;
        for (Pooler pooler : poolers) {
            String problem = endsInOrder ? pooler.process.end() : null;
            if (problem != null) {
                unclean.add(problem);
            }
        }
        DrillResult.Run played = new DrillResult.Run(
                poolers.size(),
                setting.seed(),
                playedCounts,
                discoveryQueue.counts(),
                stallMonitor.longestMillis(),
                unclean);
        DrillResult.Group groupResult =
                new DrillResult.Group(operators, operators.checker.lost(last), groupLog.elections(), recoveries);
        return new DrillResult(played, requestChecker.verdict(), timing.verdict(), groupResult);
    }

    /** Ends a pooler by a series of signals; returns what was wrong with the end, or null. */
    String endBySeries(String name, long millis) throws IOException, InterruptedException {
        return pooler(name).process.endBySeries(millis);
    }

    /** The steps that were run, as a scenario that replays them. */
    public Scenario playedScenario() {
        return new Scenario(poolers.size(), setting.scenario().groups(), playedSteps);
    }

    /** The folder of the daemons' files and logs. */
    public Path folder() {
        return folder;
    }

    /** Ends all that the drill started; deletes the folder unless it is to be kept for inspection. */
    public void close(boolean keep) throws IOException {
        over = true;
        idleClients.close();
        floods.close();
        for (Pooler pooler : poolers) {
            pooler.process.close();
            pooler.list.close();
            if (pooler.lateList != null) {
                pooler.lateList.close();
            }
            for (FaultProxy proxy : pooler.proxies.values()) {
                proxy.close();
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
