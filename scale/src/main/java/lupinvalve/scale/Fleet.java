package lupinvalve.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import lupinvalve.drills.Scratch;

/** All hollow poolers, up to 230 per process, and the events that they reported. */
final class Fleet implements Closeable {
    private static final int POOLERS_PER_HOST = 230;
    private static final int MIN_HEAP_MEGABYTES = 256;
    private static final int HEAP_MEGABYTES_PER_POOLER = 5;
    private static final long STOP_TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLIS = 20;
    private static final int MAX_FAILURES = 50;
    /**
     * Poolers' folders go to a file system in memory where there is one: in production each pooler has its own disk,
     * here all would share one.
     */
    private static final Path MEMORY_FOLDER = Path.of("/dev/shm");

    private final Path disks;
    private final Design design;
    private final Links links;
    private final History history;
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final int size;
    private final Map<String, PoolerTimeline> timelines = new ConcurrentHashMap<>();
    private final Map<String, Integer> holds = new ConcurrentHashMap<>();
    private final Map<String, Boolean> running = new ConcurrentHashMap<>();
    private final List<String> failures = java.util.Collections.synchronizedList(new ArrayList<>());

    Fleet(int size, Design design, String cluster, Path folder, Links links, History history) throws IOException {
        this.size = size;
        this.design = design;
        disks = Files.isWritable(MEMORY_FOLDER) ? Files.createTempDirectory(MEMORY_FOLDER, "scale") : folder;
        this.links = links;
        this.history = history;
        if (design == Design.MEMBERS) {
            try (Scratch.Ports held = new Scratch.Ports(size)) {
                IntStream.range(0, size).forEach(i -> ports.add(held.get(i)));
            }
        }
        int count = (size + POOLERS_PER_HOST - 1) / POOLERS_PER_HOST;
        for (int i = 0; i < count; i++) {
            int heapMegabytes = MIN_HEAP_MEGABYTES + HEAP_MEGABYTES_PER_POOLER * size / count;
            hosts.add(new HostProcess(
                    design, cluster, heapMegabytes, folder.resolve("host" + i + ".log"), this::onEvent));
        }
    }

    private void onEvent(HostEvent event) {
        String name = event.pooler();
        PoolerTimeline timeline = timelines.computeIfAbsent(name, n -> new PoolerTimeline());
        switch (event.what()) {
            case STARTED -> {
                timeline.started(event.atNanos());
                running.put(name, true);
            }
            case STOPPED -> {
                timeline.stopped(event.atNanos());
                running.put(name, false);
            }
            case MAY_ACT, MAY_NOT -> timeline.mayAct(event.atNanos(), event.what() == HostEvent.What.MAY_ACT);
            case ADOPTED -> {
                timeline.adopted(event.atNanos(), event.revision());
                history.adopted(name, event.revision(), event.digest());
            }
            case HOLDS -> holds.put(name, event.holds());
            case FAILED -> addFailure(name + ": " + event.why());
            default -> addFailure(name + " told " + event.what());
        }
    }

    private void addFailure(String failure) {
        if (failures.size() < MAX_FAILURES) {
            failures.add(failure);
        }
    }

    int size() {
        return size;
    }

    Map<String, PoolerTimeline> timelines() {
        return timelines;
    }

    List<String> failures() {
        return List.copyOf(failures);
    }

    private HostProcess host(int pooler) {
        return hosts.get(pooler % hosts.size());
    }

    void start(int pooler) throws IOException {
        String name = Topology.pooler(pooler);
        Path poolerFolder = disks.resolve(name);
        Files.createDirectories(poolerFolder);
        host(pooler)
                .send(new HostCommand(
                        HostCommand.What.START,
                        name,
                        poolerFolder.toString(),
                        design == Design.MEMBERS ? "127.0.0.1:" + ports.get(pooler) : null,
                        links.forPooler(pooler)));
    }

    /** Stops the given poolers at the same time and waits until all have stopped. */
    void stop(Collection<Integer> poolers) throws IOException, InterruptedException {
        poolers.forEach(one -> host(one).send(HostCommand.stop(Topology.pooler(one))));
        await("poolers stop", STOP_TIMEOUT_SECONDS, () -> poolers.stream()
                .noneMatch(one -> running.getOrDefault(Topology.pooler(one), false)));
    }

    /**
     * Stops the given poolers at the same time, starts them all again, and returns the time from then until the last of
     * them acted on a revision, in milliseconds.
     */
    double restartTogether(Collection<Integer> poolers, long revision, long withinSeconds)
            throws IOException, InterruptedException {
        stop(poolers);
        long startNanos = System.nanoTime();
        for (int one : poolers) {
            start(one);
        }
        awaitReady(poolers, revision, withinSeconds);
        long lastReadyNanos = startNanos;
        for (int one : poolers) {
            lastReadyNanos =
                    Math.max(lastReadyNanos, timelines.get(Topology.pooler(one)).readyAt(revision, startNanos));
        }
        return (lastReadyNanos - startNanos) / 1e6;
    }

    /** Waits until the given poolers have the right to act and act on this revision or a later one. */
    void awaitReady(Collection<Integer> poolers, long revision, long withinSeconds)
            throws IOException, InterruptedException {
        List<Integer> missing = new ArrayList<>(poolers);
        try {
            await("poolers act on revision " + revision, withinSeconds, () -> {
                missing.removeIf(one -> {
                    PoolerTimeline timeline = timelines.get(Topology.pooler(one));
                    return timeline != null && timeline.ready(revision);
                });
                return missing.isEmpty();
            });
        } catch (IOException e) {
            throw new IOException(
                    e.getMessage() + ": " + missing.size() + " of " + poolers.size() + " left, the first "
                            + Topology.pooler(missing.get(0)) + (failures.isEmpty() ? "" : "; " + failures.get(0)),
                    e);
        }
    }

    /** Waits until every running pooler has received exactly this many holds. */
    void awaitHolds(int count, long withinSeconds) throws IOException, InterruptedException {
        await("poolers hear of the hold", withinSeconds, () -> running.entrySet().stream()
                .allMatch(one -> !one.getValue() || holds.getOrDefault(one.getKey(), 0) == count));
    }

    private static void await(String what, long withinSeconds, BooleanSupplier condition)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns the counters summed over all hosts. */
    HostReport report() throws IOException, InterruptedException {
        HostReport sum = new HostReport(0, 0, 0, 0, 0, 0, 0);
        for (HostProcess host : hosts) {
            sum = sum.plus(host.report());
        }
        return sum;
    }

    List<Integer> allPoolers() {
        return IntStream.range(0, size).boxed().toList();
    }

    @Override
    public void close() throws IOException {
        List<Thread> shutdowns = new ArrayList<>();
        for (HostProcess host : hosts) {
            Thread shutdown = new Thread(host::close, "host shutdown");
            shutdown.start();
            shutdowns.add(shutdown);
        }
        try {
            for (Thread shutdown : shutdowns) {
                shutdown.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Scratch.delete(disks);
    }
}
