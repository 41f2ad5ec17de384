package lupinvalve.routing;

import java.util.function.Predicate;

/**
 * Which replica a read goes to: of those that are usable, fresh enough and have capacity, the one of least
 * {@link ReplicaCost}. Members are looked at in turn, beginning behind the one selected last. Where none is left,
 * {@link PrimaryFallback} decides.
 */
final class ReplicaSelector {
    /** Whose turn it is in one group. */
    static final class State {
        private int turn;

        State(int firstTurn) {
            turn = firstTurn;
        }
    }

    /** What a look at a group's replicas found; one object, used for one request at a time. */
    private static final class Scan {
        private Server best;
        private double leastCost;
        private boolean atLimit;
        private boolean shed;
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

    /** Starts a read at the best replica, or at the primary where the fallback is due. */
    PlacementResult place(PendingRequest request) {
        ServerGroup group = request.group;
        scanReplicas(request);
        Server replica = scan.best;
        if (replica != null) {
            boolean spillsOver = fallback.spillsOver(request, replica);
            group.selection.turn = group.members.indexOf(replica) + 1;
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
            Server server = group.members.get((group.selection.turn + i) % size);
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
