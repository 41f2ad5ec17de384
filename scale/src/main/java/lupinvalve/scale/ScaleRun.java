package lupinvalve.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lupinvalve.drills.DaemonProcess;
import lupinvalve.drills.Scratch;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** One run: brings all up, measures it at rest and under its load, lets it settle, and judges what everybody told. */
final class ScaleRun implements Closeable {
    private static final long FOUNDED_SECONDS = 30;
    private static final long UP_SECONDS = 60;
    private static final long SETTLE_SECONDS = 60;
    private static final long ADD_SECONDS = 30;
    private static final long IDLE_MILLIS_LEAST = 2_000;
    private static final long IDLE_MILLIS_MOST = 10_000;
    private static final int IDLE_SHARE = 6;
    private static final double MEGABYTE = 1 << 20;
    /** How many poolers start at once while all are brought up. */
    private static final int START_AT_ONCE = 60;

    private final RunSpec spec;
    private final Progress progress;
    private final Path folder = Files.createTempDirectory("scale");
    private final History history = new History();
    private final Daemons daemons;
    private final Links links;
    private final Fleet fleet;
    private final Operator operator;
    private final Documents documents;
    private final Load load;
    private final List<Double> joins = new ArrayList<>();
    private MemberWatch watch;
    private FaultCourse faults;
    private int documentBytes;
    private Double herdReadyMs;

    /** Ends what runs where this program is ended from outside. */
    private final Thread ends = new Thread(this::closeQuietly, "ends a run");

    /** Sets all up; nothing but the hosts' processes runs yet. */
    ScaleRun(RunSpec spec, Progress progress) throws IOException {
        this.spec = spec;
        this.progress = progress;
        daemons = new Daemons(folder, spec.config(), history);
        links = new Links(daemons.memberPorts());
        fleet = new Fleet(spec.poolers(), spec.design(), Daemons.CLUSTER, folder, links, history);
        operator = new Operator(daemons, history);
        documents = new Documents(spec.databases(), new Well19937c(spec.seed()));
        load = new Load(operator, fleet, documents);
        Runtime.getRuntime().addShutdownHook(ends);
    }

    private void closeQuietly() {
        try {
            daemons.close();
            fleet.close();
        } catch (IOException e) {
            progress.say(String.valueOf(e));
        }
    }

    /** All of it. */
    RunResult run() throws IOException, InterruptedException {
        up();
        progress.say("all are up; at rest");
        Measured before = measure();
        Thread.sleep(Math.max(
                IDLE_MILLIS_LEAST, Math.min(IDLE_MILLIS_MOST, TimeUnit.SECONDS.toMillis(spec.seconds()) / IDLE_SHARE)));
        Measured rested = measure();
        progress.say("load begins");
        watch.reset();
        long begun = System.nanoTime();
        loaded(begun);
        Measured end = measure();
        MemberWatch.Spent leading = watch.leading();
        MemberWatch.Spent following = watch.following();
        progress.say("load is over");
        settle();
        return judged(begun, new Measurements(before, rested, end, leading, following));
    }

    /** Counters at one moment. */
    private record Measured(
            long atNanos,
            HostReport hosts,
            FrameMeter.Sums proxied,
            Map<FrameMeter.Kind, FrameMeter.Sums> kinds,
            MemberWatch.Spent leader) {
        double seconds(Measured since) {
            return (atNanos - since.atNanos) / 1e9;
        }
    }

    /** Counters before and after the rest, at the end of the load, and what members spent under it. */
    private record Measurements(
            Measured before, Measured rested, Measured end, MemberWatch.Spent leading, MemberWatch.Spent following) {}

    private Measured measure() throws IOException, InterruptedException {
        return new Measured(
                System.nanoTime(), fleet.report(), links.ofPoolers(), links.ofPoolersByKind(), watch.leading());
    }

    // ---- bringing up ----

    private void up() throws IOException, InterruptedException {
        links.slowRegions(spec.regionDelayMillis());
        daemons.startMembers(links);
        operator.awaitRead(FOUNDED_SECONDS);
        byte[] first = documents.next();
        documentBytes = first.length;
        if (!operator.put(first)) {
            throw new IOException("the first configuration was not acknowledged");
        }
        progress.say("the group is founded");
        daemons.startPoolers(spec.daemons(), spec.design(), links);
        if (spec.design() == Design.MEMBERS) {
            addAll();
        } else {
            startAll();
        }
        watch = new MemberWatch(daemons, links);
    }

