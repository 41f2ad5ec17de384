package lupinvalve.subscription;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Processes in virtual time: each with a clock that drifts, a life, and ways to the others that may be late or cut for
 * one direction.
 */
abstract class VirtualProcesses {
    private static final double RATE_MOST = 0.0024;

    private record Event(long at, long order, Process owner, int life, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A process with a clock of its own. */
    class Process {
        final String name;
        final double rate = 1 + (random.nextDouble() * 2 - 1) * RATE_MOST;
        final long offset = (long) (random.nextDouble() * 1e12);
        int life;
        boolean runs = true;
        long standsUntil;

        Process(String name) {
            this.name = name;
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        void after(long micros, Runnable run) {
            events.add(new Event(now + Math.max(0, micros), order++, this, life, run));
        }
    }

    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    /** Ways that swallow messages, as {@code from>to}. */
    final Set<String> cuts = new HashSet<>();

    long now;
    private long order;

    VirtualProcesses(long seed) {
        random = new Random(seed);
    }

    final long delay() {
        double kind = random.nextDouble();
        return 100 + (long) (random.nextDouble() * (kind < 0.9 ? 2_000 : kind < 0.99 ? 50_000 : 900_000));
    }

    /** Carries something from one process to another, unless the way is cut when it is sent or when it comes. */
    final void send(Process from, Process to, Runnable run) {
        if (cuts.contains(from.name + ">" + to.name) || random.nextDouble() < 0.001) {
            return;
        }
        events.add(new Event(now + delay(), order++, to, to.life, () -> {
            if (!cuts.contains(from.name + ">" + to.name)) {
                run.run();
            }
        }));
    }

    /** Plays until a time. */
    final void play(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            Process owner = event.owner();
            if (owner != null && (owner.life != event.life() || !owner.runs)) {
                continue;
            }
            if (owner != null && owner.standsUntil > now) {
                events.add(new Event(owner.standsUntil, order++, owner, event.life(), event.run()));
                continue;
            }
            event.run().run();
        }
        now = until;
    }

    final void at(long micros, Runnable run) {
        events.add(new Event(micros, order++, null, 0, run));
    }

    /** Swallows what goes one way, for a while. */
    final void cut(String from, String to, long forMicros) {
        String way = from + ">" + to;
        cuts.add(way);
        at(now + forMicros, () -> cuts.remove(way));
    }
}
