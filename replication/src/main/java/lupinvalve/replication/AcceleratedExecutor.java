package lupinvalve.replication;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * Runs the library's work on a scheduler, by an accelerated clock: the library counts heartbeats in whole seconds,
 * which would make a fail-over take three and more, so its clock and all its waits run ten times as fast. Nothing else
 * reads that clock. Safe for all threads.
 */
final class AcceleratedExecutor extends Clock implements RaftNodeExecutor {
    /** How much faster the library's clock runs. */
    static final int FACTOR = 10;

    private static final int MICROS_PER_MILLI = 1_000;
    private final Scheduler scheduler;
    private volatile boolean stopped;

    AcceleratedExecutor(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** What was submitted and has not run yet never runs. */
    void stop() {
        stopped = true;
    }

    private Runnable unlessStopped(Runnable work) {
        return () -> {
            if (!stopped) {
                work.run();
            }
        };
    }

    @Override
    public void execute(Runnable task) {
        scheduler.post(unlessStopped(task));
    }

    @Override
    public void submit(Runnable task) {
        scheduler.post(unlessStopped(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        long micros = unit.toMicros(delay) / FACTOR;
        scheduler.post(() -> scheduler.after(micros, unlessStopped(task)));
    }

    @Override
    public long millis() {
        return scheduler.now() * FACTOR / MICROS_PER_MILLI;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
