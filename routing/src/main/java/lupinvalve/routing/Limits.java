package lupinvalve.routing;

import lupinvalve.routing.State.*;

/** How much a db node is given: bounds that follow its latency, cold starts, and what is refused by lot. */
final class Limits {
    /** Part of what a cold member bears that it is given, most saved for it, tries where none is warm. */
    private static final double COLD_PART = 0.75, COLD_BURST = 3, COLD_ALONE = 10;
    /**
     * Start and least bound on all routers' attempts out at a member, greatest on own. Then the part of its aim that an
     * answer may take in the mean: works vary about as their mean, so of a quarter e^-4 are late.
     */
    private static final double LIMIT_START = 16, LIMIT_LEAST = 6, LIMIT_MOST = 400, LIMIT_TELLS = 2;

    private static final double PRESSURE = 0.25, PRESSURE_SHED = 0.42, PRESSURE_FULL = 1.5, WRITE_EASE = 2;
    /** How long evidence of load counts, in microseconds, and how many answers outweigh what is pooled. */
    private static final double MEMORY = 3e6, LEAN = 2, NEWEST = 12, LOT_STEEP = 3;
    /** Latency over work of a member not yet known; a class is long with so many times the shortest aim. */
    private static final double ORDINARY = 2, LONG = 4;

    private final Scene s;
    /** What answers told of load. */
    final LoadStatistics load;

    private final double leastLimit;
    final double startLimit;
    final boolean[] longWork;
    /** Whether there are long reads; whether all that each router may send is too little to tell load by. */
    boolean anyLong, sparse;
    /** Whether the last look for room was refused by lot. */
    boolean shed;

    Limits(Scene scene) {
        s = scene;
        startLimit = Math.max(1, LIMIT_START / s.settings.instanceCount());
        leastLimit = Math.max(1, LIMIT_LEAST / s.settings.instanceCount());
        sparse = leastLimit < LIMIT_TELLS;
        load = new LoadStatistics(s, PRESSURE / 2, ORDINARY);
        int count = s.settings.classes().size();
        longWork = new boolean[count];
        long shortest = s.settings.classes().stream()
                .mapToLong(c -> c.latencyObjectiveMicros())
                .min()
                .orElse(0);
        for (int i = 0; i < count; i++) {
            RequestClass c = s.settings.classes().get(i);
            longWork[i] = c.access() == RequestClass.Access.ANY && c.latencyObjectiveMicros() >= LONG * shortest;
            anyLong |= longWork[i];
        }
    }

    static Gauge gauge() {
        return new Gauge(MEMORY, NEWEST, LEAN);
    }

    /** A full member: it turned a request back. */
    void turnedBack(Node n) {
        n.limit = Math.max(leastLimit, n.limit * 0.8);
        load.press(n, PRESSURE_FULL);
    }

    boolean inSlowStart(Node n) {
        long warmUp = s.settings.rules().warmUpMicros();
        return n.slowStartSince != Long.MIN_VALUE && s.now - n.slowStartSince < warmUp;
    }

    /**
     * A cold member earns requests only as warm ones serve them, in proportion to its warmth at that moment, so all
     * routers together keep it under what it can do however unevenly they are loaded. Served requests count: not sent
     * ones, as repeats prove nothing, nor latencies, as queues swell them. What many routers saved must not go out at
     * once: each request uses up some, an equal share of reads at most, and goes to it once these add up to one. Warmth
     * is that at the start of the time in which overload is counted.
     */
    boolean slowStartRoom(Node n, Pending r) {
        if (!inSlowStart(n) || longWork[r.cls()]) {
            return !inSlowStart(n);
        }
        long warm = s.nodes.values().stream()
                .filter(m -> m.health == EndpointState.LIVE && m.strikes == 0 && !inSlowStart(m))
                .count();
        double luck = r.lot * 1e4 + n.id.hashCode() * 0.618;
        luck -= Math.floor(luck);
        if (warm == 0) {
            return n.out.size() < (r.write() ? 3 : 1) && luck < COLD_ALONE / s.settings.instanceCount();
        }
        RouterSettings.Rules rules = s.settings.rules();
        long age = s.now - n.slowStartSince - (sparse ? rules.overloadMicros() : 0);
        double gets = Allowance.warmth(rules, age) * rules.overloadMultiple() * COLD_PART;
        int alike = r.write() ? 1 : Math.max(1, n.group.members.size() - 1);
        double share = Math.min(1, gets) / alike;
        n.allowance.earn(load.warmServed(), gets / warm, sparse ? COLD_BURST * share : COLD_BURST);
        return sparse ? n.allowance.draw(share) : n.allowance.whole();
    }

    boolean drawn(Node n) {
        return sparse && inSlowStart(n);
    }

    boolean room(Node n, Pending r, double share) {
        if (s.now < n.fullUntil || busy(n) >= Math.max(1, n.limit * share)) {
            return false;
        }
        // Guards against many routers that each send little: what their attempts met decides by lot which
        // requests are refused at once, the more the further latencies exceed the aim's part, repeats first.
        double target = PRESSURE_SHED * (r.write() ? WRITE_EASE : share);
        double open = Math.min(1, target / load.pressure(n));
        if (sparse && r.lot >= Math.pow(open, LOT_STEEP)) {
            shed |= !inSlowStart(n);
            return false;
        }
        return slowStartRoom(n, r);
    }

    /** Attempts that a member may be at work on: long overdue ones, with others answered since, are lost. */
    int busy(Node n) {
        int lost = 0;
        for (Attempt a : n.out) {
            if (s.now <= 2 * a.overdueAt() - a.sentAt() || n.answeredAt <= a.overdueAt()) {
                break;
            }
            lost++;
        }
        return n.out.size() - lost;
    }

    void adapt(Node n, Pending r, long elapsed) {
        load.served(n, r, elapsed, !inSlowStart(n) && !longWork[r.cls()]);
        bound(n);
    }

    /** Latency grows with what is out: the bound follows their ratio within one turn of its attempts. */
    void bound(Node n) {
        double p = load.pressure(n);
        if (p > PRESSURE) {
            n.limit = Math.max(leastLimit, n.limit * Math.pow(PRESSURE / p, 1 / Math.max(NEWEST, n.limit)));
        } else if (n.out.size() + 1 > n.limit * 0.6) {
            n.limit = Math.min(LIMIT_MOST, n.limit + 0.5);
        }
    }

    void chill(Node n, long since) {
        n.slowStartSince = Math.max(n.slowStartSince, since);
        double part = s.random.nextDouble();
        n.allowance.restart(load.warmServed(), sparse ? 0 : part, part);
        n.limit = Math.min(n.limit, startLimit);
    }
}
