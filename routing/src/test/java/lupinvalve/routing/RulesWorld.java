package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

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
        EndpointState listed = EndpointState.LIVE;
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
            return born == 0 ? 1 : Math.min(1, rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * age);
        }

        boolean primary() {
            return primaries[group] == this;
        }

        /** Up to when it has applied all commits: that never goes back. */
        long at() {
            position = Math.max(position, primary() ? now : now - lag);
            return position;
        }

        Endpoint member() {
            return new Endpoint(id, group, zone, listed, listedPrimary, born);
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
    private final List<RequestClass> classes = new ArrayList<>();
    private final Box[] primaries;
    private final Map<String, Boolean> toldReplica = new HashMap<>();
    private final RouterSettings.Rules rules;
    private final RouterSettings.SiteLimits limits;
    private final RouterSettings.Replication replication;
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
        rules = new RouterSettings.Rules(
                20 * MS,
                (250 + random.nextInt(2000)) * MS,
                10 * SECOND,
                0.1 + 0.4 * random.nextDouble(),
                (2 + random.nextInt(17)) * SECOND,
                2 + 3 * random.nextDouble(),
                (1000 + random.nextInt(2500)) * MS);
        limits = new RouterSettings.SiteLimits(
                1 + random.nextInt(8),
                random.nextBoolean(),
                true,
                random.nextInt(4) > 0,
                random.nextBoolean(),
                500 * MS,
                200 + random.nextInt(2000));
        replication = new RouterSettings.Replication(
                RouterSettings.FreshnessCheck.values()[random.nextInt(3)],
                random.nextInt(60) * MS,
                RouterSettings.TokenSource.CARRIED);
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
                    new RouterSettings(
                            i, count, random.nextInt(zones), true, classes, limits, rules, replication, price),
                    now,
                    action -> act(self, action)));
        }
    }

    private void drawClasses(double scale) {
        int count = 2 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            RequestClass.Access access =
                    i == 0 ? RequestClass.Access.WRITE : RequestClass.Access.values()[1 + random.nextInt(4)];
            RequestClass.Effect effect = access == RequestClass.Access.WRITE
                    ? RequestClass.Effect.values()[1 + random.nextInt(2)]
                    : RequestClass.Effect.SAFE;
            long aim = (long) ((300 + random.nextInt(900)) * MS * scale * (access == RequestClass.Access.ANY ? 4 : 1));
            classes.add(new RequestClass(
                    "c" + i,
                    access,
                    (long) (aim * 2 * random.nextDouble()) + 50 * MS,
                    effect,
                    RequestClass.KeyScope.GROUP,
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
        List<Endpoint> members = all.stream().map(Box::member).toList();
        for (int i = 0; i < routers.size(); i++) {
            give(i, new RouterEvent.EndpointUpdate(ListForm.RESTORED, members));
            give(i, new RouterEvent.EndpointUpdate(ListForm.FULL, members));
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

    private void give(int router, RouterEvent event) {
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
        RequestClass kind = classes.get(c.cls);
        long wait = (long) (kind.deadlineMicros() * (0.4 + 0.6 * random.nextDouble()));
        long since = random.nextBoolean() ? 0 : (1 + random.nextInt(900)) * MS;
        c.came = now;
        c.expires = now + wait;
        c.needs = kind.access() == RequestClass.Access.STRONG
                ? now
                : kind.access() == RequestClass.Access.SESSION && since > 0 ? now - since : Long.MIN_VALUE;
        calls.put(c.id, c);
        // Whoever keeps no answer rule is found by this: the final one is due with a little slack.
        in(wait + rules.answerSlackMicros() + MS, () -> {
            if (!c.over) {
                broken.add("answer: none in time for " + c.id + " of class " + c.cls);
                end(c);
            }
        });
        in((long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), this::arrive);
        give(
                c.router,
                new RouterEvent.RequestArrived(c.id, c.cls, false, "s" + random.nextInt(50), since, c.group, wait));
    }

    private void end(Call c) {
        c.over = true;
        calls.remove(c.id);
    }

    // ---- what routers do ----

    private void act(int router, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt send) {
            send(router, send);
        } else if (action instanceof RouterAction.Reject refuse) {
            Call c = calls.get(refuse.id());
            if (c == null || planted == Planted.ANSWER_KEPT_BACK && random.nextInt(4) == 0) {
                return;
            }
            RequestClass kind = classes.get(c.cls);
            if (c.out != null || c.mayHaveRunSince != Long.MAX_VALUE && kind.effect() != RequestClass.Effect.SAFE) {
                broken.add("effect: refused though it may have run: " + c.id);
            }
            refused++;
            end(c);
        } else if (action instanceof RouterAction.Fail fail) {
            Call c = calls.get(fail.id());
            if (c != null) {
                failed++;
                end(c);
            }
        } else if (action instanceof RouterAction.CheckHealth probe) {
            Box b = boxes.get(probe.node());
            in(
                    2 * MS,
                    () -> give(
                            router,
                            b.up
                                    ? new RouterEvent.HealthCheckEnded(
                                            b.id,
                                            AttemptOutcome.SERVED,
                                            2 * MS,
                                            b.at(),
                                            b.primary() ? ServerRole.PRIMARY : ServerRole.REPLICA)
                                    : new RouterEvent.HealthCheckEnded(
                                            b.id,
                                            AttemptOutcome.NOT_CONNECTED,
                                            2 * MS,
                                            LogPosition.UNKNOWN,
                                            ServerRole.UNKNOWN)));
        } else if (action instanceof RouterAction.SetTimer timer) {
            in(timer.delayMicros(), () -> give(router, new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.WatchEndpoints && random.nextInt(4) == 0) {
            in(50 * MS, () -> give(router, new RouterEvent.EndpointUpdate(ListForm.UNAVAILABLE, List.of())));
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            Call c = calls.get(cancel.id());
            if (c != null && c.out != null) {
                over(c.out, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void send(int router, RouterAction.StartAttempt send) {
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
        in(timeout, () -> over(w, AttemptOutcome.TIMED_OUT));
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
                        case READ_FROM_ANY_REPLICA -> classes.get(c.cls).access() == RequestClass.Access.SESSION
                                && !b.primary();
                        case COLD_ONE_FLOODED -> cold(b);
                        default -> b.listed == EndpointState.DRAINING;
                    };
            if (b.group == c.group && fits) {
                return b;
            }
        }
        return right;
    }

    private void check(Call c, Box b) {
        RequestClass kind = classes.get(c.cls);
        if (b.group != c.group || c.out != null || c.tries >= limits.maxAttempts()) {
            broken.add("effect: another group, a second at a time, or one too many: " + c.id);
        }
        boolean mayHaveRun = c.mayHaveRunSince != Long.MAX_VALUE;
        if (mayHaveRun
                && (kind.effect() == RequestClass.Effect.UNSAFE
                        || kind.effect() == RequestClass.Effect.KEYED
                                && now >= c.mayHaveRunSince + kind.keyTtlMicros())) {
            broken.add("effect: a repeat that may run twice: " + c.id);
        }
        if (b.listed != EndpointState.LIVE && now > b.toldLeaving + rules.drainGraceMicros()) {
            broken.add("drain: " + b.id + " was told to leave " + (now - b.toldLeaving) / MS + " ms ago");
        }
        long need = kind.access() == RequestClass.Access.BOUNDED ? now - kind.maxStalenessMicros() : c.needs;
        boolean read = kind.access() != RequestClass.Access.WRITE && kind.access() != RequestClass.Access.ANY;
        boolean excused = !toldReplica.getOrDefault(c.router + b.id, Boolean.TRUE);
        if (read
                && replication.check() == RouterSettings.FreshnessCheck.SILENT
                && b.at() < need
                && !b.primary()
                && !excused) {
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
            over(w, AttemptOutcome.NOT_CONNECTED);
            return;
        }
        RequestClass kind = classes.get(w.call.cls);
        long need = kind.access() == RequestClass.Access.BOUNDED ? w.sent - kind.maxStalenessMicros() : w.call.needs;
        boolean behind = replication.check() != RouterSettings.FreshnessCheck.SILENT
                && kind.access() != RequestClass.Access.ANY
                && b.at() < need;
        if (kind.access() == RequestClass.Access.WRITE ? !b.primary() : behind && !b.primary()) {
            over(w, AttemptOutcome.MISSED);
        } else if (b.queue.size() > 40 * b.cores) {
            over(w, AttemptOutcome.REJECTED);
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
                        over(w, luck == 1 ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
                    }
                    begin(b);
                }
            });
        }
    }

    private void over(Work w, AttemptOutcome ending) {
        if (w.over) {
            return;
        }
        w.over = true;
        Call c = w.call;
        if (!ending.neverRan) {
            c.mayHaveRunSince = Math.min(c.mayHaveRunSince, w.sent);
        }
        c.out = c.out == w ? null : c.out;
        boolean told = ending == AttemptOutcome.SERVED
                || ending == AttemptOutcome.MISSED
                || ending == AttemptOutcome.REJECTED
                || ending == AttemptOutcome.ERROR;
        ServerRole role = !told ? ServerRole.UNKNOWN : w.box.primary() ? ServerRole.PRIMARY : ServerRole.REPLICA;
        if (told) {
            toldReplica.put(c.router + w.box.id, role == ServerRole.REPLICA);
        }
        boolean done = ending == AttemptOutcome.SERVED && !c.over;
        if (done) {
            served++;
            end(c);
        }
        // A router that takes what may have run for what never did.
        AttemptOutcome heard = planted == Planted.REPEATED_WRITE && ending == AttemptOutcome.TIMED_OUT
                ? AttemptOutcome.NOT_CONNECTED
                : ending;
        give(
                c.router,
                new RouterEvent.AttemptEnded(
                        c.id,
                        w.number,
                        w.box.id,
                        heard,
                        now - w.sent,
                        c.over,
                        told ? w.box.at() : LogPosition.UNKNOWN,
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
        lost.forEach(w -> over(w, AttemptOutcome.BROKEN));
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
        tell(b, EndpointState.DRAINING);
        if (b.primary()) {
            in(500 * MS, () -> elect(b));
        }
        in(rules.drainGraceMicros() + 3 * SECOND, () -> tell(b, EndpointState.LIVE));
    }

    private void elect(Box old) {
        all.stream()
                .filter(x -> x.group == old.group && x != old && x.up && x.listed == EndpointState.LIVE)
                .findFirst()
                .ifPresent(next -> primaries[old.group] = next);
    }

    private void tell(Box b, EndpointState health) {
        b.toldLeaving = health == EndpointState.LIVE ? Long.MAX_VALUE : Math.min(b.toldLeaving, now);
        b.listed = health;
        for (int i = 0; i < routers.size(); i++) {
            give(i, new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(b.member())));
        }
    }
}
