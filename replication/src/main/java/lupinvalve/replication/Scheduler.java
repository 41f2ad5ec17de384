package lupinvalve.replication;

import lupinvalve.core.EventLoop;

/** Where a member's work runs, one piece after another, and what time it is there. */
public interface Scheduler {
    long now();

    /** Runs work soon; from any thread. */
    void post(Runnable work);

    /** Runs work after so many microseconds; from this schedule's own work only. */
    void after(long micros, Runnable work);

    /** A thread of its own: forces of the disk would hold up the requests on the core's. */
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
