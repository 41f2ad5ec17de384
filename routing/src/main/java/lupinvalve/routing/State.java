package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What a {@link Router} holds between events. Nothing here decides anything; all values come from the router. */
final class State {
    private State() {}

    /** What all parts of one router share: settings, random numbers, the clock, tables, and where actions go. */
    static final class Scene {
        final RouterSettings settings;
        final SplittableRandom random;
        final Map<String, Node> nodes = new LinkedHashMap<>();
        final Map<Integer, Group> groups = new LinkedHashMap<>();
        final Map<String, Pending> requests = new HashMap<>();
        long now;
        Consumer<? super RouterAction> act;

        Scene(RouterSettings settings, long seed, long now, Consumer<? super RouterAction> act) {
            this.settings = settings;
            this.random = new SplittableRandom(seed);
            this.now = now;
            this.act = act;
        }
    }

    /**
     * A mean that forgets: evidence fades within a memory and counts at most the newest so many samples. Where little
     * was seen, it leans on what the caller gives for it.
     */
    static final class Gauge {
        private final double memoryMicros, newest, lean;
        private double sum, weight;
        private long at;

        Gauge(double memoryMicros, double newest, double lean) {
            this.memoryMicros = memoryMicros;
            this.newest = newest;
            this.lean = lean;
        }

        void add(long now, double x) {
            fade(now);
            double kept = Math.min(1, newest / (weight + 1));
            sum = sum * kept + x;
            weight = weight * kept + 1;
        }

        double mean(long now, double prior) {
            fade(now);
            return (sum + lean * prior) / (weight + lean);
        }

        private void fade(long now) {
            double kept = Math.exp((at - now) / memoryMicros);
            sum *= kept;
            weight *= kept;
            at = now;
        }
    }

    static final class Node {
        final String id;
        Group group;
        // From the list.
        int zone;
        EndpointState health = EndpointState.LIVE;
        long toldLeaving, born;
        // From answers and reports: proven position, lag, time of last news, last proof of being a replica.
        long position = Long.MIN_VALUE, lag = -1, heardAt = Long.MIN_VALUE, replicaAt = Long.MIN_VALUE;
        // Own attempts out, and how it has borne them: latency over work, latency over aim, bound.
        final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
        final Gauge slow, load;
        double limit;
        long answeredAt = Long.MIN_VALUE / 2, fullUntil = Long.MIN_VALUE;
        // Health: error share, silent time-outs, connections broken since it last answered, ejections, whether a trial
        // is due, when connections began to fail and last did.
        double errors;
        int silent, broken, strikes, probeFails, shuns;
        long shunnedUntil, ejectedUntil = Long.MIN_VALUE, brokenSince = Long.MIN_VALUE, brokenLast;
        boolean onTrial;
        // Warm-up: when it began, and what may be sent since.
        long slowStartSince = Long.MIN_VALUE;
        final Allowance allowance = new Allowance();
        boolean probing;
        // Whether a connection may be open, and when an attempt last ended on one.
        boolean connected;
        long usedAt;
        long probedAt = Long.MIN_VALUE / 2;

        Node(String id, double limit, Gauge slow, Gauge load) {
            this.id = id;
            this.limit = limit;
            this.slow = slow;
            this.load = load;
        }

        /** Whether its lag was not heard of for so long. */
        boolean noNews(long now, long micros) {
            return heardAt == Long.MIN_VALUE || now - heardAt >= micros;
        }
    }

    static final class Group {
        final List<Node> members = new ArrayList<>();
        final List<ArrayDeque<Pending>> waiting = new ArrayList<>();
        final Gauge slow, load;
        Node primary;
        long claim = Long.MIN_VALUE;
        int turn, scout, probeTurn, held;
        long scoutAt, changeProbeAt, askedAt;

