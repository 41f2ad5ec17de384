package lupinvalve.rig;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lupinvalve.Routing;
import lupinvalve.config.NodeConfig;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Real daemons on loopback with stand-in db nodes and discovery, a proxy on each pair, operators and clients throughout, and
 * the faults of a scenario between them. Then all is mended, and what everybody saw is judged.
 */
public final class Drill implements Closeable {
    private static final Pattern ADOPTED = Pattern.compile("store: adopted revision (\\d+), change \\d+, digest ([0-9a-f]+)");
    private static final Pattern LEADS = Pattern.compile("store: (\\S+)/\\S+ leads, term (\\d+)");
    private static final Pattern POINT = Pattern.compile(" point \\d+ at [A-Z]+: [A-Z_]+$");
    private static final String STOPPED = ": STOPPED";
    private static final long STOOD = 2_000;
    private static final List<String> ZONES = List.of("east", "west");
    private static final int OPERATORS = 3, CLIENTS = 3, WITHIN_SECONDS = 30;
    /** How long a pooler that stood still owes nothing: what it held has run out by then. */
    private static final long WOKEN = 3_000;

    /**
     * What a drill is made of.
     *
     * @param launcher class and arguments that stand before those of the daemon in the first life of p0; empty for none
     * @param paceMillis how long each operator rests between two calls
     * @param audit what the poolers' files say of it: off, serve or fence
     */
    public record Setting(Scenario scenario, Path config, long seed, boolean lyingDisks, PrintStream log,
            List<String> launcher, long paceMillis, String audit) {}

    /** One pooler with all that leads to it and from it. */
    private final class Pooler {
        final String name;
        final int number, store, pg;
        final DaemonProcess process;
        final NodeList list;
        /** By whom is dialled: other poolers' stores, and db nodes. */
        final Map<String, FaultProxy> ways = new TreeMap<>();
        /** Stands before discovery where its word is to come late, else null. */
        FaultProxy lateList;
        volatile long adopted;

        Pooler(int number, int store, int pg) throws IOException {
            this.number = number;
            this.store = store;
            this.pg = pg;
            name = "p" + number;
            process = new DaemonProcess(name, folder, this::said);
            Map<String, String> addresses = new TreeMap<>();
            for (DbNodes.DbNode node : nodes.all()) {
                FaultProxy way = new FaultProxy(node.port(name));
                ways.put(node.id, way);
                addresses.put(node.id, "127.0.0.1:" + way.port());
            }
            list = new NodeList(name, nodes.all(), addresses, ZONES, discoveryQueue, new Told(name));
        }

        private void said(String line) {
            watcher.line(name, line, System.currentTimeMillis());
            Matcher adoption = ADOPTED.matcher(line);
            if (adoption.find()) {
                adopted = Long.parseLong(adoption.group(1));
                operators.checker.adopted(name, adopted, adoption.group(2));
            }
            if (POINT.matcher(line).find()) {
                pointMet = line;
                if (line.endsWith(STOPPED)) {
                    Threads.start("wakes " + name, () -> {
                        Thread.sleep(STOOD);
                        process.wake();
                    });
                }
            }
            Matcher leads = LEADS.matcher(line);
            if (leads.find()) {
                terms.add(Integer.parseInt(leads.group(2)));
                leader = leads.group(1);
            }
        }

        private int discoveryPort() {
            return lateList == null ? list.port() : lateList.port();
        }

        void files() throws IOException {
            String platform = Files.readString(setting.config()).replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                    .replace("127.0.0.1:5432", "127.0.0.1:" + pg).replace("127.0.0.1:8500", "127.0.0.1:" + discoveryPort())
                    .replace("\"members\": []", "\"members\": [" + list.entries() + "]")
                    .replace("\"almaty-main\"", "\"" + String.join("\",\"", ZONES) + "\"")
                    .replace("\"me\": 0", "\"me\": " + number).replace("\"n_instances\": 1", "\"n_instances\": " + poolers.size())
                    .replace("\"zone\": 0", "\"zone\": " + number % ZONES.size());
            StringBuilder places = new StringBuilder("\"" + name + "\":\"127.0.0.1:" + store + "\"");
            for (Pooler other : poolers) {
                if (other != this) {
                    places.append(",\"" + other.name + "\":\"127.0.0.1:" + ways.get(other.name).port() + "\"");
                }
            }
            process.files(platform, "{\"store\":{\"cluster\":\"" + StoreClients.CLUSTER + "\",\"name\":\"" + name
                    + "\",\"folder\":\"" + folder.resolve(name) + "\",\"audit\":\"" + setting.audit() + "\",\"listen\":\"127.0.0.1:" + store + "\",\"members\":{"
                    + places + "}}}");
        }

