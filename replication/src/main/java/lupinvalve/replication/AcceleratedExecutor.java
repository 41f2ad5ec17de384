package lupinvalve.replication;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * The library's work on a schedule, at a pace of its own: it counts heartbeats in whole seconds, which would make a
 * fail-over take three and more, so its clock and all its waits run ten times as fast. Nothing else looks at that
 * clock.
 */
final class AcceleratedExecutor extends Clock implements RaftNodeExecutor {
    static final int FACTOR = 10;
    private final Scheduler schedule;
    private volatile boolean stopped;

    AcceleratedExecutor(Scheduler schedule) {
        this.schedule = schedule;
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
        schedule.post(unlessStopped(task));
    }

    @Override
    public void submit(Runnable task) {
        schedule.post(unlessStopped(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        long micros = unit.toMicros(delay) / FACTOR;
        schedule.post(() -> schedule.after(micros, unlessStopped(task)));
    }

    @Override
    public long millis() {
        return schedule.now() * FACTOR / 1000;
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
