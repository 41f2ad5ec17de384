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

/**
 * A single run: starts all processes, measures them idle and under load, waits until they settle, and checks the events
 * that poolers and daemons reported against the operators' limits.
 */
final class ScaleRun implements Closeable {
    private static final long GROUP_READY_TIMEOUT_SECONDS = 30;
    private static final long START_TIMEOUT_SECONDS = 60;
    private static final long SETTLE_TIMEOUT_SECONDS = 60;
    private static final long ADD_TIMEOUT_SECONDS = 30;
    private static final long MIN_IDLE_MILLIS = 2_000;
    private static final long MAX_IDLE_MILLIS = 10_000;
    private static final int IDLE_DIVISOR = 6;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    /** Number of poolers that are started at a time during the initial start. */
    private static final int START_BATCH_POOLERS = 60;

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
    private final List<Double> joinMillis = new ArrayList<>();
    private MemberWatch watch;
    private FaultSchedule faults;
    private int documentBytes;
    private Double herdReadyMs;

    /** Shutdown hook: stops the child processes if this process is terminated during a run. */
    private final Thread shutdownHook = new Thread(this::closeQuietly, "scale shutdown");

    /**
     * Prepares a run and starts the processes that host hollow poolers; the poolers, members and daemons start in
     * {@link #run()}.
     */
    ScaleRun(RunSpec spec, Progress progress) throws IOException {
        this.spec = spec;
        this.progress = progress;
        daemons = new Daemons(folder, spec.config(), history);
        links = new Links(daemons.memberPorts());
        fleet = new Fleet(spec.poolers(), spec.design(), Daemons.CLUSTER, folder, links, history);
        operator = new Operator(daemons, history);
        documents = new Documents(spec.databases(), new Well19937c(spec.seed()));
        load = new Load(operator, fleet, documents);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    private void closeQuietly() {
        try {
            daemons.close();
            fleet.close();
        } catch (IOException e) {
            progress.say(String.valueOf(e));
        }
    }

    /** Runs from start to verdict. */
    RunResult run() throws IOException, InterruptedException {
        start();
        progress.say("all poolers are up; measuring without load");
        Sample idleStart = measure();
        Thread.sleep(Math.max(
                MIN_IDLE_MILLIS, Math.min(MAX_IDLE_MILLIS, TimeUnit.SECONDS.toMillis(spec.seconds()) / IDLE_DIVISOR)));
        Sample idleEnd = measure();
        progress.say("load starts");
        watch.reset();
        long startNanos = System.nanoTime();
        runLoad(startNanos);
        Sample end = measure();
        MemberWatch.Usage leading = watch.leading();
        MemberWatch.Usage following = watch.following();
        progress.say("load has ended");
        settle();
        return evaluate(startNanos, new Samples(idleStart, idleEnd, end, leading, following));
    }

    /** Counters at a point in time, by {@link System#nanoTime()}. */
    private record Sample(
            long atNanos,
            HostReport hosts,
            FrameMeter.Sums proxied,
            Map<FrameMeter.Kind, FrameMeter.Sums> kinds,
            MemberWatch.Usage leader) {
        double seconds(Sample since) {
            return (atNanos - since.atNanos) / 1e9;
        }
    }

    /**
     * Counters before and after the idle phase and at the end of the load, and the members' resource use under load.
     */
    private record Samples(
            Sample idleStart, Sample idleEnd, Sample end, MemberWatch.Usage leading, MemberWatch.Usage following) {}

    private Sample measure() throws IOException, InterruptedException {
        return new Sample(
                System.nanoTime(), fleet.report(), links.ofPoolers(), links.ofPoolersByKind(), watch.leading());
    }

    // ---- start ----

    private void start() throws IOException, InterruptedException {
        links.slowRegions(spec.regionDelayMillis());
        daemons.startMembers(links);
        operator.awaitRead(GROUP_READY_TIMEOUT_SECONDS);
        byte[] first = documents.next();
        documentBytes = first.length;
        if (!operator.put(first)) {
            throw new IOException("the first configuration was not acknowledged");
        }
        progress.say("the group of control members accepts configurations");
        daemons.startPoolers(spec.daemons(), spec.design(), links);
        if (spec.design() == Design.MEMBERS) {
            addMembers();
        } else {
            startFleet();
        }
        watch = new MemberWatch(daemons, links);
    }

    private void startFleet() throws IOException, InterruptedException {
        List<Integer> all = fleet.allPoolers();
        for (int from = 0; from < all.size(); from += START_BATCH_POOLERS) {
            List<Integer> next = all.subList(from, Math.min(all.size(), from + START_BATCH_POOLERS));
            for (int one : next) {
                fleet.start(one);
            }
            fleet.awaitReady(next, operator.revision(), START_TIMEOUT_SECONDS);
            progress.say(from + next.size() + " poolers are up");
        }
    }

    /** Adds members one at a time: the group accepts a membership change only after the previous one has completed. */
    private void addMembers() throws IOException, InterruptedException {
        for (DaemonProcess daemon : daemons.poolers()) {
            operator.add(daemon.name, ADD_TIMEOUT_SECONDS);
        }
        for (int one : fleet.allPoolers()) {
            fleet.start(one);
            long startNanos = System.nanoTime();
            try {
                operator.add(Topology.pooler(one), ADD_TIMEOUT_SECONDS);
                fleet.awaitReady(List.of(one), operator.revision(), ADD_TIMEOUT_SECONDS);
            } catch (IOException e) {
                throw new IOException(
                        "with " + (Topology.MEMBERS + spec.daemons() + one) + " members: " + e.getMessage(), e);
            }
            joinMillis.add((System.nanoTime() - startNanos) / 1e6);
            progress.say(Topology.pooler(one) + " has become a member");
        }
    }

    // ---- load ----

    private void runLoad(long startNanos) throws IOException, InterruptedException {
        long untilNanos = startNanos + TimeUnit.SECONDS.toNanos(spec.seconds());
        if (spec.load() != Load.Kind.RESTARTS) {
            load.startChanges(spec.changesPerSecond(), new Well19937c(spec.seed() + 1));
        }
        if (spec.load() != Load.Kind.CHANGES) {
            RandomGenerator random = new Well19937c(spec.seed() + 2);
            load.startRestarts(spec.restartsPerSecond(), random);
        }
        if (spec.load() == Load.Kind.MIXED) {
            faults = new FaultSchedule(daemons, links, fleet, operator, load, progress, spec.seconds());
            faults.run(untilNanos);
        }
        TimeUnit.NANOSECONDS.sleep(Math.max(0, untilNanos - System.nanoTime()));
        load.close();
    }

    private void settle() throws IOException, InterruptedException {
        operator.awaitRead(SETTLE_TIMEOUT_SECONDS);
        fleet.awaitReady(fleet.allPoolers(), operator.revision(), SETTLE_TIMEOUT_SECONDS);
        if (spec.load() == Load.Kind.RESTARTS) {
            progress.say("restarting all poolers of a zone");
            herdReadyMs = load.restartTogether(FaultSchedule.zone(fleet, 1));
        }
        operator.awaitRead(SETTLE_TIMEOUT_SECONDS);
    }

    // ---- the verdict ----

    private RunResult evaluate(long startNanos, Samples samples) throws IOException {
        long end = System.nanoTime();
        List<InForce.Acknowledged> changes = operator.acknowledgedSince(startNanos);
        Map<String, PoolerTimeline> all = new HashMap<>(fleet.timelines());
        all.keySet().removeIf(name -> !name.startsWith("h"));
        InForce.Verdict hollow = InForce.evaluate(changes, all, Budgets.IN_FORCE_MILLIS, end);
        InForce.Verdict real = InForce.evaluate(changes, daemons.poolerTimelines(), Budgets.IN_FORCE_MILLIS, end);
        Metrics metrics = metrics(samples, hollow, real);
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
                ratesByKind(samples));
    }