        void kill() throws IOException, InterruptedException {
            if (!process.runs()) {
                return;
            }
            boolean leads = name.equals(leader);
            operators.fault(leads);
            downSince.put(name, System.currentTimeMillis());
            process.kill();
            discoveryLog.said(name + " was killed");
            if (setting.lyingDisks()) {
                forget();
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

        /** What a disk that lied about its forces would have kept. */
        private void forget() throws IOException {
            try (Stream<Path> files = Files.list(folder.resolve(name))) {
                Path last = files.filter(f -> f.getFileName().toString().startsWith("history")).sorted()
                        .reduce((a, b) -> b).orElse(null);
                if (last != null) {
                    try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                        channel.truncate(channel.size() / 2);
                    }
                }
            }
        }

        void start() throws IOException {
            if (!process.runs()) {
                adopted = 0;
                Long since = downSince.remove(name);
                if (since != null) {
                    book.down(name, since, System.currentTimeMillis());
                }
                drains.started(name, System.currentTimeMillis());
                discoveryLog.said(name + " starts");
                process.start();
                Threads.start("ready " + name, this::timeStart);
            }
        }
    }

    /** What discovery does with one pooler's calls, for the judge and the log. */
    private final class Told implements NodeList.Told {
        private final String pooler;

        Told(String pooler) {
            this.pooler = pooler;
        }

        @Override
        public void answered(List<String> draining, long at) {
            drains.answered(pooler, draining, at);
        }

        @Override
        public void watched() {
            drains.watched(pooler);
        }

        @Override
        public void said(String line) {
            discoveryLog.said(pooler + " " + line);
        }
    }

    /** Hears what happens while a drill runs; times in Unix milliseconds. */
    public interface Watcher {
        /** A db node ran a statement that came from a pooler. */
        default void ran(String node, String pooler, long at) {
        }