    private void startAll() throws IOException, InterruptedException {
        List<Integer> all = fleet.all();
        for (int from = 0; from < all.size(); from += START_AT_ONCE) {
            List<Integer> next = all.subList(from, Math.min(all.size(), from + START_AT_ONCE));
            for (int one : next) {
                fleet.start(one);
            }
            fleet.awaitReady(next, operator.revision(), UP_SECONDS);
            progress.say(from + next.size() + " poolers are up");
        }
    }

    /** Members come one at a time: the group takes one change of itself after another. */
    private void addAll() throws IOException, InterruptedException {
        for (DaemonProcess daemon : daemons.poolers()) {
            operator.add(daemon.name, ADD_SECONDS);
        }
        for (int one : fleet.all()) {
            fleet.start(one);
            long begun = System.nanoTime();
            try {
                operator.add(Topology.pooler(one), ADD_SECONDS);
                fleet.awaitReady(List.of(one), operator.revision(), ADD_SECONDS);
            } catch (IOException e) {
                throw new IOException(
                        "with " + (Topology.MEMBERS + spec.daemons() + one) + " members: " + e.getMessage(), e);
            }
            joins.add((System.nanoTime() - begun) / 1e6);
            progress.say(Topology.pooler(one) + " is a member");
        }
    }

    // ---- load ----

    private void loaded(long begun) throws IOException, InterruptedException {
        long until = begun + TimeUnit.SECONDS.toNanos(spec.seconds());
        if (spec.load() != Load.Kind.RESTARTS) {
            load.changes(spec.changesPerSecond(), new Well19937c(spec.seed() + 1));
        }
        if (spec.load() != Load.Kind.CHANGES) {
            RandomGenerator random = new Well19937c(spec.seed() + 2);
            load.restarts(spec.restartsPerSecond(), random);
        }
        if (spec.load() == Load.Kind.MIXED) {
            faults = new FaultCourse(daemons, links, fleet, operator, load, progress, spec.seconds());
            faults.play(until);
        }
        TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
        load.close();
    }

    private void settle() throws IOException, InterruptedException {
        operator.awaitRead(SETTLE_SECONDS);
        fleet.awaitReady(fleet.all(), operator.revision(), SETTLE_SECONDS);
        if (spec.load() == Load.Kind.RESTARTS) {
            progress.say("a zone restarts");
            herdReadyMs = load.herd(FaultCourse.zone(fleet, 1));
        }
        operator.awaitRead(SETTLE_SECONDS);
    }

    // ---- the verdict ----

    private RunResult judged(long begun, Measurements measured) throws IOException {
        long end = System.nanoTime();
        List<InForce.Acknowledged> changes = operator.acknowledgedSince(begun);
        Map<String, PoolerCourse> all = new HashMap<>(fleet.courses());
        all.keySet().removeIf(name -> !name.startsWith("h"));
        InForce.Verdict hollow = InForce.judge(changes, all, Budgets.IN_FORCE_MILLIS, end);
        InForce.Verdict real = InForce.judge(changes, daemons.poolerCourses(), Budgets.IN_FORCE_MILLIS, end);
        Metrics metrics = metrics(measured, hollow, real);
        List<String> findings = new ArrayList<>(history.divergent());
        int divergent = findings.size();
        findings.addAll(hollow.findings());
        findings.addAll(real.findings());
        findings.addAll(fleet.failures());
        findings.addAll(load.failures());
        List<String> over = Budgets.exceeded(metrics, !changes.isEmpty());
        if (!load.failures().isEmpty()) {
            over.add("load");
        }
        return new RunResult(
                spec,
                metrics,
                changes.size(),
                load.restarts(),
                divergent,
                history.lost(),
                hollow.unfencedLate() + real.unfencedLate(),
                hollow.fenced() + real.fenced(),
                over,
                findings,
                kinds(measured));
    }

