package lupinvalve.routing;

import java.util.function.Consumer;
import lupinvalve.routing.State.*;

/**
 * The decisions of one router before groups of a primary and its replicas. {@link RouterEvent}s go in,
 * {@link RouterAction}s come out.
 *
 * <p>The ordinary path is the log-position token of Anhaia's replication-lag article: a write's answered position
 * becomes its session's token, the session's reads go to replicas that have reached it, a read that finds none is held
 * and falls back to the primary. Departures are marked so; docs/design.md gives the reasons. One instance per router;
 * it has no clock, thread or I/O. Not safe for use by several threads.
 */
public final class Router {
    private static final long TICK = 10_000, IDLE_TICK = 100_000;
    /** Pace of probes in a change of primary. */
    private static final long CHANGE_PROBE_PACE = 150_000;
    /** Errors after which a request is tried no more; the least of a lot that a client's repeat draws. */
    private static final int ERRORS_MOST = 2, TOKENS = 50_000;

    private static final double REPEAT_LOT = 0.9;
    private final Scene s;
    private final Limits limits;
    private final Idle idles;
    private final Health health;
    private final Primaries primaries;
    private final Choice choice;
    private final WaitQueue waitQueue;
    private final Roster roster;
    private final Tokens tokens;
    private final Ages ages;
    private long membersAt, tickAt = Long.MAX_VALUE;

    /** Starts a router, its random choices seeded; the start's actions go to {@code actions}. */
    public Router(long seed, RouterSettings settings, long nowMicros, Consumer<? super RouterAction> actions) {
        s = new Scene(settings, seed, nowMicros, actions);
        limits = new Limits(s);
        idles = new Idle(s);
        health = new Health(s, limits, idles);
        primaries = new Primaries(s, limits, health);
        choice = new Choice(s, limits, health, primaries, idles);
        waitQueue = new WaitQueue(s, limits, choice);
        roster = new Roster(s, limits, primaries);
        ages = new Ages(settings.classes());
        tokens = new Tokens(TOKENS, settings.replication().tokens());
        tick();
    }

    /** Takes one event; what is to be done about it goes to {@code actions} before this returns. */
    public void handle(long nowMicros, RouterEvent event, Consumer<? super RouterAction> actions) {
        s.now = nowMicros;
        s.act = actions;
        if (event instanceof RouterEvent.RequestArrived request) {
            onRequest(request);
        } else if (event instanceof RouterEvent.AttemptEnded outcome) {
            onOutcome(outcome);
        } else if (event instanceof RouterEvent.TimerFired && s.now >= tickAt) {
            tick();
        } else if (event instanceof RouterEvent.HealthCheckEnded probed) {
            onProbed(probed);
        } else if (event instanceof RouterEvent.EndpointUpdate members) {
            roster.take(members);
            s.groups.values().forEach(waitQueue::dispatch);
        } else if (event instanceof RouterEvent.ClientDisconnected gone) {
            onGone(gone.id());
        }
        if (waitQueue.queued.size() > 0 && tickAt > s.now + TICK) {
            setTick(TICK);
        }
    }

    /** The position that a member has proven, or {@link LogPosition#UNKNOWN}. */
    public long position(String node) {
        return s.nodes.containsKey(node) ? s.nodes.get(node).position : LogPosition.UNKNOWN;
    }

    /** Whether a request's attempt, whose connection was long in coming up, may still go out. */
    public boolean stands(String id, long nowMicros) {
        s.now = nowMicros;
        Pending r = s.requests.get(id);
        Node n = r == null || r.out == null ? null : r.out.node();
        return n != null
                && primaries.mayRun(r, n)
                && (r.write() || n == r.group.primary || choice.fresh(n, r.need(s.now), r.attempts - 1));
    }

    public boolean isPrimary(String node) {
        return s.nodes.containsKey(node) && s.nodes.get(node).group.primary == s.nodes.get(node);
    }

    private void onProbed(RouterEvent.HealthCheckEnded p) {
        Node n = s.nodes.get(p.node());
        if (n == null) {
            return;
        }
        health.probed(n, p.outcome());
        if (p.outcome() == AttemptOutcome.SERVED) {
            primaries.learn(n, p.position(), p.role(), false);
            waitQueue.dispatch(n.group);
        }
    }

