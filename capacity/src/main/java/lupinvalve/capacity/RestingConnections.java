package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * One pooler's connections to one db node in virtual time: requests come at random, each takes the connection used last
 * or opens one. As in {@code Pool.closeIfSurplus}, one that rested for a while stays if it is the one used last, up to
 * the longer time, and is closed else. No I/O; the same seed gives the same figures.
 */
final class RestingConnections {
    /**
     * What one pair of pooler and db node comes to.
     *
     * @param open connections in the mean, those in use among them
     * @param variance of that number
     * @param newPart part of the requests that wait for a handshake
     */
    record Outcome(double open, double variance, double newPart) {
        /** Connections at a db node of so many poolers, exceeded once in 1,000 moments. */
        double atDatabase(double poolers) {
            return poolers * open + ONCE_IN_1000 * Math.sqrt(poolers * variance);
        }
    }

    /** A connection that rests, until it is used, stays for longer or is closed. */
    private static final class Resting {
        private final double since;
        private double looked;
        private boolean stays;

        Resting(double since, double looked) {
            this.since = since;
            this.looked = looked;
        }
    }

    /**
     * For how long connections rest.
     *
     * @param last the one used last
     * @param surplus any other
     */
    record Rests(double last, double surplus) {
        /** As the program has it where poolers are many: the surplus goes after its least time. */
        static Rests of(double last) {
            return new Rests(last, Math.min(last, CodeFacts.SURPLUS_LEAST_SECONDS));
        }
    }

    private static final double ONCE_IN_1000 = 3.09;
    private final SplittableRandom random;
    private final double perSecond;
    private final double workSeconds;
    private final Rests rests;
    /** When each connection that is in use will rest. */
    private final PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    /** Those that rest; the one used last is the last. */
    private final List<Resting> resting = new ArrayList<>();

    private double now;
    private double area;
    private double squares;

    private RestingConnections(double perSecond, double workSeconds, Rests rests, long seed) {
        this.perSecond = perSecond;
        this.workSeconds = workSeconds;
        this.rests = rests;
        random = new SplittableRandom(seed);
    }

    /** Plays so many requests. */
    static Outcome play(double perSecond, double workSeconds, Rests rests, int requests, long seed) {
        return new RestingConnections(perSecond, workSeconds, rests, seed).play(requests);
    }

    private Outcome play(int requests) {
        int opened = 0;
        for (int i = 0; i < requests; i++) {
            advance(now + drawn(1 / perSecond));
            if (resting.isEmpty()) {
                opened++;
            } else {
                resting.remove(resting.size() - 1);
            }
            busyUntil.add(now + drawn(workSeconds));
        }
        double mean = area / now;
        return new Outcome(mean, squares / now - mean * mean, (double) opened / requests);
    }

    private double drawn(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void advance(double to) {
        while (true) {
            double done = busyUntil.isEmpty() ? Double.MAX_VALUE : busyUntil.peek();
            Resting due = due();
            double looked = due == null ? Double.MAX_VALUE : due.looked;
            if (Math.min(done, looked) > to) {
                pass(to);
                return;
            }
            pass(Math.min(done, looked));
            if (done <= looked) {
                resting.add(new Resting(busyUntil.poll(), now + rests.surplus()));
            } else {
                settle(due);
            }
        }
    }

    /** The one to be looked at next, or null. */
    private Resting due() {
        Resting first = null;
        for (Resting one : resting) {
            first = first == null || one.looked < first.looked ? one : first;
        }
        return first;
    }

    private void settle(Resting one) {
        boolean last = resting.get(resting.size() - 1) == one;
        if (last && !one.stays && rests.last() > rests.surplus()) {
            one.stays = true;
            one.looked = one.since + rests.last();
        } else {
            resting.remove(one);
        }
    }

    private void pass(double to) {
        double open = busyUntil.size() + resting.size();
        area += open * (to - now);
        squares += open * open * (to - now);
        now = to;
    }
}
