package lupinvalve.replication;

import lupinvalve.core.EventLoop;

/** Runs a member's tasks one at a time, and provides the clock that they use. */
public interface Scheduler {
    /** The current time in microseconds. */
    long now();

    /** Schedules a task to run as soon as possible; from any thread. */
    void post(Runnable task);

    /** Schedules a task to run after a delay; only from a task of this scheduler. */
    void after(long delayMicros, Runnable task);

    /** A scheduler that runs its tasks on an event loop. */
    static Scheduler of(EventLoop loop) {
        return new Scheduler() {
            @Override
            public long now() {
                return loop.now();
            }

            @Override
            public void post(Runnable task) {
                loop.post(task);
            }

            @Override
            public void after(long delayMicros, Runnable task) {
                loop.after(delayMicros, task);
            }
        };
    }
}
