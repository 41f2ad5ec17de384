package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import lupinvalve.routing.Routing.Access;
import lupinvalve.routing.Routing.Effect;
import lupinvalve.routing.Routing.Ending;
import lupinvalve.routing.Routing.FreshnessCheck;
import lupinvalve.routing.Routing.Health;
import lupinvalve.routing.Routing.KeyScope;
import lupinvalve.routing.Routing.ListForm;
import lupinvalve.routing.Routing.Role;
import lupinvalve.routing.Routing.TokenSource;

/**
 * A small world in virtual time: db nodes with cores, queues, warmth, positions and roles, and clients. It draws all of
 * it from a seed, plays routers in it, and writes down each rule that an action breaks.
 */
final class RulesWorld {
    /** What a test lets a router do wrong, and how the note on it begins. */
    enum Planted {
        ANSWER_KEPT_BACK("answer"),
        REPEATED_WRITE("effect"),
        SENT_TO_A_DRAINING_ONE("drain"),
        COLD_ONE_FLOODED("cold"),
        READ_FROM_ANY_REPLICA("stale");

        final String rule;

        Planted(String rule) {
            this.rule = rule;
        }
    }

    private static final long MS = 1000, SECOND = 1000 * MS;
    private static final int MOST_EVENTS = 400_000;

    private record Due(long at, long order, Runnable what) {}

    /** A db node's process; a restart makes a new one under the same id. */
    private final class Box {
        final String id;
        final int group, zone, cores;
        final double speed;
        final ArrayDeque<Work> queue = new ArrayDeque<>();
        int busy, life;
        boolean up = true, listedPrimary;
        long born, position, lag, toldLeaving = Long.MAX_VALUE;
        Health listed = Health.LIVE;
        final List<Long> sentWhileCold = new ArrayList<>();

        Box(String id, int group, int zone) {
            this.id = id;
            this.group = group;
            this.zone = zone;
            cores = 2 + random.nextInt(5);
            speed = 0.6 + 0.8 * random.nextDouble();
            lag = (5 + random.nextInt(300)) * MS;
        }

        double warmth() {
            double age = (double) (now - born) / rules.warmUpMicros();
            return born == 0 ? 1 : Math.min(1, rules.coldShare() + (1 - rules.coldShare()) * age);
        }

        boolean primary() {
            return primaries[group] == this;
        }

        /** Up to when it has applied all commits: that never goes back. */
        long at() {
            position = Math.max(position, primary() ? now : now - lag);
            return position;
        }

        Routing.Member member() {
            return new Routing.Member(id, group, zone, listed, listedPrimary, born);
        }
    }

    private final class Work {
        final Call call;
        final int number, life;
        final Box box;
        final long sent;
        boolean over;

        Work(Call call, int number, Box box) {
            this.call = call;
            this.number = number;
            this.box = box;
            life = box.life;
            sent = now;
        }
    }

    private static final class Call {
        int router, cls, group, tries;
        String id;
        long came, expires, needs, mayHaveRunSince = Long.MAX_VALUE;
        Box mayHaveRunAt;
        Work out;
        boolean over;
    }

    final List<String> broken = new ArrayList<>();
    int asked, served, refused, failed;
    Planted planted;
    private final long seed;
    private final SplittableRandom random;
    private final PriorityQueue<Due> ahead =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, Box> boxes = new HashMap<>();
    private final List<Box> all = new ArrayList<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final List<Routing.RequestClass> classes = new ArrayList<>();
    private final Box[] primaries;
    private final Map<String, Boolean> toldReplica = new HashMap<>();
    private final Routing.Rules rules;
    private final Routing.Limits limits;
    private final Routing.Replication replication;
    private final int zones, groups;
    private final double rate, work;
    private final long length;
    private long now = 1000 * SECOND, order;
    private int events;