        /** A pooler wrote a line to its log. */
        default void line(String pooler, String line, long at) {
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
    private final Histogram recoveries = new ConcurrentHistogram(60_000_000, 3);
    private final Set<Integer> terms = new ConcurrentSkipListSet<>();
    private final Map<String, Long> downSince = new TreeMap<>();
    private final Map<Step.Kind, Integer> done = new EnumMap<>(Step.Kind.class);
    private final List<Step> course = new ArrayList<>();
    private final List<String> unclean = new ArrayList<>();
    private volatile String leader, pointMet;
    private volatile Watcher watcher = new Watcher() { };
    private volatile boolean over;
    private final Stall stall = new Stall(() -> over);

    /** Sets all up; nothing runs yet. */
    public Drill(Setting setting) throws IOException {
        this.setting = setting;
        Scenario scenario = setting.scenario();
        Routing.Rules rules = NodeConfig.read(setting.config(), null).site().settings().rules();
        timing = new Timing(new Timing.Rules(rules.drainGraceMicros() / 1000, rules.coldShare(), rules.warmUpMicros() / 1000,
                rules.overloadMultiple(), rules.overloadMicros() / 1000));
        drains = new Drains(IntStream.range(0, scenario.poolers()).mapToObj(i -> "p" + i).toList(), timing);
        discoveryQueue = new CallQueue(setting.seed());
        nodes = new DbNodes(scenario.groups(), new DbNodes.Seen() {
            @Override
            public void ran(DbNodes.DbNode node, String pooler, Map<String, String> fields, boolean write) {
                book.ran(fields.getOrDefault("id", "?"), node.id);
                watcher.ran(node.id, pooler, System.currentTimeMillis());
            }

            @Override
            public void came(DbNodes.DbNode node, String pooler, Map<String, String> fields, long at) {
                timing.came(node.id, pooler, fields.getOrDefault("id", "?"), at);
            }
        });
        Map<String, String> places = new TreeMap<>();
        // Held until the proxies have theirs.
        try (Scratch.Ports ports = new Scratch.Ports(2 * scenario.poolers())) {
            for (int i = 0; i < scenario.poolers(); i++) {
                poolers.add(new Pooler(i, ports.get(2 * i), ports.get(2 * i + 1)));
                places.put("p" + i, "127.0.0.1:" + ports.get(2 * i));
            }
            for (Pooler from : poolers) {
                for (Pooler to : poolers) {
                    if (from != to) {
                        from.ways.put(to.name, new FaultProxy(to.store));
                    }
                }
            }
        }
        operators = new StoreClients(places, setting.seed());
        clients = new SqlClients(book, timing, scenario.groups());
        for (Pooler pooler : poolers) {
            pooler.files();
        }
    }

    /** Has somebody hear what happens; before {@link #start}. */
    public void watch(Watcher by) {
        watcher = by;
    }

    /** Has all daemons log each attempt; before {@link #start}. */
    public void debug() {
        poolers.forEach(p -> p.process.debug());
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

    private interface Holds {
        boolean now() throws IOException;
    }

    private void await(String what, int withinSeconds, Holds holds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!holds.now()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: " + what);
            }
            Thread.sleep(20);
        }
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
        await("the group is founded", WITHIN_SECONDS, () -> operators.read() >= 0);
        for (Pooler pooler : poolers) {
            await(pooler.name + " takes clients", WITHIN_SECONDS, () -> SqlClients.takes(pooler.pg));
        }
        operators.start(OPERATORS, setting.paceMillis());
        for (Pooler pooler : poolers) {
            if (setting.scenario().groups() > 0) {
                clients.start(pooler.name, pooler.pg, CLIENTS, setting.seed() * 131 + pooler.number);
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
        return pointMet;
    }

    /** Lets operators put for so long. */
    public void pass(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    // ---- the scenario ----

    /** Plays the scenario's steps at their times, each undone in its time, and brings all back. */
    public void play() throws IOException, InterruptedException {
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
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
                due.add(new Due(from + step.forMillis(), setting.scenario().steps().size() + next.order(), step, true));
            }
        }
        mend();
    }

    private Step named(Step step) {
        String now = leader == null ? "p0" : leader;
        return new Step(step.atMillis(), step.kind(), now, step.to(), step.amount(), step.forMillis());
    }

    private Pooler pooler(String name) {
        return poolers.get(Integer.parseInt(name.substring(1)));
    }

    private void act(Step step, boolean on) throws IOException, InterruptedException {
        if (step.kind().ofNode()) {
            actOnNode(step, nodes.get(step.who()), on);
            return;
        }
        operators.fault(false);
        if (step.kind().between) {
            between(step, on);
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

    private void actOnNode(Step step, DbNodes.DbNode node, boolean on) throws IOException {
        switch (step.kind()) {
            case NODE_PAUSE -> node.pause(on);
            case NODE_DRAIN -> drain(node, on);
            case NODE_SLOW -> node.slow(on ? (long) step.amount() : 0);
            default -> {
                if (on && !node.isDead()) {
                    node.kill();
                } else if (!on && node.isDead()) {
                    node.back();
                    timing.started(node.id, System.currentTimeMillis());
                    for (Pooler each : poolers) {
                        each.list.started(node);
                    }
                }
            }
        }
    }

    /** The judge knows of a drain's begin before any pooler can, and of its end before any pooler is told otherwise. */
    private void drain(DbNodes.DbNode node, boolean on) {
        long now = System.currentTimeMillis();
        boolean changed = on ? drains.begun(node.id, now) : drains.ended(node.id, now);
        if (changed) {
            discoveryLog.said(node.id + (on ? " drains" : " drains no longer"));
            for (Pooler each : poolers) {
                each.list.drains(node, on);
            }
        }
    }

    private void between(Step step, boolean on) {
        Pooler one = pooler(step.who());
        long now = System.currentTimeMillis();
        timing.disturbed(step.who(), step.to().startsWith("n") ? step.to() : null, now, now + step.forMillis());
        Set<String> ends = new HashSet<>();
        if (step.to().equals(Step.ALL)) {
            ends.addAll(one.ways.keySet());
        } else {
            ends.add(step.to());
        }
        for (String end : ends) {
            FaultProxy mine = one.ways.get(end);
            apply(step, mine, on, true);
            if (end.startsWith("p")) {
                apply(step, pooler(end).ways.get(one.name), on, false);
            }
        }
        if (step.kind() == Step.Kind.FLAP && on) {
            flap(step, ends);
        }
    }

    private void apply(Step step, FaultProxy way, boolean on, boolean mine) {
        switch (step.kind()) {
            case CUT, FLAP -> way.cut(on, on);
            case CUT_THERE -> way.cut(on && mine, on && !mine);
            case HALF_OPEN -> way.gone(on);
            case SLOW -> way.slow(on ? (long) step.amount() : 0);
            case LOSSY -> way.lossy(on ? step.amount() : 0);
            default -> way.limit(on ? step.amount() : Double.POSITIVE_INFINITY);
        }
    }

    /** A link that comes and goes until its step is over. */
    private void flap(Step step, Set<String> ends) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(step.forMillis());
        Threads.start("flap", () -> {
            for (boolean cut = false; System.nanoTime() < end - TimeUnit.MILLISECONDS.toNanos((long) step.amount()); cut = !cut) {
                Thread.sleep((long) step.amount() / 2);
                for (String other : ends) {
                    apply(step, pooler(step.who()).ways.get(other), cut, true);
                    if (other.startsWith("p")) {
                        apply(step, pooler(other).ways.get(step.who()), cut, false);
                    }
                }
            }
        });
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
            pause(pooler, false);
            pooler.start();
        }
        long wanted = operators.checker.acknowledged();
        Set<Pooler> behind = new HashSet<>(poolers);
        long start = System.nanoTime();
        while (!behind.isEmpty() && System.nanoTime() < start + TimeUnit.SECONDS.toNanos(WITHIN_SECONDS)) {
            Thread.sleep(10);
            for (Pooler pooler : List.copyOf(behind)) {
                if (pooler.adopted >= wanted) {
                    behind.remove(pooler);
                    if (pooler.process.startedAt() >= start - TimeUnit.MILLISECONDS.toNanos(500)) {
                        recoveries.recordValue((System.nanoTime() - pooler.process.startedAt()) / 1000);
                    }
                }
            }
        }
        behind.forEach(p -> unclean.add(p.name + " acts on revision " + p.adopted + " " + WITHIN_SECONDS + " s after all was mended, "
                + wanted + " holds"));
    }

    /** Kills the leader again and again for so long, each time once the last one is back and has caught up. */
    public void killLeaders(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            int tried = operators.tried();
            await("commits go on", WITHIN_SECONDS, () -> operators.served() && operators.tried() > tried + 5 && leader != null);
            Pooler one = pooler(leader);
            if (!one.process.runs()) {
                continue;
            }
            done.merge(Step.Kind.KILL, 1, Integer::sum);
            one.kill();
            await("a new leader serves", WITHIN_SECONDS, operators::served);
            one.start();
            await("caught up", WITHIN_SECONDS, () -> one.adopted >= operators.checker.acknowledged() * 9L / 10);
            Thread.sleep(300);
        }
        mend();
    }

