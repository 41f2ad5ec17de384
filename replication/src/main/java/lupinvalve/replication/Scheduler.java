package lupinvalve.replication;

import lupinvalve.core.EventLoop;

/** Where a member's work runs, one piece after another, and what time it is there. */
public interface Scheduler {
    /** What time it is, in microseconds. */
    long now();

    /** Runs work soon; from any thread. */
    void post(Runnable work);

    /** Runs work after so many microseconds; from this scheduler's own work only. */
    void after(long micros, Runnable work);

    /** Runs work on a loop. */
    static Scheduler of(EventLoop loop) {
        return new Scheduler() {
            @Override
            public long now() {
                return loop.now();
            }

            @Override
            public void post(Runnable work) {
                loop.post(work);
            }

            @Override
            public void after(long micros, Runnable work) {
                loop.after(micros, work);
            }
        };
    }
}
