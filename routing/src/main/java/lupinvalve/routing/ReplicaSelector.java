package lupinvalve.routing;

import java.util.function.Predicate;

/**
 * Which replica a read goes to: of those that are usable, fresh enough and have capacity, the one that costs least,
 * where cost is the work ahead of the read there, weighted by zone, long reads and earlier attempts. Members are looked
 * at in turn, beginning behind the one selected last. Where there is none, {@link PrimaryFallback} decides.
 */
final class ReplicaSelector {
    /** What a replica in another zone costs at least against one in the own. */
    private static final double OTHER_ZONE_COST_MULTIPLE = 1.3;
    /**
     * What a zone crossing's price adds: an attempt ahead costs about 1/75 of a priority weight, as answers come late.
     */
    private static final double CROSSING_PRICE_COST_MULTIPLE = 75;
    /** What the replica reserved for long reads costs for others; reads of any age rather go there. */
    private static final double RESERVED_COST_MULTIPLE = 3;

    private static final double LAST_SERVER_COST_MULTIPLE = 4;
    private static final double ERRED_COST_MULTIPLE = 50;
    /** A server in slow start that the request was drawn for is preferred, or its budget would be lost. */
    private static final double DRAWN_COST_MULTIPLE = 0.01;
    /** Where routers are many, less than this part of another's cost counts as less: few answers differ by chance. */
    private static final double SPARSE_LESS_COST_RATIO = 0.85;

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
    private final LoadStatistics load;
    private final ServerEligibility eligibility;
    private final Admission admission;
    private final SlowStart slowStart;
    private final LongReadPlacement longReads;
    private final PrimaryFallback fallback;
    private final HealthChecker healthChecker;
    private final AttemptDispatcher dispatcher;
    private final Scan scan = new Scan();
    private final Predicate<Server> readableReplica = this::isReadableReplica;
    private final double otherZoneCost;
    private final double lessCostRatio;

    ReplicaSelector(
            RouterContext context,
            ReplicationLag lag,
            LoadStatistics load,
            InFlightLimit limit,
            ServerEligibility eligibility,
            Admission admission,
            SlowStart slowStart,
            LongReadPlacement longReads,
            PrimaryFallback fallback,
            HealthChecker healthChecker,
            AttemptDispatcher dispatcher) {
        this.context = context;
        this.lag = lag;
        this.load = load;
        this.eligibility = eligibility;
        this.admission = admission;
        this.slowStart = slowStart;
        this.longReads = longReads;
        this.fallback = fallback;
        this.healthChecker = healthChecker;
        this.dispatcher = dispatcher;
        double crossingCost =
                1 + CROSSING_PRICE_COST_MULTIPLE * context.settings().crossZonePrice();
        otherZoneCost = Math.max(OTHER_ZONE_COST_MULTIPLE, crossingCost);
        lessCostRatio = limit.isSparse() ? SPARSE_LESS_COST_RATIO : 1;
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
            double cost = cost(server, request, reserved);
            if (cost < scan.leastCost * lessCostRatio) {
                scan.leastCost = cost;
                scan.best = server;
            }
        }
    }

    private boolean isReadableReplica(Server server) {
        return server != server.group.primary() && eligibility.isEligible(server, false);
    }

    private double cost(Server server, PendingRequest request, Server reserved) {
        return (server.inFlight.count() + 1)
                * load.slowness(server)
                * (server.listing.zone() == context.settings().zone() ? 1 : otherZoneCost)
                * (server != reserved ? 1 : reservedCost(request))
                * (server == request.history.lastServer() ? LAST_SERVER_COST_MULTIPLE : 1)
                * earlierErrorCost(server, request);
    }

    private double reservedCost(PendingRequest request) {
        boolean anyAge = request.requestClass.access() == RequestClass.Access.ANY;
        return anyAge ? 1 / RESERVED_COST_MULTIPLE : RESERVED_COST_MULTIPLE;
    }

    private double earlierErrorCost(Server server, PendingRequest request) {
        if (request.history.erredServers().contains(server)) {
            return ERRED_COST_MULTIPLE;
        }
        return slowStart.isDrawnForServer(server) ? DRAWN_COST_MULTIPLE : 1;
    }
}
