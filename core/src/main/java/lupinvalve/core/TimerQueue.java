package lupinvalve.core;

import java.util.TreeSet;

/** The timers of one thread, ordered by due time. Not thread-safe. */
public final class TimerQueue {
    /** A task scheduled for a time; it can be cancelled until it has run. */
    public static final class Timer implements Comparable<Timer> {
        private final long atMicros;
        private final long sequence;
        private final Runnable task;

        private Timer(long atMicros, long sequence, Runnable task) {
            this.atMicros = atMicros;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final TreeSet<Timer> pending = new TreeSet<>();
    private long scheduledCount;

    /** Schedules a task for the time {@code atMicros} of the caller's clock. */
    public Timer schedule(long atMicros, Runnable task) {
        Timer timer = new Timer(atMicros, scheduledCount++, task);
        pending.add(timer);
        return timer;
    }

    /** Cancels a timer; no effect on null or on a timer that has run. */
    public void cancel(Timer timer) {
        if (timer != null) {
            pending.remove(timer);
        }
    }

    /** When the next timer is due, or {@code Long.MAX_VALUE} if there is none. */
    long nextAtMicros() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().atMicros;
    }

    /** Removes the next timer that is due and returns its task, or returns null if none is due. */
    Runnable pollDue(long nowMicros) {
        return !pending.isEmpty() && pending.first().atMicros <= nowMicros ? pending.pollFirst().task : null;
    }
}
