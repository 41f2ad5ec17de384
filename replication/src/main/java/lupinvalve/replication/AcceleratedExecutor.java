package lupinvalve.replication;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * Runs MicroRaft's tasks on a {@link Scheduler} with an accelerated clock. MicroRaft counts heartbeats in whole
 * seconds, with which a failover would take three seconds or more; so its clock and all its delays run {@link #FACTOR}
 * times as fast. Nothing else reads that clock. Thread-safe.
 */
final class AcceleratedExecutor extends Clock implements RaftNodeExecutor {
    /** Ratio of MicroRaft's time to real time. */
    static final int FACTOR = 10;

    private static final int MICROS_PER_MILLI = 1_000;
    private final Scheduler scheduler;
    private volatile boolean stopped;

    AcceleratedExecutor(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Drops all tasks that have not run yet, and all later ones. */
    void stop() {
        stopped = true;
    }

    private Runnable unlessStopped(Runnable task) {
        return () -> {
            if (!stopped) {
                task.run();
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
        long delayMicros = unit.toMicros(delay) / FACTOR;
        scheduler.post(() -> scheduler.after(delayMicros, unlessStopped(task)));
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
