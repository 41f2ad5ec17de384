package lupinvalve.routing;

/**
 * What a read costs at a replica: the work ahead of it there, in attempts times latency over work, weighted by zone,
 * long reads and earlier attempts.
 */
final class ReplicaCost {
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

    private final RouterContext context;
    private final LoadStatistics load;
    private final SlowStart slowStart;
    private final double otherZoneCost;
    private final double lessCostRatio;

    ReplicaCost(RouterContext context, LoadStatistics load, InFlightLimit limit, SlowStart slowStart) {
        this.context = context;
        this.load = load;
        this.slowStart = slowStart;
        double crossingCost =
                1 + CROSSING_PRICE_COST_MULTIPLE * context.settings().crossZonePrice();
        otherZoneCost = Math.max(OTHER_ZONE_COST_MULTIPLE, crossingCost);
        lessCostRatio = limit.isSparse() ? SPARSE_LESS_COST_RATIO : 1;
    }

    /** Whether a cost counts as less than the least one so far. */
    boolean isLess(double cost, double leastCost) {
        return cost < leastCost * lessCostRatio;
    }

    /** The cost of one replica for a read; {@code reserved} is the replica for long reads, or null. */
    double of(Server server, PendingRequest request, Server reserved) {
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
