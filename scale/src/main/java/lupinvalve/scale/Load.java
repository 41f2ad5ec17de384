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

/** Changes of configuration and single restarts at their rates, on a thread each. */
final class Load implements Closeable {
    /** What is done to the poolers. */
    enum Kind {
        CHANGES,
        RESTARTS,
        MIXED;

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private static final long READY_SECONDS = 60;
    private static final long JOIN_MILLIS = 5_000;
    private final Operator operator;
    private final Fleet fleet;
    private final Documents documents;
    private final Set<Integer> busy = new HashSet<>();
    private final Histogram joins = new Histogram(120_000_000, 3);
    private final AtomicInteger restarts = new AtomicInteger();
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    Load(Operator operator, Fleet fleet, Documents documents) {
        this.operator = operator;
        this.fleet = fleet;
        this.documents = documents;
    }

    /** Puts so many configurations a second. */
    void changes(double perSecond, RandomGenerator random) {
        run("changes", () -> {
            while (!over) {
                rest(perSecond, random);
                if (!over) {
                    operator.put(documents.next());
                }
            }
        });
    }

    /** Restarts so many poolers a second, one after another. */
    void restarts(double perSecond, RandomGenerator random) {
        run("restarts", () -> {
            while (!over) {
                rest(perSecond, random);
                int pooler = random.nextInt(fleet.size());
                if (!over && take(List.of(pooler))) {
                    restart(pooler);
                }
            }
        });
    }

    private void restart(int pooler) throws IOException, InterruptedException {
        try {
            double took = fleet.herd(List.of(pooler), operator.revision(), READY_SECONDS);
            synchronized (joins) {
                joins.recordValue(Math.round(took * 1000));
            }
            restarts.incrementAndGet();
        } finally {
            give(List.of(pooler));
        }
    }

    /**
     * Restarts these at once; gives how long it took until the last was ready, in ms, or null where not all were in
     * time.
     */
    Double herd(List<Integer> poolers) throws InterruptedException {
        List<Integer> mine = poolers.stream().filter(one -> take(List.of(one))).toList();
        try {
            return fleet.herd(mine, operator.revision(), READY_SECONDS);
        } catch (IOException e) {
            // The run goes on: what else it measures is worth having, and its verdict names this.
            failures.add("herd of " + mine.size() + ": " + e.getMessage());
            return null;
        } finally {
            give(mine);
        }
    }

    private boolean take(List<Integer> poolers) {
        synchronized (busy) {
            return poolers.stream().noneMatch(busy::contains) && busy.addAll(poolers);
        }
    }

    private void give(List<Integer> poolers) {
        synchronized (busy) {
            busy.removeAll(poolers);
        }
    }

    /** A pause of half to one and a half times the mean. */
    private void rest(double perSecond, RandomGenerator random) throws InterruptedException {
        long left = (long) (1000 / perSecond * (0.5 + random.nextDouble()));
        while (left > 0 && !over) {
            long step = Math.min(left, 100);
            Thread.sleep(step);
            left -= step;
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private void run(String name, Work work) {
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

    /** How long single starts took, in microseconds. */
    Histogram joins() {
        synchronized (joins) {
            return joins.copy();
        }
    }

    int restarts() {
        return restarts.get();
    }

    /** What ended a part of the load before its time. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    @Override
    public void close() {
        over = true;
        try {
            for (Thread thread : threads) {
                thread.join(READY_SECONDS * 1000 + JOIN_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
