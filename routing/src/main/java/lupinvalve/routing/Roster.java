package lupinvalve.routing;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import lupinvalve.routing.State.Group;
import lupinvalve.routing.State.Node;
import lupinvalve.routing.State.Scene;

/**
 * The table of db nodes, by what discovery lists. Watches the list: asks at the start, and again after a failure, ever
 * more rarely and spread over time.
 */
final class Roster {
    /**
     * Pauses before discovery is asked again. A change binds some seconds after discovery had it and could be reached,
     * whatever calls have failed by then: the longest pause and a call that hangs must fit in twice.
     */
    private static final long ASK_FIRST = 250_000, ASK_MOST = 750_000;

    private static final int DOUBLINGS = 2;
    /** How long a member that is gone is remembered, should the list name it again or a probe still end. */
    private static final long GONE_KEPT = 5_000_000;

    private final Scene s;
    private final Limits limits;
    private final Primaries primaries;
    private boolean subscribed;
    private int failures;
    private long askAt;

    Roster(Scene scene, Limits limits, Primaries primaries) {
        s = scene;
        this.limits = limits;
        this.primaries = primaries;
        if (s.settings.mustSubscribe()) {
            subscribe();
        }
    }

    private void subscribe() {
        s.act.accept(new RouterAction.WatchEndpoints(true));
        askAt = s.now + Math.max(1_000_000, s.settings.rules().pollWithinMicros() / 2);
    }

    private void failed() {
        subscribed = false;
        long most = Math.min(ASK_MOST, s.settings.rules().pollWithinMicros() / 4 + 1);
        long pause = Math.min(ASK_FIRST << Math.min(failures++, DOUBLINGS), most);
        askAt = s.now + pause / 2 + s.random.nextLong(pause / 2 + 1);
    }

    private void heard() {
        subscribed = true;
        failures = 0;
    }

    void tick() {
        if (s.settings.mustSubscribe() && !subscribed && s.now >= askAt) {
            subscribe();
        }
    }

    void take(RouterEvent.EndpointUpdate news) {
        if (news.form() == ListForm.UNAVAILABLE) {
            failed();
            return;
        }
        if (news.form() != ListForm.RESTORED) {
            heard();
        }
        boolean whole = news.form() != ListForm.UPDATE;
        // Of thousands: each is looked up and taken out once.
        Set<Node> unnamed = whole ? new LinkedHashSet<>(s.nodes.values()) : new LinkedHashSet<>();
        for (Endpoint m : news.endpoints()) {
            if (m.state() == EndpointState.DEPARTED && !s.nodes.containsKey(m.node())) {
                continue;
            }
            Node n = s.nodes.computeIfAbsent(
                    m.node(), id -> new Node(id, limits.startLimit, Limits.gauge(), Limits.gauge()));
            if (n.group == null) {
                adopt(n, m);
            }
            unnamed.remove(n);
            n.zone = m.zone();
            setHealth(n, m.state(), news.notifiedSinceMicros());
            restarted(n, m.startedAtMicros());
            if (m.listedPrimary()
                    && n.group.primary == null
                    && n.replicaAt == Long.MIN_VALUE
                    && m.state() == EndpointState.LIVE) {
                n.group.primary = n;
            }
        }
        unnamed.forEach(n -> setHealth(n, EndpointState.DEPARTED, news.notifiedSinceMicros()));
    }

    private void adopt(Node n, Endpoint m) {
        int classes = s.settings.classes().size();
        Group g = s.groups.computeIfAbsent(
                m.group(), id -> new Group(Limits.gauge(), Limits.gauge(), classes, s.random.nextInt(1 << 16)));
        n.group = g;
        g.members.add(n);
        g.members.sort(Comparator.comparing(x -> x.id));
    }

    /** Guards the time that a departing member may still be written to: news that may be old leaves nothing of it. */
    private void setHealth(Node n, EndpointState health, long toldSince) {
        if (health != EndpointState.LIVE && n.health == EndpointState.LIVE) {
            long oldest = s.now - s.settings.rules().drainGraceMicros();
            n.toldLeaving = Math.min(s.now, Math.max(oldest, toldSince));
        }
        n.health = health;
        if (health == EndpointState.DEPARTED && n.group.primary == n) {
            primaries.lose(n.group);
        }
    }

    /** A later start means a cold process that has lost whatever role it had. */
    private void restarted(Node n, long born) {
        if (born <= n.born) {
            return;
        }
        n.born = born;
        limits.chill(n, born);
        if (n.group.primary == n && n.group.claim < born) {
            primaries.lose(n.group);
        }
    }

    /** Forgets members that have long left. */
    void forget() {
        s.nodes.values().removeIf(this::forgotten);
    }

    /** Each deploy brings new ids: members that have left, and have nothing out, must not pile up. */
    private boolean forgotten(Node n) {
        boolean over = n.health == EndpointState.DEPARTED && n.out.isEmpty() && s.now > n.toldLeaving + GONE_KEPT;
        if (over) {
            n.group.members.remove(n);
        }
        return over;
    }
}
