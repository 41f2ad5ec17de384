package lupinvalve.routing;

import lupinvalve.routing.State.Attempt;
import lupinvalve.routing.State.Node;
import lupinvalve.routing.State.Scene;

/** How long idle connections are kept: less after one was lost unseen or filled a table, then ever more. */
final class Idle {
    /** Bounds on how long one is kept, its cut for a loss, and its growth a tick. */
    private static final double LEAST = 250_000, MOST = 60e6, CUT = 0.7, GROW = 1.003;

    private final Scene s;
    private double keep = MOST;

    Idle(Scene scene) {
        s = scene;
    }

    double keep() {
        return keep;
    }

    void grow() {
        keep = Math.min(MOST, keep * GROW);
    }

    /** A member's table was full, partly of idle connections. */
    void cut() {
        keep = Math.max(LEAST, keep * CUT);
    }

    /** Whether an attempt on a connection that idled so long may have met one that was dropped unseen. */
    boolean doubts(long idleMicros) {
        return idleMicros > LEAST && keep < MOST;
    }

    boolean suspects(Attempt a) {
        return a.idle() > LEAST;
    }

    void lost(Node n, Attempt a) {
        keep = Math.max(LEAST, Math.min(keep, a.idle() * CUT));
        close(n);
    }

    void tick(Node n) {
        if (n.connected && n.out.isEmpty() && s.now - n.usedAt > keep) {
            close(n);
        }
    }

    void close(Node n) {
        n.connected = false;
        s.act.accept(new RouterAction.CloseIdleConnections(n.id));
    }
}