    private Metrics metrics(Measurements m, InForce.Verdict hollow, InForce.Verdict real) throws IOException {
        double seconds = m.end().seconds(m.rested());
        Traffic traffic = Traffic.between(
                spec,
                m.rested().hosts(),
                m.end().hosts(),
                m.rested().proxied(),
                m.end().proxied());
        Traffic idle = Traffic.between(
                spec,
                m.before().hosts(),
                m.rested().hosts(),
                m.before().proxied(),
                m.rested().proxied());
        double idleSeconds = m.rested().seconds(m.before());
        HostReport hosts = m.end().hosts();
        FaultCourse.Times times =
                faults == null ? new FaultCourse.Times(null, null, herdReadyMs, null, null) : faults.times();
        Histogram joined = joined();
        int leader = Math.max(0, daemons.leader());
        MemberWatch.Spent rest = m.rested().leader();
        return new Metrics(
                percentile(hollow.latencies(), 50),
                percentile(hollow.latencies(), 99),
                percentile(hollow.latencies(), 100),
                percentile(real.latencies(), 100),
                cpu(m.rested(), m.end()),
                traffic.bytes() / seconds / spec.poolers(),
                traffic.bytesIn() / seconds / spec.poolers(),
                traffic.bytesOut() / seconds / spec.poolers(),
                traffic.messages() / seconds / spec.poolers(),
                hosts.rssBytes() / MEGABYTE / spec.poolers(),
                hosts.heapBytes() / MEGABYTE / spec.poolers(),
                cpu(m.before(), m.rested()),
                idle.bytes() / idleSeconds / spec.poolers(),
                m.leading().cpuCore(),
                rest.cpuCore(),
                m.leading().bytesPerSecond() + traffic.unproxied() / seconds,
                m.leading().messagesPerSecond(),
                watch.leaderMegabytes(),
                m.following().cpuCore(),
                realMegabytes(),
                ProcessCounters.fileBytes(daemons.memberFolder(leader), "history-"),
                ProcessCounters.fileBytes(daemons.memberFolder(leader), "snapshot-"),
                times.herdReadyMs(),
                times.rackReadyMs(),
                times.regionReadyMs(),
                percentile(joined, 50),
                percentile(joined, 100),
                times.toldMs(),
                percentile(operator.puts(), 50),
                percentile(operator.puts(), 99),
                times.failoverMs(),
                (hollow.unleasedOldNanos() + real.unleasedOldNanos()) / 1e6,
                (long) documentBytes);
    }

    /** Single restarts, or where there were none how long each took to become a member. */
    private Histogram joined() {
        Histogram joined = load.joins();
        if (joined.getTotalCount() == 0) {
            joins.forEach(one -> joined.recordValue(Math.round(one * 1000)));
        }
        return joined;
    }

    private double cpu(Measured from, Measured to) {
        return (to.hosts().cpuNanos() - from.hosts().cpuNanos()) / 1e9 / to.seconds(from) / spec.poolers();
    }

    private Double realMegabytes() {
        if (daemons.poolers().isEmpty()) {
            return null;
        }
        return daemons.poolers().stream()
                        .mapToLong(one -> ProcessCounters.residentBytes(one.pid()))
                        .average()
                        .orElse(0)
                / MEGABYTE;
    }

    private static Double percentile(Histogram micros, double percentile) {
        return micros.getTotalCount() == 0 ? null : micros.getValueAtPercentile(percentile) / 1000.0;
    }

    private static Map<FrameMeter.Kind, FrameMeter.Sums> kinds(Measurements m) {
        Map<FrameMeter.Kind, FrameMeter.Sums> kinds = new LinkedHashMap<>();
        double seconds = m.end().seconds(m.rested());
        m.end().kinds().forEach((kind, sums) -> {
            FrameMeter.Sums more = sums.minus(m.rested().kinds().get(kind));
            kinds.put(
                    kind,
                    new FrameMeter.Sums(Math.round(more.messages() / seconds), Math.round(more.bytes() / seconds)));
        });
        return kinds;
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(ends);
        load.close();
        if (watch != null) {
            watch.close();
        }
        fleet.close();
        daemons.close();
        links.close();
        if (!spec.keep() && Files.exists(folder)) {
            Scratch.delete(folder);
        }
    }
}
