package lupinvalve.routing;

/**
 * Slow start: bounds the requests that a server gets while it warms up after a start of its process. With each request
 * that warm servers serve for this router, the budget of the server in slow start grows by a part of a request, in
 * proportion to its present capacity. So all routers together stay below the load that the server can bear, however
 * unevenly they are loaded. Budget is earned by served requests rather than by started attempts, since attempts that
 * are rejected and retried show no capacity, and rather than by latencies, since waiting in queues increases them.
 *
 * <p>Where there are many routers (see {@link InFlightLimit#hasManyRouters}), the budgets that all of them have saved
 * must not be spent at once. So each request considered for the server uses up a part of the budget, and one is
 * admitted whenever these parts add up to a whole request, see {@link SlowStartBudget#spendPart}.
 */
final class SlowStart {
    /** The part of the load that a server in slow start can bear which the routers send to it; the rest is a margin. */
    private static final double USED_CAPACITY_RATIO = 0.75;

    /**
     * The greatest budget that a router saves for a server, in requests. Where there are many routers it is this number
     * times the part of the budget that one request uses up, since the savings of many routers must not be spent at
     * once.
     */
    private static final double MAX_SAVED_REQUESTS = 3;
    /**
     * While no server is warm, a router admits a request at a server with a probability of this divided by the number
     * of routers, so that, if each router has one request, about this many of all these are admitted at the server.
     */
    private static final double NO_WARM_SERVER_EXPECTED_ADMISSIONS = 10;
    /**
     * While no server is warm, a write is admitted only if fewer than this many attempts of this router, of any kind,
     * are in flight to the server.
     */
    private static final int NO_WARM_SERVER_MAX_IN_FLIGHT_FOR_WRITE = 3;
    /**
     * While no server is warm, a read is admitted only if fewer than this many attempts of this router, of any kind,
     * are in flight to the server.
     */
    private static final int NO_WARM_SERVER_MAX_IN_FLIGHT_FOR_READ = 1;
    /**
     * The draw for slow start is the fractional part of a request's draw for load shedding times this, plus a shift for
     * each server. So it depends on the fifth and later decimals of that draw, which hardly affect load shedding.
     */
    private static final double DRAW_SCALE = 1e4;
    /**
     * The shift for a server is the hash of the server's id times this, so that each server gets another draw for the
     * same request. This is about the golden ratio's fractional part, whose multiples spread evenly between 0 and 1.
     */
    private static final double SERVER_DRAW_STEP = 0.618;

    /** The last start and the slow start budget of one server. */
    static final class State {
        private long startedMicros = Long.MIN_VALUE;
        private final SlowStartBudget budget = new SlowStartBudget();
    }

    private final RouterContext context;
    private final ServerTable servers;
    private final LoadStatistics load;
    private final InFlightLimit limit;

    SlowStart(RouterContext context, ServerTable servers, LoadStatistics load, InFlightLimit limit) {
        this.context = context;
        this.servers = servers;
        this.load = load;
        this.limit = limit;
    }

    /**
     * Returns a server's capacity as a part of its capacity when warm. It grows linearly with the time since its start,
     * from the initial ratio to 1 at the end of the warm-up time.
     *
     * @param ageMicros the time since the start; a negative one counts as 0
     */
    static double capacityRatio(RouterSettings.Rules rules, long ageMicros) {
        double elapsedRatio = (double) ageMicros / Math.max(1, rules.warmUpMicros());
        return rules.initialCapacityRatio()
                + (1 - rules.initialCapacityRatio()) * Math.min(1, Math.max(0, elapsedRatio));
    }

    /**
     * Begins the slow start of a server whose process has started. The budget begins at a random part of a request,
     * which differs between routers, so that they don't all send their first request at the same time.
     */
    void begin(Server server, long startedMicros) {
        server.slowStart.startedMicros = Math.max(server.slowStart.startedMicros, startedMicros);
        double initialPart = context.random().nextDouble();
        server.slowStart.budget.restart(
                load.servedByWarmServers(), limit.hasManyRouters() ? 0 : initialPart, initialPart);
        limit.serverRestarted(server);
    }

    /** Whether the time since the server's last known start is less than the warm-up time. */
    boolean inSlowStart(Server server) {
        long startedMicros = server.slowStart.startedMicros;
        return startedMicros != Long.MIN_VALUE
                && context.nowMicros() - startedMicros
                        < context.settings().rules().warmUpMicros();
    }