    private Metrics metrics(Samples samples, InForce.Verdict hollow, InForce.Verdict real) throws IOException {
        double seconds = samples.end().seconds(samples.idleEnd());
        Traffic traffic = Traffic.between(
                spec,
                samples.idleEnd().hosts(),
                samples.end().hosts(),
                samples.idleEnd().proxied(),
                samples.end().proxied());
        Traffic idle = Traffic.between(
                spec,
                samples.idleStart().hosts(),
                samples.idleEnd().hosts(),
                samples.idleStart().proxied(),
                samples.idleEnd().proxied());
        double idleSeconds = samples.idleEnd().seconds(samples.idleStart());
        HostReport hosts = samples.end().hosts();
        FaultSchedule.Times times =
                faults == null ? new FaultSchedule.Times(null, null, herdReadyMs, null, null) : faults.times();
        Histogram joinMicros = joinMicros();
        int leader = Math.max(0, daemons.leader());
        MemberWatch.Usage idleLeader = samples.idleEnd().leader();
        return new Metrics(
                percentile(hollow.latencyMicros(), 50),
                percentile(hollow.latencyMicros(), 99),
                percentile(hollow.latencyMicros(), 100),
                percentile(real.latencyMicros(), 100),
                cpuCores(samples.idleEnd(), samples.end()),
                traffic.bytes() / seconds / spec.poolers(),
                traffic.bytesIn() / seconds / spec.poolers(),
                traffic.bytesOut() / seconds / spec.poolers(),
                traffic.messages() / seconds / spec.poolers(),
                hosts.rssBytes() / BYTES_PER_MEGABYTE / spec.poolers(),
                hosts.heapBytes() / BYTES_PER_MEGABYTE / spec.poolers(),
                cpuCores(samples.idleStart(), samples.idleEnd()),
                idle.bytes() / idleSeconds / spec.poolers(),
                samples.leading().cpuCore(),
                idleLeader.cpuCore(),
                samples.leading().bytesPerSecond() + traffic.unproxied() / seconds,
                samples.leading().messagesPerSecond(),
                watch.leaderMegabytes(),
                samples.following().cpuCore(),
                daemonMegabytes(),
                ProcessCounters.fileBytes(daemons.memberFolder(leader), "history-"),
                ProcessCounters.fileBytes(daemons.memberFolder(leader), "snapshot-"),
                times.herdReadyMs(),
                times.rackReadyMs(),
                times.regionReadyMs(),
                percentile(joinMicros, 50),
                percentile(joinMicros, 100),
                times.toldMs(),
                percentile(operator.putMicros(), 50),
                percentile(operator.putMicros(), 99),
                times.failoverMs(),
                (hollow.unleasedOldNanos() + real.unleasedOldNanos()) / 1e6,
                (long) documentBytes);
    }

