package lupinvalve.scale;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;

/** Generates configuration changes and restarts of single poolers at given rates, on one thread each. */
final class Load implements Closeable {
    /** Kind of load. */
    enum Kind {
        CHANGES,
        RESTARTS,
        MIXED;

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long THREAD_JOIN_MARGIN_MILLIS = 5_000;
    private final Operator operator;
    private final Fleet fleet;
    private final Documents documents;
    private final Set<Integer> busy = new HashSet<>();
    private final Histogram joinMicros = new Histogram(120_000_000, 3);
    private final AtomicInteger restarts = new AtomicInteger();
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Load(Operator operator, Fleet fleet, Documents documents) {
        this.operator = operator;
        this.fleet = fleet;
        this.documents = documents;
    }

    /** Starts a thread that puts configurations at this mean rate. */
    void startChanges(double perSecond, RandomGenerator random) {
        startThread("changes", () -> {
            while (!stopped) {
                pause(perSecond, random);
                if (!stopped) {
                    operator.put(documents.next());
                }
            }
        });
    }

    /** Starts a thread that restarts random poolers, one after another, at this mean rate. */
    void startRestarts(double perSecond, RandomGenerator random) {
        startThread("restarts", () -> {
            while (!stopped) {
                pause(perSecond, random);
                int pooler = random.nextInt(fleet.size());
                if (!stopped && reserve(List.of(pooler))) {
                    restart(pooler);
                }
            }
        });
    }

    private void restart(int pooler) throws IOException, InterruptedException {
        try {
            double readyMillis = fleet.restartTogether(List.of(pooler), operator.revision(), READY_TIMEOUT_SECONDS);
            synchronized (joinMicros) {
                joinMicros.recordValue(Math.round(readyMillis * 1000));
            }
            restarts.incrementAndGet();
        } finally {
            release(List.of(pooler));
        }
    }

    /**
     * Restarts the given poolers at the same time. Returns the time until the last was ready, in milliseconds, or null
     * if not all were ready in time.
     */
    Double restartTogether(List<Integer> poolers) throws InterruptedException {
        List<Integer> reserved =
                poolers.stream().filter(one -> reserve(List.of(one))).toList();
        try {
            return fleet.restartTogether(reserved, operator.revision(), READY_TIMEOUT_SECONDS);
        } catch (IOException e) {
            // The run continues for its other measurements; its result names this failure.
            failures.add("herd of " + reserved.size() + ": " + e.getMessage());
            return null;
        } finally {
            release(reserved);
        }
    }

    private boolean reserve(List<Integer> poolers) {
        synchronized (busy) {
            return poolers.stream().noneMatch(busy::contains) && busy.addAll(poolers);
        }
    }

    private void release(List<Integer> poolers) {
        synchronized (busy) {
            busy.removeAll(poolers);
        }
    }

    /**
     * Sleeps for a random time of 0.5 to 1.5 times the mean interval, in steps of at most 100 ms so that close() takes
     * effect soon.
     */
    private void pause(double perSecond, RandomGenerator random) throws InterruptedException {
        long leftMillis = (long) (1000 / perSecond * (0.5 + random.nextDouble()));
        while (leftMillis > 0 && !stopped) {
            long stepMillis = Math.min(leftMillis, 100);
            Thread.sleep(stepMillis);
            leftMillis -= stepMillis;
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private void startThread(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | RuntimeException e) {
                        failures.add(name + ": " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Returns the durations of single restarts in microseconds. */
    Histogram joinTimes() {
        synchronized (joinMicros) {
            return joinMicros.copy();
        }
    }

    int restarts() {
        return restarts.get();
    }

    /** Returns the errors that ended a part of the load early. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    @Override
    public void close() {
        stopped = true;
        try {
            for (Thread thread : threads) {
                thread.join(READY_TIMEOUT_SECONDS * 1000 + THREAD_JOIN_MARGIN_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
