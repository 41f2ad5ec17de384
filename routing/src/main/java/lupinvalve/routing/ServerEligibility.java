package lupinvalve.routing;

/** Which servers may be sent anything new, by the endpoint list, their health and their errors. */
final class ServerEligibility {
    /** Part of the drain's grace in which a draining primary gets writes, until its successor shows. */
    private static final long DRAINING_WRITES_PERCENT = 75;

    private static final long WHOLE_PERCENT = 100;
    private final RouterContext context;
    private final OutlierDetection outliers;

    ServerEligibility(RouterContext context, OutlierDetection outliers) {
        this.context = context;
        this.outliers = outliers;
    }

    /** Whether the list allows new attempts; a draining server gets nothing but a primary's writes for a while. */
    boolean isListed(Server server, boolean write) {
        EndpointState state = server.listing.state();
        return state == EndpointState.LIVE || state == EndpointState.DRAINING && write && takesWritesYet(server);
    }

    private boolean takesWritesYet(Server server) {
        long grace = context.settings().rules().drainGraceMicros() * DRAINING_WRITES_PERCENT / WHOLE_PERCENT;
        return context.nowMicros() < server.listing.drainNotifiedMicros() + grace;
    }

    /** Whether a server may be sent reads or writes now; false for null. */
    boolean isEligible(Server server, boolean write) {
        return server != null
                && isListed(server, write)
                && outliers.isHealthy(server)
                && (write || !outliers.isPausedForErrors(server));
    }

    /** Whether a server may be asked whether it is the primary. */
    boolean mayBeFoundPrimary(Server server) {
        return server.listing.state() == EndpointState.LIVE && outliers.isHealthy(server);
    }
}
