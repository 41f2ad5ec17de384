package lupinvalve.core;

import java.util.TreeSet;

/** All timers of a thread in one ordered structure. For that thread alone. */
public final class TimerQueue {
    /** A task that is due at a time; it can be cancelled until it has run. */
    public static final class Timer implements Comparable<Timer> {
        private final long atMicros;
        private final long order;
        private final Runnable task;

        private Timer(long atMicros, long order, Runnable task) {
            this.atMicros = atMicros;
            this.order = order;
            this.task = task;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeSet<Timer> pending = new TreeSet<>();
    private long created;

    /** Runs {@code task} once the clock has reached {@code atMicros}. */
    public Timer schedule(long atMicros, Runnable task) {
        Timer timer = new Timer(atMicros, created++, task);
        pending.add(timer);
        return timer;
    }

    /** Cancels a timer; null and one that has run are ignored. */
    public void cancel(Timer timer) {
        if (timer != null) {
            pending.remove(timer);
        }
    }

    /** When the next is due, or {@code Long.MAX_VALUE}. */
    long nextAtMicros() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().atMicros;
    }

    /** Takes the task of the next timer that is due, or null. */
    Runnable pollDue(long nowMicros) {
        return !pending.isEmpty() && pending.first().atMicros <= nowMicros ? pending.pollFirst().task : null;
    }
}