        Group(Gauge slow, Gauge load, int classes, int turn) {
            this.slow = slow;
            this.load = load;
            this.turn = turn;
            probeTurn = turn;
            for (int i = 0; i < classes; i++) {
                waiting.add(new ArrayDeque<>());
            }
        }
    }

    static final class Pending {
        final RouterEvent.RequestArrived asked;
        final RequestClass kind;
        final Group group;
        final long arrived, expires;
        final double lot;
        /** Whether it is a client's repeat, by its mark or by the time that it has left. */
        final boolean repeat;

        long token = Long.MIN_VALUE;
        int attempts, errors;
        Attempt out;
        Node last, mayHaveRunAt;
        final List<Node> erredAt = new ArrayList<>(0);
        long mayHaveRunSince = Long.MAX_VALUE;
        /** Whether an attempt has reached a member. */
        boolean reached;

        boolean over;

        Pending(
                RouterEvent.RequestArrived asked,
                RequestClass kind,
                Group group,
                long now,
                boolean repeat,
                double lot) {
            this.asked = asked;
            this.kind = kind;
            this.group = group;
            this.lot = lot;
            this.repeat = repeat;
            arrived = now;
            expires = now + asked.timeLeftMicros();
        }

        String id() {
            return asked.id();
        }

        int cls() {
            return asked.classIndex();
        }

        /** From when on an answer is worth little, unless it is a repeat: that may always have been so. */
        long worthlessAt() {
            return kind.lateValueRatio() < 0.5 && !repeat ? arrived + kind.latencyObjectiveMicros() : Long.MAX_VALUE;
        }

        /** The position that a member must have reached to answer it. */
        long need(long now) {
            return kind.access() == RequestClass.Access.BOUNDED ? now - kind.maxStalenessMicros() : token;
        }

        boolean write() {
            return kind.access() == RequestClass.Access.WRITE;
        }
    }

    record Attempt(Pending of, int number, Node node, long sentAt, long overdueAt, long idle) {
        /** Takes it off its request and its db node, and notes whether it reached a db node and may have run there. */
        void ended(long now, AttemptOutcome ending) {
            of.out = null;
            of.last = node;
            node.out.remove(this);
            node.usedAt = now;
            of.reached |= ending != AttemptOutcome.NOT_CONNECTED && ending != AttemptOutcome.NOT_SENT;
            if (!ending.neverRan && sentAt < of.mayHaveRunSince) {
                of.mayHaveRunSince = sentAt;
                of.mayHaveRunAt = node;
            }
        }
    }

    /**
     * Sessions' tokens: those that requests carry, or those remembered here. The latter are bounded in number; those
     * dropped for space still bind through a floor.
     */
    static final class Tokens {
        private final int most;
        private final RouterSettings.TokenSource source;
        private final LinkedHashMap<String, Long> held = new LinkedHashMap<>();
        private long floor = Long.MIN_VALUE;

        Tokens(int most, RouterSettings.TokenSource source) {
            this.most = most;
            this.source = source;
        }

        /** The token of a request's session, or the least of all where it has none. */
        long of(RouterEvent.RequestArrived request, long now) {
            if (source == RouterSettings.TokenSource.CARRIED) {
                return request.sinceWriteMicros() > 0 ? now - request.sinceWriteMicros() : Long.MIN_VALUE;
            }
            return request.session() == null ? Long.MIN_VALUE : held.getOrDefault(request.session(), floor);
        }

        /** Remembers the position of a session's write, unless its requests carry their tokens themselves. */
        void raise(RouterEvent.RequestArrived request, long position) {
            if (source == RouterSettings.TokenSource.REMEMBERED && request.session() != null) {
                raise(request.session(), position);
            }
        }

        private void raise(String session, long position) {
            Long before = held.remove(session);
            held.put(session, before == null ? position : Math.max(before, position));
            if (held.size() > most) {
                Iterator<Long> eldest = held.values().iterator();
                floor = Math.max(floor, eldest.next());
                eldest.remove();
            }
        }
    }
}