    /** Durations of single restarts in microseconds; if there were none, of joining the group as a member. */
    private Histogram joinMicros() {
        Histogram joinMicros = load.joinTimes();
        if (joinMicros.getTotalCount() == 0) {
            joinMillis.forEach(one -> joinMicros.recordValue(Math.round(one * 1000)));
        }
        return joinMicros;
    }

    private double cpuCores(Sample from, Sample to) {
        return (to.hosts().cpuNanos() - from.hosts().cpuNanos()) / 1e9 / to.seconds(from) / spec.poolers();
    }

    private Double daemonMegabytes() {
        if (daemons.poolers().isEmpty()) {
            return null;
        }
        return daemons.poolers().stream()
                        .mapToLong(one -> ProcessCounters.residentBytes(one.pid()))
                        .average()
                        .orElse(0)
                / BYTES_PER_MEGABYTE;
    }

    private static Double percentile(Histogram micros, double percentile) {
        return micros.getTotalCount() == 0 ? null : micros.getValueAtPercentile(percentile) / 1000.0;
    }

    private static Map<FrameMeter.Kind, FrameMeter.Sums> ratesByKind(Samples samples) {
        Map<FrameMeter.Kind, FrameMeter.Sums> kinds = new LinkedHashMap<>();
        double seconds = samples.end().seconds(samples.idleEnd());
        samples.end().kinds().forEach((kind, sums) -> {
            FrameMeter.Sums delta = sums.minus(samples.idleEnd().kinds().get(kind));
            kinds.put(
                    kind,
                    new FrameMeter.Sums(Math.round(delta.messages() / seconds), Math.round(delta.bytes() / seconds)));
        });
        return kinds;
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
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