    /**
     * Whether this server is to be preferred to other servers for a request that {@link #admits} has just admitted
     * here. It is where the admission used up budget or was drawn at random, since such an admission holds for this
     * server only and would be lost if the request went elsewhere.
     */
    boolean isAdmissionServerSpecific(Server server) {
        return limit.hasManyRouters() && inSlowStart(server);
    }

    /**
     * Whether slow start admits a request at a server. Where there are many routers, a call uses up budget, see
     * {@link SlowStartBudget#spendPart}; otherwise {@link #attemptStarted} does. Long-running reads are never admitted
     * during slow start.
     */
    boolean admits(Server server, PendingRequest request) {
        if (!inSlowStart(server)) {
            return true;
        }
        if (request.longRead) {
            return false;
        }
        int warmServers = countWarmServers();
        return warmServers == 0
                ? admitsWithoutWarmServers(server, request)
                : admitsByBudget(server, request, warmServers);
    }

    /**
     * Admits at random while no server is warm, as then no budget is earned. The draw is derived from the request and
     * the server, so it is the same at each try to place the request.
     */
    private boolean admitsWithoutWarmServers(Server server, PendingRequest request) {
        double draw = request.sheddingDraw * DRAW_SCALE + server.id.hashCode() * SERVER_DRAW_STEP;
        draw -= Math.floor(draw);
        return server.inFlight.count()
                        < (request.isWrite()
                                ? NO_WARM_SERVER_MAX_IN_FLIGHT_FOR_WRITE
                                : NO_WARM_SERVER_MAX_IN_FLIGHT_FOR_READ)
                && draw
                        < NO_WARM_SERVER_EXPECTED_ADMISSIONS
                                / context.settings().instanceCount();
    }

    /**
     * Adds to the server's budget what it has earned since the last call, and admits the request if the budget
     * suffices.
     *
     * <p>The number of requests that the server may get for each request that one warm server serves is its capacity
     * ratio, times the multiple of its capacity that overloads it, times {@link #USED_CAPACITY_RATIO}. A request that
     * any of the warm servers has served earns this number divided by the number of warm servers.
     *
     * <p>Where there are many routers, each request considered for the server uses up part of the budget: a write uses
     * up the number of the paragraph above (requests for each request that one warm server serves), but at most 1; a
     * read uses up that divided by the number of the group's replicas, as it is considered for each of them. The
     * capacity ratio used then is that of {@code overloadMicros} ago, because the load at a server in slow start is
     * counted over that time.
     */
    private boolean admitsByBudget(Server server, PendingRequest request, int warmServers) {
        RouterSettings.Rules rules = context.settings().rules();
        boolean manyRouters = limit.hasManyRouters();
        long ageMicros =
                context.nowMicros() - server.slowStart.startedMicros - (manyRouters ? rules.overloadMicros() : 0);
        double requestsPerRequestOfWarmServer =
                capacityRatio(rules, ageMicros) * rules.overloadMultiple() * USED_CAPACITY_RATIO;
        int candidateServers = request.isWrite() ? 1 : Math.max(1, server.group.members.size() - 1);
        double usedUpPerConsideredRequest = Math.min(1, requestsPerRequestOfWarmServer) / candidateServers;
        SlowStartBudget budget = server.slowStart.budget;
        double maxSaved = manyRouters ? MAX_SAVED_REQUESTS * usedUpPerConsideredRequest : MAX_SAVED_REQUESTS;
        budget.earn(load.servedByWarmServers(), requestsPerRequestOfWarmServer / warmServers, maxSaved);
        return manyRouters ? budget.spendPart(usedUpPerConsideredRequest) : budget.hasWholeRequest();
    }

    /** Uses up the budget of one request for an attempt that was started, unless {@link #admits} has done so. */
    void attemptStarted(Server server) {
        server.slowStart.budget.spend(limit.hasManyRouters() ? 0 : 1);
    }

    private int countWarmServers() {
        int count = 0;
        for (Server server : servers.servers()) {
            boolean usable = server.listing.state() == EndpointState.LIVE && !server.outlier.isEjected();
            count += usable && !inSlowStart(server) ? 1 : 0;
        }
        return count;
    }
}
