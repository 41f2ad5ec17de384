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

/** All hollow poolers, some hundred to a process, and what they told. */
final class Fleet implements Closeable {
    private static final int PER_HOST = 230;
    private static final int HEAP_LEAST = 256;
    private static final int HEAP_A_POOLER = 5;
    private static final long STOP_SECONDS = 20;
    private static final long POLL_MILLIS = 20;
    private static final int FAILURES_MOST = 50;
    /** In memory where the system has a place for that: poolers have a disk each, and these would share one. */
    private static final Path MEMORY = Path.of("/dev/shm");

    private final Path disks;
    private final Design design;
    private final Links links;
    private final History history;
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final int size;
    private final Map<String, PoolerCourse> courses = new ConcurrentHashMap<>();
    private final Map<String, Integer> holds = new ConcurrentHashMap<>();
    private final Map<String, Boolean> alive = new ConcurrentHashMap<>();
    private final List<String> failures = java.util.Collections.synchronizedList(new ArrayList<>());

    Fleet(int size, Design design, String cluster, Path folder, Links links, History history) throws IOException {
        this.size = size;
        this.design = design;
        disks = Files.isWritable(MEMORY) ? Files.createTempDirectory(MEMORY, "scale") : folder;
        this.links = links;
        this.history = history;
        if (design == Design.MEMBERS) {
            try (Scratch.Ports held = new Scratch.Ports(size)) {
                IntStream.range(0, size).forEach(i -> ports.add(held.get(i)));
            }
        }
        int count = (size + PER_HOST - 1) / PER_HOST;
        for (int i = 0; i < count; i++) {
            int heap = HEAP_LEAST + HEAP_A_POOLER * size / count;
            hosts.add(new HostProcess(design, cluster, heap, folder.resolve("host" + i + ".log"), this::heard));
        }
    }

    private void heard(HostEvent event) {
        String name = event.pooler();
        PoolerCourse course = courses.computeIfAbsent(name, n -> new PoolerCourse());
        switch (event.what()) {
            case STARTED -> {
                course.started(event.atNanos());
                alive.put(name, true);
            }
            case STOPPED -> {
                course.stopped(event.atNanos());
                alive.put(name, false);
            }
            case MAY_ACT, MAY_NOT -> course.mayAct(event.atNanos(), event.what() == HostEvent.What.MAY_ACT);
            case ADOPTED -> {
                course.adopted(event.atNanos(), event.revision());
                history.adopted(name, event.revision(), event.digest());
            }
            case HOLDS -> holds.put(name, event.holds());
            case FAILED -> failed(name + ": " + event.why());
            default -> failed(name + " told " + event.what());
        }
    }

    private void failed(String what) {
        if (failures.size() < FAILURES_MOST) {
            failures.add(what);
        }
    }

    int size() {
        return size;
    }

    Map<String, PoolerCourse> courses() {
        return courses;
    }

    List<String> failures() {
        return List.copyOf(failures);
    }

    private HostProcess host(int pooler) {
        return hosts.get(pooler % hosts.size());
    }

    void start(int pooler) throws IOException {
        String name = Topology.pooler(pooler);
        Path own = disks.resolve(name);
        Files.createDirectories(own);
        host(pooler)
                .tell(new HostCommand(
                        HostCommand.What.START,
                        name,
                        own.toString(),
                        design == Design.MEMBERS ? "127.0.0.1:" + ports.get(pooler) : null,
                        links.forPooler(pooler)));
    }

    /** Stops all of these at once and waits until they have. */
    void stop(Collection<Integer> poolers) throws IOException, InterruptedException {
        poolers.forEach(one -> host(one).tell(HostCommand.stop(Topology.pooler(one))));
        await("poolers stop", STOP_SECONDS, () -> poolers.stream()
                .noneMatch(one -> alive.getOrDefault(Topology.pooler(one), false)));
    }

    /**
     * Stops these at once, starts them again at once and gives how long it took until the last acted on a revision, in
     * ms.
     */
    double herd(Collection<Integer> poolers, long revision, long withinSeconds)
            throws IOException, InterruptedException {
        stop(poolers);
        long begun = System.nanoTime();
        for (int one : poolers) {
            start(one);
        }
        awaitReady(poolers, revision, withinSeconds);
        long last = begun;
        for (int one : poolers) {
            last = Math.max(last, courses.get(Topology.pooler(one)).readyAt(revision, begun));
        }
        return (last - begun) / 1e6;
    }

    /** Waits until these may act, on this revision or a later one. */
    void awaitReady(Collection<Integer> poolers, long revision, long withinSeconds)
            throws IOException, InterruptedException {
        List<Integer> left = new ArrayList<>(poolers);
        try {
            await("poolers act on revision " + revision, withinSeconds, () -> {
                left.removeIf(one -> {
                    PoolerCourse course = courses.get(Topology.pooler(one));
                    return course != null && course.ready(revision);
                });
                return left.isEmpty();
            });
        } catch (IOException e) {
            throw new IOException(
                    e.getMessage() + ": " + left.size() + " of " + poolers.size() + " left, the first "
                            + Topology.pooler(left.get(0)) + (failures.isEmpty() ? "" : "; " + failures.get(0)),
                    e);
        }
    }

    /** Waits until all that run know of so many holds. */
    void awaitHolds(int count, long withinSeconds) throws IOException, InterruptedException {
        await("poolers hear of the hold", withinSeconds, () -> alive.entrySet().stream()
                .allMatch(one -> !one.getValue() || holds.getOrDefault(one.getKey(), 0) == count));
    }

    private static void await(String what, long withinSeconds, BooleanSupplier holds)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Counters of all hosts together. */
    HostReport report() throws IOException, InterruptedException {
        HostReport sum = new HostReport(0, 0, 0, 0, 0, 0, 0);
        for (HostProcess host : hosts) {
            sum = sum.plus(host.report());
        }
        return sum;
    }

    List<Integer> all() {
        return IntStream.range(0, size).boxed().toList();
    }

    @Override
    public void close() throws IOException {
        List<Thread> ends = new ArrayList<>();
        for (HostProcess host : hosts) {
            Thread end = new Thread(host::close, "ends a host");
            end.start();
            ends.add(end);
        }
        try {
            for (Thread end : ends) {
                end.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Scratch.delete(disks);
    }
}
