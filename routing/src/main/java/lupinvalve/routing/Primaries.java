package lupinvalve.routing;

import lupinvalve.routing.State.*;

/** Who is primary of a group, by what its members told of themselves, and where writes go. */
final class Primaries {
    private static final long SCOUT_PACE = 40_000;
    private final Scene s;
    private final Limits limits;
    private final Health health;

    Primaries(Scene scene, Limits limits, Health health) {
        s = scene;
        this.limits = limits;
        this.health = health;
    }

    /** Positions never go back: the greatest one told stays proven. */
    void learn(Node n, long position, ServerRole role, boolean answer) {
        Group g = n.group;
        if (position != LogPosition.UNKNOWN) {
            if (position > n.position) {
                n.position = position;
            }
            if (answer || n.lag < 0 || position >= n.position) {
                n.lag = Math.max(0, s.now - n.position);
                n.heardAt = s.now;
            }
        }
        if (role == ServerRole.REPLICA && answer) {
            n.replicaAt = s.now;
            if (g.primary == n) {
                lose(g);
            }
        } else if (role == ServerRole.REPLICA) {
            if (g.primary == n && position > g.claim && g.claim != Long.MIN_VALUE) {
                n.replicaAt = Math.max(n.replicaAt, position);
                lose(g);
            }
        } else if (role == ServerRole.PRIMARY) {
            // A primary stands at the present, so its position dates the claim however late a report comes.
            long at = position == LogPosition.UNKNOWN ? s.now : position;
            if (at > g.claim && at > n.replicaAt) {
                g.claim = at;
                g.primary = n;
            }
        }
    }

    void lose(Group g) {
        g.primary = null;
        g.changeProbeAt = s.now;
        g.scoutAt = s.now;
    }

    /** Leaving members take nothing new; a draining primary takes writes until its successor shows. */
    boolean listed(Node n, boolean write) {
        return n.health == EndpointState.LIVE
                || n.health == EndpointState.DRAINING
                        && write
                        && s.now < n.toldLeaving + s.settings.rules().drainGraceMicros() * 3 / 4;
    }

    boolean ready(Node p, boolean write) {
        return p != null && listed(p, write) && health.healthy(p) && (write || !health.shunned(p));
    }

    Node forWrite(Pending r) {
        Group g = r.group;
        Node p = g.primary;
        if (ready(p, true)) {
            return limits.room(p, r, 1) && mayRun(r, p) ? p : null;
        }
        boolean known = p != null && listed(p, true);
        if (known || s.now < g.scoutAt || r.attempts > s.settings.limits().maxAttempts() / 2) {
            return null;
        }
        // No primary is known: members are tried in sorted order; a pause follows a full round of misses.
        while (g.scout < g.members.size()) {
            Node n = g.members.get(g.scout++);
            boolean usable = n.health == EndpointState.LIVE && health.healthy(n);
            if (usable && limits.room(n, r, 1) && mayRun(r, n)) {
                g.scoutAt = s.now + SCOUT_PACE;
                return n;
            }
        }
        g.scout = 0;
        g.scoutAt = s.now + 3 * SCOUT_PACE;
        return null;
    }

    /** A repeat of keyed work that may have run stays where repeats are dropped, and in that time. */
    boolean mayRun(Pending r, Node n) {
        if (r.mayHaveRunSince == Long.MAX_VALUE || r.kind.effect() == RequestClass.Effect.SAFE) {
            return true;
        }
        if (r.kind.effect() == RequestClass.Effect.UNSAFE || s.now >= r.mayHaveRunSince + r.kind.keyTtlMicros()) {
            return false;
        }
        return r.kind.keyScope() != RequestClass.KeyScope.ZONE || n.zone == r.mayHaveRunAt.zone;
    }
}
