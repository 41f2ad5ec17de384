package lupinvalve;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import lupinvalve.State.Attempt;
import lupinvalve.State.Gauge;
import lupinvalve.State.Group;
import lupinvalve.State.Node;
import lupinvalve.State.Pending;
import lupinvalve.State.Tokens;

/**
 * The decisions of one router before groups of a primary and its replicas. Interface file: Routing.java.
 *
 * <p>The ordinary path is the log-position token of Anhaia's replication-lag article: a write's answered
 * position becomes its session's token, the session's reads go to replicas that have reached it, a read that
 * finds none is held and falls back to the primary. Departures are marked so below; docs/design.md gives the
 * reasons. One instance per router; it has no clock, thread or I/O. Not safe for use by several threads.
 */
public final class Router {
    /** The article's wait for a replica before the primary is asked. */
    private static final long HOLD = 2_000_000;
    /** Share of a class's aim that a held read may spend, as aims are often shorter than HOLD. */
    private static final double HOLD_OF_AIM = 0.2;
    private static final long TICK = 10_000, IDLE_TICK = 100_000, MISS_STEP = 2_000;
    /** Kept back from a deadline so that the final answer is out in time; share for what was never sent. */
    private static final long MARGIN = 15_000;
    private static final double UNTRIED = 0.49;
    /** Part of the requests clients can have open which may be held; of an aim kept for an answer at most. */
    private static final double HELD_PART = 0.3, HELD_LEAST = 0.7;
    /** Pace of shared probes for held reads, and of probes and write trials in a change of primary. */
    private static final long READ_PROBE_PACE = 60_000, CHANGE_PROBE_PACE = 150_000, SCOUT_PACE = 40_000;
    /** A replica of which nothing was heard for this long is probed, as far as the probe budget goes. */
    private static final long NEWS_PACE = 500_000;
    private static final double PROBES_PER_REQUEST = 0.4, PROBES_SPARSE = 0.03;
    /** An attempt is overdue after this many times the latency expected of its member. */
    private static final double OVERDUE = 4;
    private static final long OVERDUE_LEAST = 100_000;
    /** An attempt is called off after this many times the time in which it was due. */
    private static final double PATIENCE = 4;
    private static final long EJECT_FIRST = 200_000;
    private static final int EJECT_DOUBLINGS = 4, PROBES_PER_TRIAL = 2, TOKENS = 50_000;
    /** How long a member that is gone is remembered, should the list name it again or a probe still end. */
    private static final long GONE_KEPT = 5_000_000;
    private static final long ASK_FIRST = 250_000, FULL_PAUSE = 40_000;
    /** Part of the multiple a cold member may bear that it is given, and the requests it may save up for. */
    private static final double COLD_PART = 0.75, COLD_BURST = 3, COLD_START = 4;
    private static final long RESTART_LEAST = 1_000_000;
    private static final double ERROR_SHARE = 0.25, ERROR_WEIGHT = 0.5;
    /** What a member costs that has answered this request with an error, against one that has not. */
    private static final double ERRED = 50;
    /** Part of its aim after which a read that was refused should come back. */
    private static final double ADVICE = 0.18;
    /** Errors after which a request is tried no more. */
    private static final int ERRORS_READ = 2, ERRORS_WRITE = 2;
    /**
     * Start and least bound on all routers' attempts out at a member, greatest on own. Then the part of its
     * aim that an answer may take in the mean: works vary about as their mean, so of a quarter e^-4 are late.
     */
    private static final double LIMIT_START = 16, LIMIT_LEAST = 6, LIMIT_MOST = 400, LIMIT_TELLS = 2;
    private static final double PRESSURE = 0.25, PRESSURE_SHED = 0.42, PRESSURE_FULL = 1.5, WRITE_EASE = 2;
    /** How long evidence of load counts, in microseconds, and how many answers outweigh what is pooled. */
    private static final double MEMORY = 3e6, LEAN = 2, NEWEST = 12, LOT_STEEP = 3, REPEAT_LOT = 0.9;
    /** Share of the primary's bound that reads may fill; the rest is for writes. */
    private static final double READS_ON_PRIMARY = 0.6;
    /** Latency over aim at replicas from which reads may spill to a primary that has this many times less. */
    private static final double SPILL_FROM = 0.25, SPILL = 2;
    /** What a member in another zone costs against one in the own zone. */
    private static final double FAR = 1.3;
    /** Latency over work of a member not yet known. */
    private static final double ORDINARY = 2;
    /** What a member kept for long reads costs for fresh ones; reads of any age rather go there. */
    private static final double KEPT_FOR_LONG = 3;
    /** A class is long where its aim is this many times the shortest. */
    private static final double LONG = 4;
    /** Bounds on how long an idle connection is kept, its cut for a loss, and its growth a tick. */
    private static final double IDLE_LEAST = 250_000, IDLE_MOST = 60e6, IDLE_CUT = 0.7, IDLE_GROW = 1.003;