    RulesWorld(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed * 7919);
        zones = 1 + random.nextInt(5);
        int count = seed % 10 == 0 ? 30 + random.nextInt(71) : 1 + random.nextInt(seed % 3 == 0 ? 14 : 4);
        groups = 1 + random.nextInt(4);
        double scale = Math.pow(10, random.nextDouble() * 1.5 - 1);
        work = 100 * MS * scale;
        drawClasses(scale);
        rules = new Routing.Rules(
                20 * MS,
                (250 + random.nextInt(2000)) * MS,
                10 * SECOND,
                0.1 + 0.4 * random.nextDouble(),
                (2 + random.nextInt(17)) * SECOND,
                2 + 3 * random.nextDouble(),
                (1000 + random.nextInt(2500)) * MS);
        limits = new Routing.Limits(
                1 + random.nextInt(8),
                random.nextBoolean(),
                true,
                random.nextInt(4) > 0,
                random.nextBoolean(),
                500 * MS,
                200 + random.nextInt(2000));
        replication = new Routing.Replication(
                FreshnessCheck.values()[random.nextInt(3)], random.nextInt(60) * MS, TokenSource.CARRIED);
        primaries = new Box[groups];
        double capacity = 0;
        for (int g = 0; g < groups; g++) {
            int size = 2 + random.nextInt(5);
            for (int i = 0; i < size; i++) {
                Box b = new Box("n" + g + "." + i, g, random.nextInt(zones));
                boxes.put(b.id, b);
                all.add(b);
                capacity += b.cores * b.speed * SECOND / work;
                if (i == 0) {
                    primaries[g] = b;
                    b.listedPrimary = true;
                }
            }
        }
        rate = Math.min(400, capacity * (0.2 + 0.9 * random.nextDouble()));
        length = (long) Math.min(12 * SECOND, 4000 / rate * SECOND);
        double price = random.nextBoolean() ? 0 : 0.05 * random.nextDouble();
        for (int i = 0; i < count; i++) {
            int self = i;
            routers.add(new Router(
                    seed * 1000 + i,
                    new Routing.Settings(
                            i, count, random.nextInt(zones), true, classes, limits, rules, replication, price),
                    now,
                    action -> act(self, action)));
        }
    }

    private void drawClasses(double scale) {
        int count = 2 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            Access access = i == 0 ? Access.WRITE : Access.values()[1 + random.nextInt(4)];
            Effect effect = access == Access.WRITE ? Effect.values()[1 + random.nextInt(2)] : Effect.SAFE;
            long aim = (long) ((300 + random.nextInt(900)) * MS * scale * (access == Access.ANY ? 4 : 1));
            classes.add(new Routing.RequestClass(
                    "c" + i,
                    access,
                    (long) (aim * 2 * random.nextDouble()) + 50 * MS,
                    effect,
                    KeyScope.GROUP,
                    3 * SECOND,
                    aim,
                    aim * (2 + random.nextInt(4)),
                    1 + random.nextInt(4),
                    random.nextInt(3) * 0.35));
        }
    }

    String describe() {
        return "seed " + seed + ": " + routers.size() + " routers, " + all.size() + " db nodes, " + zones + " zones, "
                + groups + " groups, " + replication.check() + ", asked " + asked + ", served " + served + ", refused "
                + refused + ", failed " + failed + ", broken " + broken.size();
    }

    // ---- time ----

    private void in(long delay, Runnable what) {
        ahead.add(new Due(now + Math.max(0, delay), order++, what));
    }

    void run() {
        List<Routing.Member> members = all.stream().map(Box::member).toList();
        for (int i = 0; i < routers.size(); i++) {
            give(i, new Routing.Members(ListForm.RESTORED, members));
            give(i, new Routing.Members(ListForm.FULL, members));
        }
        for (int i = 0; i < 4; i++) {
            in((long) (length * (0.15 + 0.6 * random.nextDouble())), this::trouble);
        }
        in(0, this::arrive);
        long end = now + length + 30 * SECOND;
        while (!ahead.isEmpty() && ahead.peek().at <= end && events++ < MOST_EVENTS) {
            Due due = ahead.poll();
            now = due.at;
            due.what.run();
            if (now > end - 30 * SECOND && calls.isEmpty()) {
                break;
            }
        }
        calls.values().forEach(c -> broken.add("answer: none for " + c.id));
    }

    private void give(int router, Routing.Event event) {
        routers.get(router).handle(now, event, action -> act(router, action));
    }

    private void arrive() {
        if (asked / rate * SECOND > length) {
            return;
        }
        Call c = new Call();
        c.router = random.nextInt(routers.size());
        c.cls = random.nextInt(classes.size());
        c.group = random.nextInt(groups);
        c.id = Integer.toString(asked++, 36);
        Routing.RequestClass kind = classes.get(c.cls);
        long wait = (long) (kind.deadlineMicros() * (0.4 + 0.6 * random.nextDouble()));
        long since = random.nextBoolean() ? 0 : (1 + random.nextInt(900)) * MS;
        c.came = now;
        c.expires = now + wait;
        c.needs = kind.access() == Access.STRONG
                ? now
                : kind.access() == Access.SESSION && since > 0 ? now - since : Long.MIN_VALUE;
        calls.put(c.id, c);
        // Whoever keeps no answer rule is found by this: the final one is due with a little slack.
        in(wait + rules.answerSlackMicros() + MS, () -> {
            if (!c.over) {
                broken.add("answer: none in time for " + c.id + " of class " + c.cls);
                end(c);
            }
        });
        in((long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), this::arrive);
        give(c.router, new Routing.Request(c.id, c.cls, false, "s" + random.nextInt(50), since, c.group, wait));
    }

    private void end(Call c) {
        c.over = true;
        calls.remove(c.id);
    }

    // ---- what routers do ----

    private void act(int router, Routing.Action action) {
        if (action instanceof Routing.Send send) {
            send(router, send);
        } else if (action instanceof Routing.Refuse refuse) {
            Call c = calls.get(refuse.id());
            if (c == null || planted == Planted.ANSWER_KEPT_BACK && random.nextInt(4) == 0) {
                return;
            }
            Routing.RequestClass kind = classes.get(c.cls);
            if (c.out != null || c.mayHaveRunSince != Long.MAX_VALUE && kind.effect() != Effect.SAFE) {
                broken.add("effect: refused though it may have run: " + c.id);
            }
            refused++;
            end(c);
        } else if (action instanceof Routing.Fail fail) {
            Call c = calls.get(fail.id());
            if (c != null) {
                failed++;
                end(c);
            }
        } else if (action instanceof Routing.Probe probe) {
            Box b = boxes.get(probe.node());
            in(
                    2 * MS,
                    () -> give(
                            router,
                            b.up
                                    ? new Routing.Probed(
                                            b.id,
                                            Ending.SERVED,
                                            2 * MS,
                                            b.at(),
                                            b.primary() ? Role.PRIMARY : Role.REPLICA)
                                    : new Routing.Probed(
                                            b.id, Ending.NOT_CONNECTED, 2 * MS, Routing.NO_POSITION, Role.UNKNOWN)));
        } else if (action instanceof Routing.SetTimer timer) {
            in(timer.delayMicros(), () -> give(router, new Routing.TimerFired(timer.handle())));
        } else if (action instanceof Routing.Subscribe && random.nextInt(4) == 0) {
            in(50 * MS, () -> give(router, new Routing.Members(ListForm.UNAVAILABLE, List.of())));
        } else if (action instanceof Routing.Cancel cancel) {
            Call c = calls.get(cancel.id());
            if (c != null && c.out != null) {
                over(c.out, Ending.CANCELLED);
            }
        }
    }

    private void send(int router, Routing.Send send) {
        Call c = calls.get(send.id());
        Box b = boxes.get(send.node());
        if (c == null || c.router != router) {
            broken.add("answer: sent after its end: " + send.id());
            return;
        }
        if (planted == Planted.READ_FROM_ANY_REPLICA
                || planted == Planted.COLD_ONE_FLOODED && !cold(b)
                || planted == Planted.SENT_TO_A_DRAINING_ONE) {
            b = misled(c, b);
        }
        check(c, b);
        c.tries++;
        Work w = new Work(c, c.tries - 1, b);
        c.out = w;
        long timeout = Math.min(c.expires - now, send.timeoutMicros() > 0 ? send.timeoutMicros() : Long.MAX_VALUE);
        in(timeout, () -> over(w, Ending.TIMED_OUT));
        if (cold(b)) {
            b.sentWhileCold.add(now);
            checkCold(b);
        }
        in(MS, () -> reach(w));
    }

    /** The db node that a router with a planted fault would take. */
    private Box misled(Call c, Box right) {
        for (Box b : all) {
            boolean fits =
                    switch (planted) {
                        case READ_FROM_ANY_REPLICA -> classes.get(c.cls).access() == Access.SESSION && !b.primary();
                        case COLD_ONE_FLOODED -> cold(b);
                        default -> b.listed == Health.DRAINING;
                    };
            if (b.group == c.group && fits) {
                return b;
            }
        }
        return right;
    }

    private void check(Call c, Box b) {
        Routing.RequestClass kind = classes.get(c.cls);
        if (b.group != c.group || c.out != null || c.tries >= limits.attempts()) {
            broken.add("effect: another group, a second at a time, or one too many: " + c.id);
        }
        boolean mayHaveRun = c.mayHaveRunSince != Long.MAX_VALUE;
        if (mayHaveRun
                && (kind.effect() == Effect.UNSAFE
                        || kind.effect() == Effect.KEYED && now >= c.mayHaveRunSince + kind.keyTtlMicros())) {
            broken.add("effect: a repeat that may run twice: " + c.id);
        }
        if (b.listed != Health.LIVE && now > b.toldLeaving + rules.drainGraceMicros()) {
            broken.add("drain: " + b.id + " was told to leave " + (now - b.toldLeaving) / MS + " ms ago");
        }
        long need = kind.access() == Access.BOUNDED ? now - kind.boundMicros() : c.needs;
        boolean read = kind.access() != Access.WRITE && kind.access() != Access.ANY;
        boolean excused = !toldReplica.getOrDefault(c.router + b.id, Boolean.TRUE);
        if (read && replication.check() == FreshnessCheck.SILENT && b.at() < need && !b.primary() && !excused) {
            broken.add("stale: " + c.id + " at " + b.id + ", behind by " + (need - b.at()) / MS + " ms");
        }
    }

    private boolean cold(Box b) {
        return b.born > 0 && now - b.born < rules.warmUpMicros();
    }

    /** All routers together against what it can do; chance is allowed for as the users' pages do. */
    private void checkCold(Box b) {
        long from = Math.max(b.born, now - rules.overloadMicros());
        long sent = b.sentWhileCold.stream().filter(at -> at > from).count();
        double most = rules.overloadMultiple() * b.warmth() * b.cores * b.speed * (now - from) / work;
        double whole = rules.overloadMultiple() * b.warmth() * b.cores * b.speed * rules.overloadMicros() / work;
        double slack = 3 * routers.size() + 3 * Math.sqrt(whole) + whole / 3;
        if (sent > Math.max(most, 1) + slack) {
            broken.add(
                    "cold: " + sent + " sent to " + b.id + " in " + (now - from) / MS + " ms, it bears " + (int) most);
        }
    }

    // ---- db nodes ----

    private void reach(Work w) {
        Box b = w.box;
        if (w.over) {
            return;
        }
        if (!b.up || b.life != w.life) {
            over(w, Ending.NOT_CONNECTED);
            return;
        }
        Routing.RequestClass kind = classes.get(w.call.cls);
        long need = kind.access() == Access.BOUNDED ? w.sent - kind.boundMicros() : w.call.needs;
        boolean behind = replication.check() != FreshnessCheck.SILENT && kind.access() != Access.ANY && b.at() < need;
        if (kind.access() == Access.WRITE ? !b.primary() : behind && !b.primary()) {
            over(w, Ending.MISSED);
        } else if (b.queue.size() > 40 * b.cores) {
            over(w, Ending.TURNED_BACK);
        } else {
            b.queue.add(w);
            begin(b);
        }
    }

    private void begin(Box b) {
        while (b.up && b.busy < b.cores && !b.queue.isEmpty()) {
            Work w = b.queue.poll();
            int life = b.life;
            b.busy++;
            double share = -Math.log(1 - random.nextDouble()) * 0.5 + 0.5;
            in((long) (work * share / b.speed / b.warmth()), () -> {
                if (b.life == life) {
                    b.busy--;
                    // One in a hundred answers gets lost, as on the users' worst days, and one is an error.
                    int luck = random.nextInt(100);
                    if (luck > 0) {
                        over(w, luck == 1 ? Ending.ERROR : Ending.SERVED);
                    }
                    begin(b);
                }
            });
        }
    }

    private void over(Work w, Ending ending) {
        if (w.over) {
            return;
        }
        w.over = true;
        Call c = w.call;
        if (!ending.neverRan) {
            c.mayHaveRunSince = Math.min(c.mayHaveRunSince, w.sent);
        }
        c.out = c.out == w ? null : c.out;
        boolean told = ending == Ending.SERVED
                || ending == Ending.MISSED
                || ending == Ending.TURNED_BACK
                || ending == Ending.ERROR;
        Role role = !told ? Role.UNKNOWN : w.box.primary() ? Role.PRIMARY : Role.REPLICA;
        if (told) {
            toldReplica.put(c.router + w.box.id, role == Role.REPLICA);
        }
        boolean done = ending == Ending.SERVED && !c.over;
        if (done) {
            served++;
            end(c);
        }
        // A router that takes what may have run for what never did.
        Ending heard = planted == Planted.REPEATED_WRITE && ending == Ending.TIMED_OUT ? Ending.NOT_CONNECTED : ending;
        give(
                c.router,
                new Routing.Outcome(
                        c.id,
                        w.number,
                        w.box.id,
                        heard,
                        now - w.sent,
                        c.over,
                        told ? w.box.at() : Routing.NO_POSITION,
                        role));
    }

    // ---- troubles ----

    private void trouble() {
        Box b = all.get(random.nextInt(all.size()));
        switch (random.nextInt(4)) {
            case 0 -> crash(b, true);
            case 1 -> drain(b);
            case 2 -> {
                int zone = b.zone;
                all.stream().filter(x -> x.zone == zone && zones > 1).forEach(x -> crash(x, false));
            }
            default -> {
                b.lag += 2 * SECOND;
                in(3 * SECOND, () -> b.lag = 50 * MS);
            }
        }
    }

    private void crash(Box b, boolean quick) {
        if (!b.up) {
            return;
        }
        b.up = false;
        b.life++;
        b.busy = 0;
        List<Work> lost = new ArrayList<>(b.queue);
        b.queue.clear();
        lost.forEach(w -> over(w, Ending.BROKEN));
        if (b.primary()) {
            in(SECOND, () -> elect(b));
        }
        in((quick ? 1 : 2) * SECOND + random.nextInt((int) SECOND), () -> {
            b.up = true;
            b.born = now;
            b.lag = 200 * MS;
            b.sentWhileCold.clear();
            in(random.nextInt((int) (500 * MS)), () -> tell(b, b.listed));
        });
    }

    private void drain(Box b) {
        tell(b, Health.DRAINING);
        if (b.primary()) {
            in(500 * MS, () -> elect(b));
        }
        in(rules.drainGraceMicros() + 3 * SECOND, () -> tell(b, Health.LIVE));
    }

    private void elect(Box old) {
        all.stream()
                .filter(x -> x.group == old.group && x != old && x.up && x.listed == Health.LIVE)
                .findFirst()
                .ifPresent(next -> primaries[old.group] = next);
    }

    private void tell(Box b, Health health) {
        b.toldLeaving = health == Health.LIVE ? Long.MAX_VALUE : Math.min(b.toldLeaving, now);
        b.listed = health;
        for (int i = 0; i < routers.size(); i++) {
            give(i, new Routing.Members(ListForm.UPDATE, List.of(b.member())));
        }
    }
}
