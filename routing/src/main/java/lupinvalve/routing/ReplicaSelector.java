package lupinvalve.routing;

import java.util.function.Predicate;

/**
 * Selects the replica that a read goes to: of those that are eligible, fresh enough and admit the read, the one of
 * least {@link ReplicaCost}. Members are examined round-robin, beginning after the one selected last, so that the first
 * of several replicas with equal cost differs each time. Where no replica qualifies, {@link PrimaryFallback} decides
 * whether the read goes to the primary.
 */
final class ReplicaSelector {
    /** The round-robin position in one group. */
    static final class State {
        private int nextIndex;

        State(int firstIndex) {
            nextIndex = firstIndex;
        }
    }

    /** The result of examining a group's replicas for one request. One object is reused for all requests. */
    private static final class Scan {
        private Server best;
        private double leastCost;
        /** Whether a replica was fresh enough but did not admit the read. */
        private boolean atLimit;
        /** Whether load shedding rejected the read for a replica. */
        private boolean shed;
        /** The shortest expected time until a replica is fresh enough. */
        private long untilFreshMicros;

        void reset() {
            best = null;
            leastCost = Double.MAX_VALUE;
            atLimit = false;
            shed = false;
            untilFreshMicros = Long.MAX_VALUE;
        }
    }

    private final RouterContext context;
    private final ReplicationLag lag;
    private final ServerEligibility eligibility;
    private final Admission admission;
    private final ReplicaCost costs;
    private final LongReadPlacement longReads;
    private final PrimaryFallback fallback;
    private final HealthChecker healthChecker;
    private final AttemptDispatcher dispatcher;
    private final Scan scan = new Scan();
    private final Predicate<Server> readableReplica = this::isReadableReplica;

    ReplicaSelector(
            RouterContext context,
            ReplicationLag lag,
            ServerEligibility eligibility,
            Admission admission,
            ReplicaCost costs,
            LongReadPlacement longReads,
            PrimaryFallback fallback,
            HealthChecker healthChecker,
            AttemptDispatcher dispatcher) {
        this.context = context;
        this.lag = lag;
        this.eligibility = eligibility;
        this.admission = admission;
        this.costs = costs;
        this.longReads = longReads;
        this.fallback = fallback;
        this.healthChecker = healthChecker;
        this.dispatcher = dispatcher;
    }

    /**
     * Starts a read at the replica of least cost, or at the primary where {@link PrimaryFallback} decides so. If the
     * read has to wait for a fresh replica, requests a health check of one, whose report may prove it fresh.
     */
    PlacementResult place(PendingRequest request) {
        ServerGroup group = request.group;
        scanReplicas(request);
        Server replica = scan.best;
        if (replica != null) {
            boolean spillsOver = fallback.spillsOver(request, replica);
            group.selection.nextIndex = group.members.indexOf(replica) + 1;
            dispatcher.start(request, spillsOver ? group.primary() : replica);
            return PlacementResult.STARTED;
        }
        if (fallback.isDue(request, scan.atLimit, scan.untilFreshMicros)) {
            return fallback.place(request, scan.shed);
        }
        healthChecker.checkForWaitingRead(group, readableReplica);
        return PlacementResult.notStarted(scan.shed);
    }

    private void scanReplicas(PendingRequest request) {
        ServerGroup group = request.group;
        long requiredPosition = request.requiredPosition(context.nowMicros());
        Server reserved = longReads.reservedReplica(group, null);
        int size = group.members.size();
        scan.reset();
        for (int i = 0; i < size; i++) {
            Server server = group.members.get((group.selection.nextIndex + i) % size);
            if (!isReadableReplica(server)) {
                continue;
            }
            if (!lag.isFresh(server, requiredPosition, request.history.attempts())) {
                scan.untilFreshMicros = Math.min(scan.untilFreshMicros, lag.untilFreshMicros(server, requiredPosition));
                continue;
            }
            AdmissionResult admitted = admission.admit(server, request, 1);
            if (admitted != AdmissionResult.ADMITTED) {
                scan.atLimit = true;
                scan.shed |= admitted == AdmissionResult.SHED;
                continue;
            }
            double cost = costs.of(server, request, reserved);
            if (costs.isLess(cost, scan.leastCost)) {
                scan.leastCost = cost;
                scan.best = server;
            }
        }
    }

    private boolean isReadableReplica(Server server) {
        return server != server.group.primary() && eligibility.isEligible(server, false);
    }
}
