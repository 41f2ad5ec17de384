package lupinvalve.routing;

import lupinvalve.routing.State.Gauge;
import lupinvalve.routing.State.Node;
import lupinvalve.routing.State.Pending;
import lupinvalve.routing.State.Scene;

/**
 * What answers tell of load: latency over work and latency over aim of each db node, each group and all db nodes of one
 * role, and the work of each class. Bookkeeping only; {@link Limits} decides what follows.
 */
final class LoadStatistics {
    /** First estimate of a class's work, as a part of its aim. */
    private static final double FIRST_WORK = 1 / 8.0;
    /** How fast the estimate of work falls to a shorter latency, and rises to a longer one. */
    private static final double WORK_FALLS = 0.1;

    private static final double WORK_RISES = 0.02;
    private final Scene context;
    private final double usualPressure;
    private final double usualSlowness;
    private final Gauge replicaLoad = Limits.gauge();
    private final Gauge primaryLoad = Limits.gauge();
    private final double[] work;
    private double warmServed;

    /**
     * Starts empty: where nothing was seen yet, latency over aim and latency over work are taken for the usual ones.
     */
    LoadStatistics(Scene context, double usualPressure, double usualSlowness) {
        this.context = context;
        this.usualPressure = usualPressure;
        this.usualSlowness = usualSlowness;
        work = context.settings.classes().stream()
                .mapToDouble(kind -> kind.latencyObjectiveMicros() * FIRST_WORK)
                .toArray();
    }

    /** Latency over aim at a db node; it leans on that at its group's replicas, that on all of its kind. */
    double pressure(Node node) {
        boolean primary = node == node.group.primary;
        double all = (primary ? primaryLoad : replicaLoad).mean(context.now, usualPressure);
        return node.load.mean(context.now, primary ? all : node.group.load.mean(context.now, all));
    }

    /** Latency over work at a db node, leaning likewise. */
    double slow(Node node) {
        return node.slow.mean(context.now, node.group.slow.mean(context.now, usualSlowness));
    }

    /** How long the work of a request of this class takes where nothing else is done, in microseconds. */
    double work(Pending request) {
        return work[request.cls()];
    }

    /** How long an answer for a held request will take at its group, as far as it is known. */
    double takes(Pending request) {
        double all = replicaLoad.mean(context.now, usualPressure);
        return request.group.load.mean(context.now, all) * request.kind.latencyObjectiveMicros();
    }

    /** How many requests warm db nodes have served. */
    double warmServed() {
        return warmServed;
    }

    /** Notes a latency over aim. */
    void press(Node node, double overAim) {
        node.load.add(context.now, overAim);
        if (node == node.group.primary) {
            primaryLoad.add(context.now, overAim);
        } else {
            node.group.load.add(context.now, overAim);
            replicaLoad.add(context.now, overAim);
        }
    }

    /** Notes a served request and its latency; whether it counts among those that warm db nodes served. */
    void served(Node node, Pending request, long elapsed, boolean warm) {
        double before = work[request.cls()];
        work[request.cls()] += (elapsed < before ? WORK_FALLS : WORK_RISES) * (elapsed - before);
        double overWork = elapsed / work[request.cls()];
        node.slow.add(context.now, overWork);
        node.group.slow.add(context.now, overWork);
        press(node, (double) elapsed / request.kind.latencyObjectiveMicros());
        warmServed += warm ? 1 : 0;
    }
}
