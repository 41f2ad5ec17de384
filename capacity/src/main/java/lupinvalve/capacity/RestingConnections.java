package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates one pooler's connections to one db node in virtual time. Requests arrive at random; each takes the
 * connection used last or opens one. As in {@code Pool.closeIfSurplus}, a connection that has been idle for the surplus
 * time is kept up to the longer time if it is the one used last, and closed otherwise. Without I/O; the same seed gives
 * the same result.
 */
final class RestingConnections {
    /**
     * Result for one pair of a pooler and a db node.
     *
     * @param open mean number of open connections, including those in use
     * @param variance of the number of open connections
     * @param handshakeRatio ratio of requests that wait for a handshake
     */
    record Outcome(double open, double variance, double handshakeRatio) {
        /** Returns the number of connections at a db node with this many poolers that is exceeded 0.1 % of the time. */
        double exceededOnceIn1000(double poolers) {
            return poolers * open + SIGMAS_ONCE_IN_1000 * Math.sqrt(poolers * variance);
        }
    }

    /** An idle connection; times are in seconds of virtual time. */
    private static final class IdleConnection {
        private final double idleSince;
        private double checkAt;
        private boolean kept;

        IdleConnection(double idleSince, double checkAt) {
            this.idleSince = idleSince;
            this.checkAt = checkAt;
        }
    }

    /**
     * Idle times, in seconds, after which connections are closed.
     *
     * @param last for the connection used last
     * @param surplus for any other connection
     */
    record IdleTimes(double last, double surplus) {
        /**
         * Returns the pool's idle times with many poolers, where surplus connections are closed after the minimum time.
         */
        static IdleTimes of(double last) {
            return new IdleTimes(last, Math.min(last, CodeFacts.MIN_SURPLUS_IDLE_SECONDS));
        }
    }

    private static final double SIGMAS_ONCE_IN_1000 = 3.09;
    private final SplittableRandom random;
    private final double perSecond;
    private final double workSeconds;
    private final IdleTimes idleTimes;
    /** Time at which each connection in use becomes idle. */
    private final PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    /** Idle connections; the one used last is at the end. */
    private final List<IdleConnection> idle = new ArrayList<>();

    private double now;
    private double openSeconds;
    private double openSquaredSeconds;

    private RestingConnections(double perSecond, double workSeconds, IdleTimes idleTimes, long seed) {
        this.perSecond = perSecond;
        this.workSeconds = workSeconds;
        this.idleTimes = idleTimes;
        random = new SplittableRandom(seed);
    }

    /** Simulates a number of requests. */
    static Outcome simulate(double perSecond, double workSeconds, IdleTimes idleTimes, int requests, long seed) {
        return new RestingConnections(perSecond, workSeconds, idleTimes, seed).simulate(requests);
    }

    private Outcome simulate(int requests) {
        int opened = 0;
        for (int i = 0; i < requests; i++) {
            advance(now + drawExponential(1 / perSecond));
            if (idle.isEmpty()) {
                opened++;
            } else {
                idle.remove(idle.size() - 1);
            }
            busyUntil.add(now + drawExponential(workSeconds));
        }
        double mean = openSeconds / now;
        return new Outcome(mean, openSquaredSeconds / now - mean * mean, (double) opened / requests);
    }

    private double drawExponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void advance(double to) {
        while (true) {
            double done = busyUntil.isEmpty() ? Double.MAX_VALUE : busyUntil.peek();
            IdleConnection due = nextCheck();
            double checkAt = due == null ? Double.MAX_VALUE : due.checkAt;
            if (Math.min(done, checkAt) > to) {
                advanceClock(to);
                return;
            }
            advanceClock(Math.min(done, checkAt));
            if (done <= checkAt) {
                idle.add(new IdleConnection(busyUntil.poll(), now + idleTimes.surplus()));
            } else {
                expire(due);
            }
        }
    }

    /** Returns the idle connection with the earliest check, or null. */
    private IdleConnection nextCheck() {
        IdleConnection first = null;
        for (IdleConnection connection : idle) {
            first = first == null || connection.checkAt < first.checkAt ? connection : first;
        }
        return first;
    }

    private void expire(IdleConnection connection) {
        boolean last = idle.get(idle.size() - 1) == connection;
        if (last && !connection.kept && idleTimes.last() > idleTimes.surplus()) {
            connection.kept = true;
            connection.checkAt = connection.idleSince + idleTimes.last();
        } else {
            idle.remove(connection);
        }
    }

    private void advanceClock(double to) {
        double open = busyUntil.size() + idle.size();
        openSeconds += open * (to - now);
        openSquaredSeconds += open * open * (to - now);
        now = to;
    }
}
