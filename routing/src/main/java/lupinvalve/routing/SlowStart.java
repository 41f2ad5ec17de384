package lupinvalve.routing;

/**
 * Slow start: how much a server gets while it warms up after its process started. It earns requests as warm servers
 * serve theirs, in proportion to its capacity of the moment, so all routers together keep it under what it can do
 * however unevenly they are loaded. Served requests count, not started attempts, since retries prove nothing, and not
 * latencies, since queues swell them.
 */
final class SlowStart {
    /** Part of what a server in slow start bears that it is given. */
    private static final double USED_CAPACITY_RATIO = 0.75;

    /** Budget that a router saves for a server; where routers are many, multiplied by what one request uses up. */
    private static final double MAX_SAVED_REQUESTS = 3;
    /** While no server is warm, each router admits a request with this probability divided by the number of routers. */
    private static final double NO_WARM_SERVER_ATTEMPTS = 10;
    /** Attempts of one router in flight to a server while no server is warm. */
    private static final int NO_WARM_SERVER_WRITES = 3;

    private static final int NO_WARM_SERVER_READS = 1;
    /** Derive from a request's draw one for each server. */
    private static final double DRAW_SCALE = 1e4;

    private static final double SERVER_DRAW_STEP = 0.618;

    /** The slow start of one server. */
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

    /** What a server can do so long after its start, as a part of what it can do warm. */
    static double capacityRatio(RouterSettings.Rules rules, long ageMicros) {
        double passed = (double) ageMicros / Math.max(1, rules.warmUpMicros());
        return rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * Math.min(1, Math.max(0, passed));
    }

    /** A server's process has started: it is in slow start from then on. */
    void begin(Server server, long startedMicros) {
        server.slowStart.startedMicros = Math.max(server.slowStart.startedMicros, startedMicros);
        double part = context.random().nextDouble();
        server.slowStart.budget.restart(load.servedByWarmServers(), limit.isSparse() ? 0 : part, part);
        limit.serverRestarted(server);
    }

    boolean inSlowStart(Server server) {
        long started = server.slowStart.startedMicros;
        return started != Long.MIN_VALUE
                && context.nowMicros() - started < context.settings().rules().warmUpMicros();
    }

    /** Whether a request that is admitted to this server was drawn for it, and so should go there. */
    boolean isDrawnForServer(Server server) {
        return limit.isSparse() && inSlowStart(server);
    }

    /**
     * Whether the rule lets a server have this request. What many routers saved must not go out at once: where they are
     * many, each request uses up a part, a read that of one replica, and is admitted once the parts add up to one.
     */
    boolean admits(Server server, PendingRequest request) {
        if (!inSlowStart(server)) {
            return true;
        }
        if (request.longRead) {
            return false;
        }
        int warm = warmServers();
        return warm == 0 ? admitsWithoutWarmServers(server, request) : admitsByBudget(server, request, warm);
    }

    private boolean admitsWithoutWarmServers(Server server, PendingRequest request) {
        double draw = request.sheddingDraw * DRAW_SCALE + server.id.hashCode() * SERVER_DRAW_STEP;
        draw -= Math.floor(draw);
        return server.inFlight.count() < (request.isWrite() ? NO_WARM_SERVER_WRITES : NO_WARM_SERVER_READS)
                && draw < NO_WARM_SERVER_ATTEMPTS / context.settings().instanceCount();
    }

    private boolean admitsByBudget(Server server, PendingRequest request, int warm) {
        RouterSettings.Rules rules = context.settings().rules();
        boolean sparse = limit.isSparse();
        long age = context.nowMicros() - server.slowStart.startedMicros - (sparse ? rules.overloadMicros() : 0);
        double requestsPerWarmRequest = capacityRatio(rules, age) * rules.overloadMultiple() * USED_CAPACITY_RATIO;
        int equalServers = request.isWrite() ? 1 : Math.max(1, server.group.members.size() - 1);
        double requestPart = Math.min(1, requestsPerWarmRequest) / equalServers;
        SlowStartBudget budget = server.slowStart.budget;
        double maxSaved = sparse ? MAX_SAVED_REQUESTS * requestPart : MAX_SAVED_REQUESTS;
        budget.earn(load.servedByWarmServers(), requestsPerWarmRequest / warm, maxSaved);
        return sparse ? budget.spendPart(requestPart) : budget.hasWholeRequest();
    }

    /** Uses up the request that an attempt took, where the admission has not done so. */
    void attemptStarted(Server server) {
        server.slowStart.budget.spend(limit.isSparse() ? 0 : 1);
    }

    private int warmServers() {
        int warm = 0;
        for (Server server : servers.servers()) {
            boolean usable = server.listing.state() == EndpointState.LIVE && !server.outlier.isEjected();
            warm += usable && !inSlowStart(server) ? 1 : 0;
        }
        return warm;
    }
}
