package lupinvalve.routing;

import lupinvalve.routing.State.*;

/** Which db node a request goes to: reads to replicas that are fresh enough, else to the primary. */
final class Choice {
    /** The article's wait for a replica before the primary is asked; aims are often shorter: part of one. */
    private static final long HOLD = 2_000_000;

    private static final double HOLD_OF_AIM = 0.2;
    private static final long TICK = 10_000, MISS_STEP = 2_000, READ_PROBE_PACE = 60_000;
    /** An attempt is overdue after so many times what is expected, called off after so many times that. */
    private static final double OVERDUE = 4, PATIENCE = 4;

    private static final long OVERDUE_LEAST = 100_000;
    /** What a member costs that has erred at this request, and a cold one drawn; what part counts as less. */
    private static final double ERRED = 50, DRAWN = 0.01, LESS = 0.85;
    /** Share of the primary's bound that reads may fill; the rest is for writes. */
    private static final double READS_ON_PRIMARY = 0.6;
    /** Latency over aim at replicas from which reads may spill to a primary that has this many times less. */
    private static final double SPILL_FROM = 0.25, SPILL = 2;
    /**
     * What a member in another zone costs at least against one in the own, and what the price of a crossing adds: one
     * more request ahead costs about 0.013 of a worth, as answers come late.
     */
    private static final double FAR = 1.3, FAR_PRICE = 75;
    /** What a member kept for long reads costs for fresh ones; reads of any age rather go there. */
    private static final double KEPT_FOR_LONG = 3;

    private final Scene s;
    private final Limits limits;
    private final Health health;
    private final Primaries primaries;
    private final Idle idles;
    private final boolean guarded;
    private final double far;

    Choice(Scene scene, Limits limits, Health health, Primaries primaries, Idle idles) {
        s = scene;
        this.limits = limits;
        this.health = health;
        this.primaries = primaries;
        this.idles = idles;
        guarded = s.settings.replication().check() != RouterSettings.FreshnessCheck.SILENT;
        far = Math.max(FAR, 1 + FAR_PRICE * s.settings.crossZonePrice());
    }

    /**
     * Whether a replica may be sent a read that needs a position: at a proven one; where members guard it themselves,
     * also by the lag last seen, the less after each miss, or tries are spent within a moment.
     */
    boolean fresh(Node n, long need, int misses) {
        long ahead = s.settings.replication().waitMicros() / 2 - misses * MISS_STEP;
        return n.position >= need || guarded && (n.lag < 0 || s.now - n.lag + ahead >= need);
    }

    Node forRead(Pending r) {
        Group g = r.group;
        long need = r.need(s.now);
        Node best = null;
        double least = Double.MAX_VALUE;
        boolean full = false, anyAge = r.kind.access() == RequestClass.Access.ANY;
        long soonest = Long.MAX_VALUE;
        int size = g.members.size();
        Node kept = keptForLong(g, null);
        for (int i = 0; i < size; i++) {
            Node n = g.members.get((g.turn + i) % size);
            if (n == g.primary || !primaries.ready(n, false)) {
                continue;
            }
            if (!fresh(n, need, r.attempts)) {
                // Where nothing is guarded only news helps: from answers just had, or from probes.
                boolean silent = n.probeFails > 0 && n.noNews(s.now, Health.NEWS_PACE);
                soonest =
                        Math.min(soonest, guarded ? Math.max(0, need - (s.now - n.lag)) : silent ? Long.MAX_VALUE : 0);
                continue;
            }
            if (!limits.room(n, r, 1)) {
                full = true;
                continue;
            }
            double cost = (n.out.size() + 1)
                    * limits.load.slow(n)
                    * (n.zone == s.settings.zone() ? 1 : far)
                    * (n != kept ? 1 : anyAge ? 1 / KEPT_FOR_LONG : KEPT_FOR_LONG)
                    * (n == r.last ? 4 : 1)
                    * (r.erredAt.contains(n) ? ERRED : limits.drawn(n) ? DRAWN : 1);
            if (cost < least * (limits.sparse ? LESS : 1)) {
                least = cost;
                best = n;
            }
        }
        Node p = g.primary;
        if (best != null) {
            // Guards a crowded group whose primary idles: groups draw unequal shares of reads and writes.
            boolean spills = guarded
                    && primaries.ready(p, false)
                    && !r.erredAt.contains(p)
                    && limits.load.pressure(best) > Math.max(SPILL_FROM, SPILL * limits.load.pressure(p))
                    && limits.room(p, r, READS_ON_PRIMARY);
            limits.shed = false;
            g.turn = g.members.indexOf(best) + 1;
            return spills ? p : best;
        }
        boolean strong = r.kind.access() == RequestClass.Access.STRONG;
        long holdUntil = r.arrived + (long) Math.min(HOLD, HOLD_OF_AIM * r.kind.latencyObjectiveMicros());
        boolean hopeless = soonest > holdUntil - s.now;
        if (!primaries.ready(p, false) || !full && !strong && !hopeless && s.now < holdUntil) {
            if (health.probeBudget >= 1) {
                probeForReads(g);
            }
            return null;
        }
        return limits.room(p, r, strong ? 1 : READS_ON_PRIMARY) ? p : null;
    }