    private void onRequest(RouterEvent.RequestArrived q) {
        Group g = s.groups.get(q.group());
        RequestClass kind = s.settings.classes().get(q.classIndex());
        if (g == null) {
            s.act.accept(new RouterAction.Reject(q.id(), waitQueue.advice(kind)));
            return;
        }
        g.askedAt = s.now;
        health.earnProbes(limits.sparse && s.settings.replication().check() != RouterSettings.FreshnessCheck.SILENT);
        boolean repeat = ages.spent(q.classIndex(), q.waitMicros()) || q.repeated();
        double lot = s.random.nextDouble();
        lot = repeat ? REPEAT_LOT + (1 - REPEAT_LOT) * lot : lot;
        Pending r = new Pending(q, kind, g, s.now, repeat, lot);
        s.requests.put(r.id(), r);
        r.token = kind.access() == RequestClass.Access.STRONG
                ? s.now
                : kind.access() == RequestClass.Access.SESSION ? tokens.of(q, s.now) : Long.MIN_VALUE;
        if (r.expires - s.now <= WaitQueue.MARGIN) {
            waitQueue.giveUp(r);
        } else {
            waitQueue.placeOrHold(r);
        }
    }

    private void onGone(String id) {
        Pending r = s.requests.get(id);
        if (r == null || r.over) {
            return;
        }
        if (r.out != null && s.settings.limits().cancel()) {
            s.act.accept(new RouterAction.CancelAttempt(r.id(), r.out.number()));
        }
        waitQueue.finish(r);
    }

    private void onOutcome(RouterEvent.AttemptEnded o) {
        Pending r = s.requests.get(o.id());
        if (r == null || r.out == null || r.out.number() != o.attempt()) {
            return;
        }
        Attempt a = r.out;
        Node n = a.node();
        a.ended(s.now, o.outcome());
        health.judge(n, r, a, o);
        primaries.learn(n, o.position(), o.role(), true);
        if (o.outcome() == AttemptOutcome.SERVED && r.write()) {
            // The design's token: a session's later reads must see this write.
            tokens.raise(r.asked, o.position() == LogPosition.UNKNOWN ? s.now : o.position());
        }
        if (o.requestClosed() || r.over) {
            r.over = true;
            s.requests.remove(r.id());
        } else {
            again(r, o.outcome());
        }
        waitQueue.dispatch(r.group);
    }

    private void again(Pending r, AttemptOutcome ending) {
        boolean spent = r.attempts >= s.settings.limits().maxAttempts()
                || r.errors > ERRORS_MOST
                || s.now >= Math.min(r.expires - WaitQueue.MARGIN, r.worthlessAt());
        if (spent || !primaries.mayRun(r, r.last)) {
            waitQueue.giveUp(r);
        } else {
            waitQueue.placeOrHold(r);
        }
    }

    private void tick() {
        for (Group g : s.groups.values()) {
            // The last look at the primary comes before the end, though both may be due at one tick.
            waitQueue.dispatch(g);
            waitQueue.expire(g);
            if (!g.members.isEmpty()
                    && waitQueue.queued.anyForPrimary(g)
                    && !primaries.ready(g.primary, true)
                    && s.now >= g.changeProbeAt) {
                // One member at a time, the faster the more is held, as every router does the same.
                long pace = CHANGE_PROBE_PACE / Math.min(g.held, g.members.size());
                g.changeProbeAt = s.now + pace + s.random.nextLong(pace / 4 + 1);
                g.probeTurn = (g.probeTurn + 1) % g.members.size();
                health.probe(g.members.get(g.probeTurn));
            }
        }
        if (s.now >= membersAt) {
            membersAt = s.now + IDLE_TICK;
            idles.grow();
            roster.forget();
            for (Node n : s.nodes.values()) {
                idles.tick(n);
                health.tick(n);
            }
        }
        roster.tick();
        setTick(waitQueue.queued.size() > 0 ? TICK : IDLE_TICK);
    }

    /** Whether a member in the list is not used by choice. */
    public boolean avoids(String node) {
        Node n = s.nodes.get(node);
        return n != null && (!health.healthy(n) || health.shunned(n));
    }

    int members() {
        return s.nodes.size();
    }

    private void setTick(long delay) {
        tickAt = s.now + delay;
        s.act.accept(new RouterAction.SetTimer(delay, 0));
    }
}
