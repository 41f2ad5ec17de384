package lupinvalve.core;

import java.util.TreeSet;

/** All deadlines of the program in one ordered structure. For the core thread alone. */
public final class Deadlines {
    /** One deadline; it can be called off until it has run. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long at, order;
        private final Runnable then;

        private Deadline(long at, long order, Runnable then) {
            this.at = at;
            this.order = order;
            this.then = then;
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeSet<Deadline> ahead = new TreeSet<>();
    private long count;

    /** Runs {@code then} once the clock has reached {@code atMicros}. */
    public Deadline at(long atMicros, Runnable then) {
        Deadline deadline = new Deadline(atMicros, count++, then);
        ahead.add(deadline);
        return deadline;
    }

    /** Calls a deadline off; null and one that has run are ignored. */
    public void drop(Deadline deadline) {
        if (deadline != null) {
            ahead.remove(deadline);
        }
    }

    /** When the next is due. */
    long next() {
        return ahead.isEmpty() ? Long.MAX_VALUE : ahead.first().at;
    }

    /** Takes the next that is due, or null. */
    Runnable due(long now) {
        return !ahead.isEmpty() && ahead.first().at <= now ? ahead.pollFirst().then : null;
    }
}