    /** Blocking work stops apply where it runs, so all routers put it on the same replicas, by sorted id. */
    Node keptForLong(Group g, Pending r) {
        for (Node n : g.members) {
            if (limits.anyLong
                    && n != g.primary
                    && primaries.ready(n, false)
                    && !limits.inSlowStart(n)
                    && (r == null || n != r.last)) {
                return r == null || limits.room(n, r, 1) ? n : null;
            }
        }
        return null;
    }

    /** Held reads share their probes: one replica at a time, in turn, so that they cost little. */
    void probeForReads(Group g) {
        for (int i = 0; i < g.members.size(); i++) {
            Node n = g.members.get((g.probeTurn + i) % g.members.size());
            if (n != g.primary
                    && primaries.ready(n, false)
                    && s.now - n.probedAt >= READ_PROBE_PACE
                    && n.noNews(s.now, READ_PROBE_PACE / 2)) {
                health.probe(n);
                health.probeBudget--;
                g.probeTurn = (g.probeTurn + i + 1) % g.members.size();
                return;
            }
        }
    }

    boolean place(Pending r) {
        limits.shed = false;
        if (r.attempts >= s.settings.limits().maxAttempts()) {
            return false;
        }
        boolean longRead = limits.longWork[r.cls()];
        Node n = r.write() ? primaries.forWrite(r) : longRead ? keptForLong(r.group, r) : forRead(r);
        Node p = r.group.primary;
        if (n == null
                && longRead
                && s.now > r.arrived + HOLD_OF_AIM * r.kind.latencyObjectiveMicros()
                && primaries.ready(p, false)
                && limits.room(p, r, READS_ON_PRIMARY)) {
            n = p;
        }
        if (n != null) {
            send(r, n);
        }
        return n != null;
    }

    void send(Pending r, Node n) {
        double overdue = Math.max(OVERDUE_LEAST, OVERDUE * limits.load.slow(n) * limits.load.work(r));
        if (guarded && !r.write()) {
            overdue += s.settings.replication().waitMicros();
        }
        // Guards against idle connections that were dropped unseen, and tables kept full by idle ones.
        long idle = n.connected && n.out.isEmpty() ? s.now - n.usedAt : 0;
        if (idle > idles.keep() * (r.kind.effect() == RequestClass.Effect.UNSAFE ? 0.5 : 1)) {
            idles.close(n);
            idle = 0;
        }
        long left = r.expires - s.now, timeout = left;
        double patience = overdue * (idles.doubts(idle) ? 1 : PATIENCE);
        if (r.kind.effect() != RequestClass.Effect.UNSAFE && left - patience > limits.load.work(r)) {
            timeout = (long) patience;
        }
        // Guards against overload: members drop what still waits when nobody wants it any more, and say so;
        // giving it up here would close its connection.
        long wanted = Math.min(timeout, Math.max(TICK, r.worthlessAt() - s.now));
        n.connected = true;
        Attempt a = new Attempt(r, r.attempts++, n, s.now, s.now + (long) overdue, idle);
        r.out = a;
        n.out.add(a);
        n.allowance.spend(limits.sparse ? 0 : 1);
        s.act.accept(new RouterAction.StartAttempt(r.id(), n.id, timeout, wanted));
    }
}