    private final Routing.Settings settings;
    private final SplittableRandom random;
    private final boolean guarded, sparse;
    private final double startLimit, leastLimit;
    private final List<Integer> order = new ArrayList<>();
    private final double[] work;
    private final boolean[] longWork;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<String, Pending> requests = new HashMap<>();
    private final Tokens tokens = new Tokens(TOKENS);
    private final Ages ages;
    private final Gauge replicaLoad = gauge(), primaryLoad = gauge();
    private double warmServed, probeBudget = 4, idleKeep = IDLE_MOST;
    private int waitingCount, askFailures;
    private boolean anyLong, subscribed, shed;
    private long now, askAt, membersAt, tickAt = Long.MAX_VALUE;
    private Consumer<? super Routing.Action> act;

    /**
     * Starts a router.
     *
     * @param seed seeds all its random choices
     * @param nowMicros the clock
     * @param actions takes the actions of the start
     */
    public Router(long seed, Routing.Settings settings, long nowMicros,
            Consumer<? super Routing.Action> actions) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        guarded = settings.replication().check() != Routing.FreshnessCheck.SILENT;
        startLimit = Math.max(1, LIMIT_START / settings.routers());
        leastLimit = Math.max(1, LIMIT_LEAST / settings.routers());
        sparse = leastLimit < LIMIT_TELLS;
        ages = new Ages(settings.classes());
        int count = settings.classes().size();
        work = new double[count];
        longWork = new boolean[count];
        long shortest = settings.classes().stream().mapToLong(c -> c.aimMicros()).min().orElse(0);
        for (int i = 0; i < count; i++) {
            Routing.RequestClass c = settings.classes().get(i);
            order.add(i);
            work[i] = c.aimMicros() / 8.0;
            longWork[i] = c.access() == Routing.Access.ANY && c.aimMicros() >= LONG * shortest;
            anyLong |= longWork[i];
        }
        // Writes come first, then by worth for the time a class is given.
        List<Routing.RequestClass> kinds = settings.classes();
        order.sort(Comparator.comparing((Integer i) -> kinds.get(i).access() != Routing.Access.WRITE)
                .thenComparing(i -> -kinds.get(i).worth() / kinds.get(i).aimMicros()));
        now = nowMicros;
        act = actions;
        if (settings.mustSubscribe()) {
            subscribe();
        }
        tick();
    }

    private static Gauge gauge() {
        return new Gauge(MEMORY, NEWEST, LEAN);
    }

    /** Takes one event; what is to be done about it goes to {@code actions} before this returns. */
    public void handle(long nowMicros, Routing.Event event, Consumer<? super Routing.Action> actions) {
        now = nowMicros;
        act = actions;
        if (event instanceof Routing.Request request) {
            onRequest(request);
        } else if (event instanceof Routing.Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof Routing.TimerFired && now >= tickAt) {
            tick();
        } else if (event instanceof Routing.Probed probed) {
            onProbed(probed);
        } else if (event instanceof Routing.Members members) {
            onMembers(members);
        } else if (event instanceof Routing.ClientGone gone) {
            onGone(gone.id());
        }
        if (waitingCount > 0 && tickAt > now + TICK) {
            setTick(TICK);
        }
    }

    // ---- the list ----

    private void subscribe() {
        act.accept(new Routing.Subscribe(true));
        askAt = now + Math.max(1_000_000, settings.rules().askWithinMicros() / 2);
    }

    private void onMembers(Routing.Members news) {
        if (news.form() == Routing.ListForm.UNAVAILABLE) {
            subscribed = false;
            long most = settings.rules().askWithinMicros() / 4 + 1;
            long pause = Math.min(ASK_FIRST << Math.min(askFailures++, EJECT_DOUBLINGS), most);
            askAt = now + pause / 2 + random.nextLong(pause / 2 + 1);
            return;
        }
        if (news.form() != Routing.ListForm.RESTORED) {
            subscribed = true;
            askFailures = 0;
        }
        boolean whole = news.form() != Routing.ListForm.UPDATE;
        List<Node> unnamed = whole ? new ArrayList<>(nodes.values()) : new ArrayList<>();
        for (Routing.Member m : news.members()) {
            if (m.health() == Routing.Health.GONE && !nodes.containsKey(m.node())) {
                continue;
            }
            Node n = nodes.computeIfAbsent(m.node(), id -> new Node(id, startLimit, gauge(), gauge()));
            if (n.group == null) {
                adopt(n, m);
            }
            unnamed.remove(n);
            n.zone = m.zone();
            setHealth(n, m.health());
            restarted(n, m.bornMicros());
            if (m.listedPrimary() && n.group.primary == null && n.replicaAt == Long.MIN_VALUE
                    && m.health() == Routing.Health.LIVE) {
                n.group.primary = n;
            }
        }
        unnamed.forEach(n -> setHealth(n, Routing.Health.GONE));
        groups.values().forEach(this::dispatch);
    }

    private void adopt(Node n, Routing.Member m) {
        int classes = settings.classes().size();
        Group g = groups.computeIfAbsent(m.group(),
                id -> new Group(gauge(), gauge(), classes, random.nextInt(1 << 16)));
        n.group = g;
        g.members.add(n);
        g.members.sort(Comparator.comparing(x -> x.id));
    }

    private void setHealth(Node n, Routing.Health health) {
        if (health != Routing.Health.LIVE && n.health == Routing.Health.LIVE) {
            n.toldLeaving = now;
        }
        n.health = health;
        if (health == Routing.Health.GONE && n.group.primary == n) {
            lose(n.group);
        }
    }

    /** A later start means a cold process that has lost whatever role it had. */
    private void restarted(Node n, long born) {
        if (born <= n.born) {
            return;
        }
        n.born = born;
        chill(n, born);
        if (n.group.primary == n && n.group.claim < born) {
            lose(n.group);
        }
    }

    /** Leaving members take nothing new; a draining primary takes writes until its successor shows. */
    private boolean listed(Node n, boolean write) {
        return n.health == Routing.Health.LIVE || n.health == Routing.Health.DRAINING && write
                && now < n.toldLeaving + settings.rules().drainGraceMicros() * 3 / 4;
    }

    /** The position that a member has proven, or {@link Routing#NO_POSITION}. */
    public long position(String node) {
        return nodes.containsKey(node) ? nodes.get(node).position : Routing.NO_POSITION;
    }

    public boolean isPrimary(String node) {
        return nodes.containsKey(node) && nodes.get(node).group.primary == nodes.get(node);
    }

    // ---- what members tell of themselves ----

    /** Positions never go back: the greatest one told stays proven. */
    private void learn(Node n, long position, Routing.Role role, boolean answer) {
        Group g = n.group;
        if (position != Routing.NO_POSITION) {
            if (position > n.position) {
                n.position = position;
            }
            if (answer || n.lag < 0 || position >= n.position) {
                n.lag = Math.max(0, now - n.position);
                n.heardAt = now;
            }
        }
        if (role == Routing.Role.REPLICA && answer) {
            n.replicaAt = now;
            if (g.primary == n) {
                lose(g);
            }
        } else if (role == Routing.Role.REPLICA) {
            if (g.primary == n && position > g.claim && g.claim != Long.MIN_VALUE) {
                n.replicaAt = Math.max(n.replicaAt, position);
                lose(g);
            }
        } else if (role == Routing.Role.PRIMARY) {
            // A primary stands at the present, so its position dates the claim however late a report comes.
            long at = position == Routing.NO_POSITION ? now : position;
            if (at > g.claim && at > n.replicaAt) {
                g.claim = at;
                g.primary = n;
            }
        }
    }

    private void lose(Group g) {
        g.primary = null;
        g.changeProbeAt = now;
        g.scoutAt = now;
    }

    private void probe(Node n) {
        long pause = n.probeFails == 0 ? 0 : EJECT_FIRST << Math.min(n.probeFails, EJECT_DOUBLINGS);
        boolean due = !n.probing && now >= n.probedAt + pause;
        if (settings.limits().probe() && due && n.health != Routing.Health.GONE) {
            n.probing = true;
            n.probedAt = now;
            act.accept(new Routing.Probe(n.id));
        }
    }

    private void onProbed(Routing.Probed p) {
        Node n = nodes.get(p.node());
        if (n == null) {
            return;
        }
        n.probing = false;
        if (p.ending() == Routing.Ending.SERVED) {
            n.probeFails = 0;
            n.onTrial = true;
            learn(n, p.position(), p.role(), false);
            dispatch(n.group);
        } else {
            // Probes may fail while a member serves: a failed one ejects nobody, but makes the next one rarer
            // and, for a member that service has ejected, the trial later.
            n.probeFails++;
            n.brokenLast = p.ending() == Routing.Ending.NOT_CONNECTED ? now : n.brokenLast;
            if (n.strikes > 0 && !n.onTrial) {
                strike(n);
            }
        }
    }

    // ---- health ----

    private void strike(Node n) {
        if (now >= n.ejectedUntil) {
            n.ejectedUntil = now + (EJECT_FIRST << Math.min(n.strikes++, EJECT_DOUBLINGS));
            n.onTrial = false;
        }
    }

    /**
     * Guards members that went on refusing connections for a while: they may have restarted, so are taken for
     * cold. Those that serve sooner had their tables full: idle connections are closed earlier. How long
     * nothing was asked of them tells nothing: who lost one connection is not cold for that.
     */
    private void answered(Node n) {
        n.answeredAt = now;
        n.silent = 0;
        n.broken = 0;
        n.probeFails = Math.min(n.probeFails, PROBES_PER_TRIAL);
        if (n.brokenSince != Long.MIN_VALUE) {
            if (n.brokenLast - n.brokenSince > RESTART_LEAST) {
                chill(n, now);
            } else {
                idleKeep = Math.max(IDLE_LEAST, idleKeep * IDLE_CUT);
            }
        }
        n.brokenSince = Long.MIN_VALUE;
    }

    private void chill(Node n, long since) {
        n.coldSince = Math.max(n.coldSince, since);
        n.coldBase = warmServed;
        // A random start: routers that earn little would else give a cold member nothing while it warms up.
        // All of them start at once, so many of them start with less.
        n.coldCredit = random.nextDouble() * Math.min(1, COLD_START / settings.routers());
        n.limit = Math.min(n.limit, startLimit);
    }

    /** Silent with work out for longer than that work should take. */
    private boolean overdue(Node n) {
        Attempt oldest = n.out.isEmpty() ? null : n.out.iterator().next();
        return oldest != null && now > oldest.overdueAt()
                && now - n.answeredAt > oldest.overdueAt() - oldest.sentAt();
    }

    private boolean healthy(Node n) {
        return !overdue(n) && now >= n.ejectedUntil && (n.strikes == 0 || n.onTrial && n.out.isEmpty());
    }

    // ---- room ----

    private boolean cold(Node n) {
        return n.coldSince != Long.MIN_VALUE && now - n.coldSince < settings.rules().warmUpMicros();
    }

    /**
     * A cold member earns requests only as warm ones serve them, in proportion to its warmth at that moment,
     * so all routers together keep it under what it can do however unevenly they are loaded. Served requests
     * count: not sent ones, as repeats prove nothing, nor latencies, as queues swell them.
     */
    private boolean coldRoom(Node n, Pending r) {
        if (!cold(n)) {
            return true;
        }
        if (longWork[r.cls()]) {
            return false;
        }
        long warm = nodes.values().stream()
                .filter(m -> m.health == Routing.Health.LIVE && m.strikes == 0 && !cold(m)).count();
        if (warm == 0) {
            return n.out.size() < (r.write() ? 3 : 1);
        }
        double share = settings.rules().coldShare();
        double age = (double) (now - n.coldSince) / Math.max(1, settings.rules().warmUpMicros());
        double warmth = share + (1 - share) * Math.min(1, Math.max(0, age));
        double part = settings.rules().overloadMultiple() * COLD_PART;
        double earned = (warmServed - n.coldBase) / warm * warmth * part;
        n.coldBase = warmServed;
        n.coldCredit = Math.min(COLD_BURST, n.coldCredit + earned);
        return n.coldCredit >= 1;
    }

    private boolean room(Node n, Pending r, double share) {
        if (now < n.fullUntil || n.out.size() >= Math.max(1, n.limit * share) || !coldRoom(n, r)) {
            return false;
        }
        // Guards against many routers that each send little: what their attempts met decides by lot which
        // requests are refused at once, the more the further latencies exceed the aim's part, repeats first.
        double target = PRESSURE_SHED * (r.write() ? WRITE_EASE : share);
        double open = Math.min(1, target / pressure(n));
        if (!sparse || r.lot < Math.pow(open, LOT_STEEP)) {
            return true;
        }
        shed = true;
        return false;
    }

    /** Latency over aim at a member; it leans on that at its group's replicas, that on all of its kind. */
    private double pressure(Node n) {
        boolean primary = n == n.group.primary;
        double all = (primary ? primaryLoad : replicaLoad).mean(now, PRESSURE / 2);
        return n.load.mean(now, primary ? all : n.group.load.mean(now, all));
    }

    /** Latency over work, leaning likewise. */
    private double slow(Node n) {
        return n.slow.mean(now, n.group.slow.mean(now, ORDINARY));
    }

    private void press(Node n, double x) {
        n.load.add(now, x);
        if (n == n.group.primary) {
            primaryLoad.add(now, x);
        } else {
            n.group.load.add(now, x);
            replicaLoad.add(now, x);
        }
    }

    private void adapt(Node n, Pending r, long elapsed) {
        double w = work[r.cls()];
        work[r.cls()] += (elapsed < w ? 0.1 : 0.02) * (elapsed - w);
        n.slow.add(now, elapsed / work[r.cls()]);
        n.group.slow.add(now, elapsed / work[r.cls()]);
        press(n, (double) elapsed / r.kind.aimMicros());
        bound(n);
    }

    /** Latency grows with what is out: the bound follows their ratio within one turn of its attempts. */
    private void bound(Node n) {
        double p = pressure(n);
        if (p > PRESSURE) {
            n.limit = Math.max(leastLimit, n.limit * Math.pow(PRESSURE / p, 1 / Math.max(1, n.limit)));
        } else if (n.out.size() + 1 > n.limit * 0.6) {
            n.limit = Math.min(LIMIT_MOST, n.limit + 0.5);
        }
    }

    // ---- requests ----

    private void onRequest(Routing.Request q) {
        Group g = groups.get(q.group());
        Routing.RequestClass kind = settings.classes().get(q.classIndex());
        if (g == null) {
            act.accept(new Routing.Refuse(q.id(), advice(kind)));
            return;
        }
        g.askedAt = now;
        probeBudget = Math.min(20, probeBudget + (sparse && guarded ? PROBES_SPARSE : PROBES_PER_REQUEST));
        boolean repeat = ages.spent(q.classIndex(), q.waitMicros()) || q.repeated();
        double lot = random.nextDouble();
        Pending r = new Pending(q, kind, g, now, repeat, repeat ? REPEAT_LOT + (1 - REPEAT_LOT) * lot : lot);
        requests.put(r.id(), r);
        if (kind.access() == Routing.Access.STRONG) {
            r.token = now;
        } else if (kind.access() == Routing.Access.SESSION) {
            if (settings.replication().tokens() == Routing.TokenSource.CARRIED) {
                r.token = q.sinceWriteMicros() > 0 ? now - q.sinceWriteMicros() : Long.MIN_VALUE;
            } else if (q.session() != null) {
                r.token = tokens.of(q.session());
            }
        }
        if (r.expires - now <= MARGIN) {
            giveUp(r);
        } else {
            placeOrHold(r);
        }
    }

    private void hold(Pending r) {
        ArrayDeque<Pending> queue = r.group.waiting.get(r.cls());
        held(r.group, 1);
        if (r.repeat) {
            queue.addFirst(r);
        } else {
            queue.addLast(r);
        }
        if (waitingCount > settings.limits().openMost() * HELD_PART) {
            crowdOut();
        }
    }

    /**
     * Guards the other groups' requests: those held for one in trouble would take all that clients can have
     * open. Of the group that holds most, the read that would be served last goes if it is worth little late.
     */
    private void crowdOut() {
        Group g = Collections.max(groups.values(), Comparator.comparing(x -> x.held));
        for (int i = order.size() - 1; i >= 0; i--) {
            Pending last = g.waiting.get(order.get(i)).peekFirst();
            if (last != null && !last.write() && last.kind.lateShare() < 0.5) {
                giveUp(last);
                return;
            }
        }
    }

    private void held(Group g, int change) {
        g.held += change;
        waitingCount += change;
    }

    private void onGone(String id) {
        Pending r = requests.get(id);
        if (r == null || r.over) {
            return;
        }
        if (r.out != null && settings.limits().cancel()) {
            act.accept(new Routing.Cancel(r.id(), r.out.number()));
        }
        finish(r);
    }

    private void finish(Pending r) {
        r.over = true;
        if (r.out == null) {
            if (r.group.waiting.get(r.cls()).remove(r)) {
                held(r.group, -1);
            }
            requests.remove(r.id());
        }
    }

    /** The final answer for a request given up: at once, and a refusal wherever the rules allow one. */
    private void giveUp(Pending r) {
        boolean refusable = r.mayHaveRunSince == Long.MAX_VALUE || r.kind.effect() == Routing.Effect.SAFE
                || r.kind.effect() == Routing.Effect.KEYED && r.kind.keyScope() == Routing.KeyScope.ALL;
        act.accept(refusable ? new Routing.Refuse(r.id(), advice(r.kind)) : new Routing.Fail(r.id()));
        finish(r);
    }

    private long advice(Routing.RequestClass kind) {
        long most = settings.limits().retryAfter() ? settings.limits().maxRetryAfterMicros() : 0;
        // Another try may do better than one refused: early enough to be in time, and not as one wave.
        double again = ADVICE * (0.5 + random.nextDouble()) * kind.aimMicros();
        return Math.min(kind.access() == Routing.Access.WRITE ? 50_000 : (long) again, most);
    }

    /** From when on an answer is worth little, unless it is a repeat: that may always have been so. */
    private long worthlessAt(Pending r) {
        return r.kind.lateShare() < 0.5 && !r.repeat ? r.arrived + r.kind.aimMicros() : Long.MAX_VALUE;
    }

    /** When a held request is no longer worth holding. */
    private long giveUpAt(Pending r) {
        // Guards against clients kept waiting for nothing: one told early has time to come back.
        double last = r.reached ? r.expires - Math.max(MARGIN, work[r.cls()])
                : r.arrived + UNTRIED * (r.expires - r.arrived);
        double takes = r.group.load.mean(now, replicaLoad.mean(now, PRESSURE / 2)) * r.kind.aimMicros();
        return (long) Math.min(last, worthlessAt(r) - Math.min(takes, HELD_LEAST * r.kind.aimMicros()));
    }

    // ---- choice ----

    private void placeOrHold(Pending r) {
        if (place(r)) {
            return;
        }
        if (shed) {
            giveUp(r);
        } else {
            hold(r);
        }
    }

    private boolean place(Pending r) {
        shed = false;
        if (r.attempts >= settings.limits().attempts()) {
            return false;
        }
        Node n = r.write() ? forWrite(r) : longWork[r.cls()] ? keptForLong(r.group, r) : forRead(r);
        Node p = r.group.primary;
        if (n == null && longWork[r.cls()] && now > r.arrived + HOLD_OF_AIM * r.kind.aimMicros()
                && ready(p, false) && room(p, r, READS_ON_PRIMARY)) {
            n = p;
        }
        if (n == null) {
            return false;
        }
        send(r, n);
        return true;
    }

    /** A repeat of keyed work that may have run stays where repeats are dropped, and in that time. */
    private boolean mayRun(Pending r, Node n) {
        if (r.mayHaveRunSince == Long.MAX_VALUE || r.kind.effect() == Routing.Effect.SAFE) {
            return true;
        }
        if (r.kind.effect() == Routing.Effect.UNSAFE || now >= r.mayHaveRunSince + r.kind.keyTtlMicros()) {
            return false;
        }
        return r.kind.keyScope() != Routing.KeyScope.ZONE || n.zone == r.mayHaveRunAt.zone;
    }

    private boolean ready(Node p, boolean write) {
        return p != null && listed(p, write) && healthy(p) && (write || !shunned(p));
    }

    /** A member that answers with errors is tried by one read at a time; writes have nowhere else to go. */
    private boolean shunned(Node n) {
        return n.shuns > 0 && (now < n.shunnedUntil || !n.out.isEmpty());
    }

    private Node forWrite(Pending r) {
        Group g = r.group;
        Node p = g.primary;
        if (ready(p, true)) {
            return room(p, r, 1) && mayRun(r, p) ? p : null;
        }
        boolean known = p != null && listed(p, true);
        if (known || now < g.scoutAt || r.attempts > settings.limits().attempts() / 2) {
            return null;
        }
        // No primary is known: members are tried in sorted order; a pause follows a full round of misses.
        while (g.scout < g.members.size()) {
            Node n = g.members.get(g.scout++);
            if (n.health == Routing.Health.LIVE && healthy(n) && room(n, r, 1) && mayRun(r, n)) {
                g.scoutAt = now + SCOUT_PACE;
                return n;
            }
        }
        g.scout = 0;
        g.scoutAt = now + 3 * SCOUT_PACE;
        return null;
    }

    private long need(Pending r) {
        return r.kind.access() == Routing.Access.BOUNDED ? now - r.kind.boundMicros() : r.token;
    }

    /**
     * Whether a replica may be sent a read that needs a position: at a proven one; where members guard it
     * themselves, also by the lag last seen, the less after each miss, or tries are spent within a moment.
     */
    private boolean fresh(Node n, long need, int misses) {
        if (n.position >= need) {
            return true;
        }
        long ahead = settings.replication().waitMicros() / 2 - misses * MISS_STEP;
        return guarded && (n.lag < 0 || now - n.lag + ahead >= need);
    }

    private Node forRead(Pending r) {
        Group g = r.group;
        long need = need(r);
        Node best = null;
        double least = Double.MAX_VALUE;
        boolean full = false, anyAge = r.kind.access() == Routing.Access.ANY;
        long soonest = Long.MAX_VALUE;
        int size = g.members.size();
        g.turn = (g.turn + 1) % Math.max(1, size);
        Node kept = keptForLong(g, null);
        for (int i = 0; i < size; i++) {
            Node n = g.members.get((g.turn + i) % size);
            if (n == g.primary || !ready(n, false)) {
                continue;
            }
            if (!fresh(n, need, r.attempts)) {
                // Where nothing is guarded only news helps: from answers just had, or from probes.
                boolean silent = n.probeFails > 0 && noNews(n, NEWS_PACE);
                soonest = Math.min(soonest, guarded ? Math.max(0, need - (now - n.lag))
                        : silent ? Long.MAX_VALUE : 0);
                continue;
            }
            if (!room(n, r, 1)) {
                full = true;
                continue;
            }
            double cost = (n.out.size() + 1) * slow(n) * (n.zone == settings.zone() ? 1 : FAR)
                    * (n != kept ? 1 : anyAge ? 1 / KEPT_FOR_LONG : KEPT_FOR_LONG)
                    * (n == r.last ? 4 : 1) * (r.erredAt.contains(n) ? ERRED : 1);
            if (cost < least) {
                least = cost;
                best = n;
            }
        }
        Node p = g.primary;
        if (best != null) {
            // Guards a crowded group whose primary idles: groups draw unequal shares of reads and writes.
            boolean spills = guarded && ready(p, false) && !r.erredAt.contains(p)
                    && pressure(best) > Math.max(SPILL_FROM, SPILL * pressure(p))
                    && room(p, r, READS_ON_PRIMARY);
            shed = false;
            return spills ? p : best;
        }
        boolean strong = r.kind.access() == Routing.Access.STRONG;
        long holdUntil = r.arrived + (long) Math.min(HOLD, HOLD_OF_AIM * r.kind.aimMicros());
        boolean hopeless = soonest > holdUntil - now;
        if (!ready(p, false) || !full && !strong && !hopeless && now < holdUntil) {
            if (probeBudget >= 1) {
                probeForReads(g);
            }
            return null;
        }
        return room(p, r, strong ? 1 : READS_ON_PRIMARY) ? p : null;
    }

    /** Blocking work stops apply where it runs, so all routers put it on the same replicas, by sorted id. */
    private Node keptForLong(Group g, Pending r) {
        for (Node n : g.members) {
            if (anyLong && n != g.primary && ready(n, false)
                    && !cold(n) && (r == null || n != r.last)) {
                return r == null || room(n, r, 1) ? n : null;
            }
        }
        return null;
    }

    private void closeIdle(Node n) {
        n.connected = false;
        act.accept(new Routing.CloseIdle(n.id));
    }

    private void send(Pending r, Node n) {
        double overdue = Math.max(OVERDUE_LEAST, OVERDUE * slow(n) * work[r.cls()]);
        if (guarded && !r.write()) {
            overdue += settings.replication().waitMicros();
        }
        // Guards against idle connections that were dropped unseen, and tables kept full by idle ones.
        long idle = n.connected && n.out.isEmpty() ? now - n.usedAt : 0;
        if (idle > idleKeep * (r.kind.effect() == Routing.Effect.UNSAFE ? 0.5 : 1)) {
            closeIdle(n);
            idle = 0;
        }
        long left = r.expires - now;
        long timeout = left;
        double patience = overdue * (idle > IDLE_LEAST && idleKeep < IDLE_MOST ? 1 : PATIENCE);
        if (r.kind.effect() != Routing.Effect.UNSAFE && left - patience > work[r.cls()]) {
            timeout = (long) patience;
        }
        // Guards against overload: members drop what still waits when nobody wants it any more, and say so;
        // giving it up here would close its connection.
        long wanted = Math.min(timeout, Math.max(TICK, worthlessAt(r) - now));
        n.connected = true;
        Attempt a = new Attempt(r, r.attempts++, n, now, now + (long) overdue, idle);
        r.out = a;
        n.out.add(a);
        n.coldCredit--;
        act.accept(new Routing.Send(r.id(), n.id, timeout, wanted));
    }

    // ---- outcomes ----

    private void onOutcome(Routing.Outcome o) {
        Pending r = requests.get(o.id());
        if (r == null || r.out == null || r.out.number() != o.attempt()) {
            return;
        }
        Attempt a = r.out;
        Node n = a.node();
        r.out = null;
        r.last = n;
        n.out.remove(a);
        n.usedAt = now;
        judge(n, r, a, o);
        learn(n, o.position(), o.role(), true);
        if (o.ending() == Routing.Ending.SERVED && r.write()) {
            stamp(r, o.position());
        }
        r.reached |= o.ending() != Routing.Ending.NOT_CONNECTED && o.ending() != Routing.Ending.NOT_SENT;
        if (!o.ending().neverRan && a.sentAt() < r.mayHaveRunSince) {
            r.mayHaveRunSince = a.sentAt();
            r.mayHaveRunAt = n;
        }
        if (o.closed() || r.over) {
            r.over = true;
            requests.remove(r.id());
        } else {
            again(r, o.ending());
        }
        dispatch(r.group);
    }

    private void judge(Node n, Pending r, Attempt a, Routing.Outcome o) {
        switch (o.ending()) {
            case SERVED -> {
                answered(n);
                n.errors *= 1 - ERROR_WEIGHT;
                n.strikes = 0;
                // Guards against members that fail most: one served request doesn't bring all reads back.
                n.shuns = n.errors > ERROR_SHARE ? n.shuns : 0;
                // Guards against members that fail requests, not requests that fail anywhere: an error counts
                // against a member once another has served the same request.
                for (Node erred : r.erredAt) {
                    if (erred != n) {
                        erred.errors += ERROR_WEIGHT * (1 - erred.errors);
                        erred.shunnedUntil = now + (EJECT_FIRST << Math.min(erred.shuns++, EJECT_DOUBLINGS));
                    }
                }
                adapt(n, r, o.elapsedMicros());
                if (!cold(n) && !longWork[r.cls()]) {
                    warmServed++;
                }
            }
            case MISSED -> answered(n);
            case TURNED_BACK -> {
                // Guards against storms of repeats at a full member.
                answered(n);
                n.fullUntil = now + FULL_PAUSE;
                n.limit = Math.max(leastLimit, n.limit * 0.8);
                press(n, PRESSURE_FULL);
            }
            case ERROR -> {
                answered(n);
                r.errors++;
                r.erredAt.add(n);
            }
            case TIMED_OUT -> {
                // Guards against silent members. One lost attempt proves little, least of all when the
                // client's own time cut it short: the first only asks for a probe.
                boolean silent = n.answeredAt < a.sentAt() && now >= a.overdueAt();
                if (silent && a.idle() > IDLE_LEAST) {
                    // The connection may be what was lost: the next attempt on a new one will tell.
                    idleKeep = Math.max(IDLE_LEAST, Math.min(idleKeep, a.idle() * IDLE_CUT));
                    closeIdle(n);
                } else if (silent) {
                    if (n.silent++ > 0) {
                        n.probeFails = 0;
                        strike(n);
                    }
                    probe(n);
                } else {
                    double least = (double) o.elapsedMicros() / r.kind.aimMicros();
                    if (least > pressure(n)) {
                        press(n, least);
                        bound(n);
                    }
                }
            }
            case NOT_CONNECTED, BROKEN -> {
                // Guards members that live: one connection that breaks, or one spoilt answer, is no sign of a
                // death. That breaks all connections at once and refuses new ones.
                if (o.ending() == Routing.Ending.BROKEN && n.broken++ == 0) {
                    break;
                }
                n.connected = false;
                n.brokenSince = n.brokenSince == Long.MIN_VALUE ? now : n.brokenSince;
                n.brokenLast = now;
                n.probeFails = 0;
                strike(n);
            }
            default -> { }
        }
    }

    /** The design's token: a session's later reads must see this write. */
    private void stamp(Pending r, long position) {
        if (r.asked.session() == null || settings.replication().tokens() == Routing.TokenSource.CARRIED) {
            return;
        }
        long at = position == Routing.NO_POSITION ? now : position;
        tokens.raise(r.asked.session(), at);
    }

    private void again(Pending r, Routing.Ending ending) {
        boolean spent = r.attempts >= settings.limits().attempts()
                || now >= Math.min(r.expires - MARGIN, worthlessAt(r))
                || r.errors > (r.write() ? ERRORS_WRITE : ERRORS_READ);
        if (spent || !mayRun(r, r.last)) {
            giveUp(r);
        } else {
            placeOrHold(r);
        }
    }

    // ---- held requests ----

    private void dispatch(Group g) {
        if (g.held == 0) {
            return;
        }
        for (int cls : order) {
            ArrayDeque<Pending> queue = g.waiting.get(cls);
            int tries = settings.classes().get(cls).access() == Routing.Access.SESSION ? 40 : 1;
            // Guards against overload: the newest first try is served first, so that some answers are in
            // time; first come, first served would make all late.
            Iterator<Pending> it = queue.descendingIterator();
            while (it.hasNext() && tries > 0) {
                Pending r = it.next();
                if (place(r)) {
                    it.remove();
                    held(g, -1);
                } else {
                    tries--;
                }
            }
        }
    }

    private void tick() {
        for (Group g : groups.values()) {
            if (g.held == 0) {
                continue;
            }
            expire(g);
            dispatch(g);
            boolean asks = !g.members.isEmpty() && wanted(g);
            if (asks && !ready(g.primary, true) && now >= g.changeProbeAt) {
                // One member at a time, the faster the more is held, as every router does the same.
                long pace = CHANGE_PROBE_PACE / Math.min(g.held, g.members.size());
                g.changeProbeAt = now + pace + random.nextLong(pace / 4 + 1);
                g.probeTurn = (g.probeTurn + 1) % g.members.size();
                probe(g.members.get(g.probeTurn));
            }
        }
        if (now >= membersAt) {
            membersAt = now + IDLE_TICK;
            tickMembers();
        }
        if (settings.mustSubscribe() && !subscribed && now >= askAt) {
            subscribe();
        }
        setTick(waitingCount > 0 ? TICK : IDLE_TICK);
    }

    private void tickMembers() {
        idleKeep = Math.min(IDLE_MOST, idleKeep * IDLE_GROW);
        nodes.values().removeIf(this::forgotten);
        for (Node n : nodes.values()) {
            if (n.connected && n.out.isEmpty() && now - n.usedAt > idleKeep) {
                closeIdle(n);
            }
            if (n.strikes > 0 && !n.onTrial && n.health == Routing.Health.LIVE && now >= n.ejectedUntil) {
                n.onTrial = !settings.limits().probe() || n.probeFails >= PROBES_PER_TRIAL;
                if (!n.onTrial) {
                    probe(n);
                }
            } else if (n.health == Routing.Health.LIVE && probeBudget >= 10 && now - n.probedAt > NEWS_PACE
                    && now - n.group.askedAt < NEWS_PACE && noNews(n, NEWS_PACE)) {
                probeBudget--;
                probe(n);
            }
        }
    }

    /** Whether a member in the list is not used by choice. */
    public boolean avoids(String node) {
        Node n = nodes.get(node);
        return n != null && (!healthy(n) || shunned(n));
    }

    /** How many members are remembered. */
    int members() {
        return nodes.size();
    }

    /** Each deploy brings new ids: members that have left, and have nothing out, must not pile up. */
    private boolean forgotten(Node n) {
        boolean over = n.health == Routing.Health.GONE && n.out.isEmpty() && now > n.toldLeaving + GONE_KEPT;
        if (over) {
            n.group.members.remove(n);
        }
        return over;
    }

    /** Whether anything that only a primary can answer is held. */
    private boolean wanted(Group g) {
        return g.waiting.stream().anyMatch(q -> !q.isEmpty() && (q.peek().write()
                || q.peek().kind.access() == Routing.Access.STRONG));
    }

    private void setTick(long delay) {
        tickAt = now + delay;
        act.accept(new Routing.SetTimer(delay, 0));
    }

    /** Held reads share their probes: one replica at a time, in turn, so that they cost little. */
    private void probeForReads(Group g) {
        for (int i = 0; i < g.members.size(); i++) {
            Node n = g.members.get((g.probeTurn + i) % g.members.size());
            if (n != g.primary && ready(n, false) && now - n.probedAt >= READ_PROBE_PACE
                    && noNews(n, READ_PROBE_PACE / 2)) {
                probe(n);
                probeBudget--;
                g.probeTurn = (g.probeTurn + i + 1) % g.members.size();
                return;
            }
        }
    }

    private boolean noNews(Node n, long pace) {
        return n.heardAt == Long.MIN_VALUE || now - n.heardAt >= pace;
    }

    private void expire(Group g) {
        for (ArrayDeque<Pending> queue : g.waiting) {
            for (Pending r : List.copyOf(queue)) {
                if (now >= giveUpAt(r)) {
                    giveUp(r);
                }
            }
        }
    }
}