    // ---- the verdict ----

    /** What came of it. */
    public final class Result {
        private final Book.Verdict requests;
        private final Timing.Verdict times = timing.verdict();
        private final List<String> divergent;
        private final int lostPuts;

        private Result(Book.Verdict requests, List<String> divergent, int lostPuts) {
            this.requests = requests;
            this.divergent = divergent;
            this.lostPuts = lostPuts;
        }

        public boolean good() {
            return requests.good() && times.good() && divergent.isEmpty() && lostPuts == 0 && unclean.isEmpty();
        }

        /** How many requests clients made. */
        public int requests() {
            return requests.requests();
        }

        /** All that was found wrong. */
        public List<String> findings() {
            List<String> all = new ArrayList<>(requests.findings());
            all.addAll(times.findings());
            all.addAll(divergent);
            all.addAll(unclean);
            return all;
        }

        private int count(Step.Kind... kinds) {
            return Stream.of(kinds).mapToInt(k -> done.getOrDefault(k, 0)).sum();
        }

        /** One JSON object; times in milliseconds. */
        public String json() {
            return String.format(Locale.ROOT, "{\"poolers\":%d,\"seed\":%d,\"kills\":%d,\"cuts\":%d,\"one_way_cuts\":%d,"
                    + "\"flaps\":%d,\"slow_links\":%d,\"half_open\":%d,\"pauses\":%d,\"restarts\":%d,\"reloads\":%d,"
                    + "\"node_faults\":%d,"
                    + "\"requests\":%d,\"served\":%d,\"refused\":%d,\"failed\":%d,\"lost\":%d,\"doubled\":%d,\"divergent\":%d,"
                    + "\"unanswered\":%d,\"refused_ran\":%d,\"stale\":%d,\"left\":%d,\"late_after_departure\":%d,\"late_after_drain\":%d,"
                    + "\"late_unanswered\":%d,\"rig_stall_max_ms\":%d,"
                    + "\"cold_overrun\":%d,\"restarts_timed\":%d,\"not_ready_10s\":%d,\"drains\":%d,\"silences\":%d,"
                    + "\"overloads\":%d,\"overload_calls\":%d,\"overload_calls_failed\":%d,"
                    + "\"unclean\":%d,\"acknowledged\":%d,\"elections\":%d,"
                    + "\"failovers\":%d,\"failover_p50_ms\":%.0f,\"failover_p99_ms\":%.0f,\"commit_p50_ms\":%.1f,"
                    + "\"commit_p99_ms\":%.1f,\"recovery_p99_ms\":%.0f}", poolers.size(), setting.seed(),
                    count(Step.Kind.KILL, Step.Kind.POWER), count(Step.Kind.CUT), count(Step.Kind.CUT_THERE),
                    count(Step.Kind.FLAP), count(Step.Kind.SLOW, Step.Kind.LIMIT, Step.Kind.LOSSY), count(Step.Kind.HALF_OPEN),
                    count(Step.Kind.PAUSE), count(Step.Kind.RESTART), count(Step.Kind.RELOAD), count(Step.Kind.NODE_KILL, Step.Kind.NODE_PAUSE,
                    Step.Kind.NODE_SLOW), requests.requests(), requests.count(Book.Ending.SERVED),
                    requests.count(Book.Ending.REFUSED), requests.count(Book.Ending.FAILED), requests.lost() + lostPuts,
                    requests.doubled(), divergent.size(), requests.unanswered(), requests.refusedRan(), requests.stale(),
                    requests.count(Book.Ending.LEFT), times.lateAfterDeparture(), times.lateAfterDrain(), times.lateUnanswered(), stall.longestMillis(), times.coldOverrun(),
                    times.restarts(), times.notReady(), count(Step.Kind.NODE_DRAIN), count(Step.Kind.LIST_SILENT),
                    count(Step.Kind.OVERLOAD), discoveryQueue.counts().calls(), discoveryQueue.counts().failed(),
                    unclean.size(), operators.checker.acknowledged(), terms.size(), operators.failovers.getTotalCount(),
                    ms(operators.failovers, 50), ms(operators.failovers, 99), ms(operators.commits, 50),
                    ms(operators.commits, 99), ms(recoveries, 99));
        }
    }

    private static double ms(Histogram of, double percentile) {
        return of.getValueAtPercentile(percentile) / 1000.0;
    }

    /**
     * Ends clients, then daemons, and judges what everybody saw.
     *
     * @param ends whether the daemons' own ends are looked at; else they are just killed
     */
    public Result judge(boolean ends) throws IOException, InterruptedException {
        clients.stop();
        operators.stop();
        long last = -1;
        for (int i = 0; i < 5 && last < 0; i++) {
            last = operators.read();
        }
        long end = last;
        try {
            await("all act on the last revision", WITHIN_SECONDS, () -> poolers.stream().allMatch(p -> p.adopted >= end));
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
        return new Result(book.verdict(), operators.checker.divergent(), operators.checker.lost(last));
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
