package lupinvalve.routing;

/**
 * The cost of a read at a replica, by which {@link ReplicaSelector} compares replicas. It is a relative number without
 * unit: the attempts in flight there including this one, times the replica's slowdown (latency over service time),
 * which estimates the load ahead of the read; times factors for another zone, the replica reserved for long-running
 * reads, this request's earlier attempts, and slow start.
 */
final class ReplicaCost {
    /** The least cost factor of a replica in another zone. */
    private static final double OTHER_ZONE_COST_MULTIPLE = 1.3;
    /**
     * The cost factor added for each unit of the price of a zone crossing, which is a part of a request's priority
     * weight. One more attempt ahead of a read makes so many answers late that it costs about 1/75 of a priority
     * weight, so the price of a whole priority weight equals 75 attempts ahead.
     */
    private static final double CROSSING_PRICE_COST_MULTIPLE = 75;
    /**
     * The cost factor of the replica reserved for long-running reads, for all reads but those that accept data of any
     * age. For these its inverse is used, as they should go to that replica first.
     */
    private static final double RESERVED_COST_MULTIPLE = 3;

    /** The cost factor of the server that the request's last attempt went to. */
    private static final double LAST_SERVER_COST_MULTIPLE = 4;
    /** The cost factor of a server that answered an earlier attempt of the request with an error. */
    private static final double ERRED_COST_MULTIPLE = 50;
    /**
     * The cost factor of a server in slow start that admitted the read, where there are many routers. It is far below
     * 1, so that the read goes there: the admission holds for that server only, and the budget that it used up would be
     * lost otherwise.
     */
    private static final double SERVER_SPECIFIC_ADMISSION_COST_MULTIPLE = 0.01;
    /**
     * Where there are many routers (see {@link InFlightLimit#hasManyRouters}), a cost counts as less only below this
     * part of the other: costs then rest on few answers, which differ by chance.
     */
    private static final double MANY_ROUTERS_LOWER_COST_BOUND_RATIO = 0.85;

    private final RouterContext context;
    private final LoadStatistics load;
    private final SlowStart slowStart;
    private final double otherZoneCost;
    private final double lowerCostBoundRatio;

    ReplicaCost(RouterContext context, LoadStatistics load, InFlightLimit limit, SlowStart slowStart) {
        this.context = context;
        this.load = load;
        this.slowStart = slowStart;
        double crossingCost =
                1 + CROSSING_PRICE_COST_MULTIPLE * context.settings().crossZonePrice();
        otherZoneCost = Math.max(OTHER_ZONE_COST_MULTIPLE, crossingCost);
        lowerCostBoundRatio = limit.hasManyRouters() ? MANY_ROUTERS_LOWER_COST_BOUND_RATIO : 1;
    }

    /** Whether a cost counts as less than the least cost so far. */
    boolean isLess(double cost, double leastCost) {
        return cost < leastCost * lowerCostBoundRatio;
    }

    /**
     * Returns the cost of one replica for a read.
     *
     * @param reserved the replica reserved for long-running reads, or null
     */
    double of(Server server, PendingRequest request, Server reserved) {
        return (server.inFlight.count() + 1)
                * load.slowdown(server)
                * (server.listing.zone() == context.settings().zone() ? 1 : otherZoneCost)
                * (server != reserved ? 1 : reservedCost(request))
                * (server == request.history.lastServer() ? LAST_SERVER_COST_MULTIPLE : 1)
                * errorOrSlowStartCost(server, request);
    }

    private double reservedCost(PendingRequest request) {
        boolean anyAge = request.requestClass.access() == RequestClass.Access.ANY;
        return anyAge ? 1 / RESERVED_COST_MULTIPLE : RESERVED_COST_MULTIPLE;
    }

    private double errorOrSlowStartCost(Server server, PendingRequest request) {
        if (request.history.erredServers().contains(server)) {
            return ERRED_COST_MULTIPLE;
        }
        return slowStart.isAdmissionServerSpecific(server) ? SERVER_SPECIFIC_ADMISSION_COST_MULTIPLE : 1;
    }
}
