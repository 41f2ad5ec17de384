package lupinvalve.routing;

/** Decides which servers may get new attempts, by their state in the endpoint list, their health and their errors. */
final class ServerEligibility {
    /** Percentage of the drain's grace for which a draining primary gets writes unless a successor is known before. */
    private static final long DRAINING_WRITES_PERCENT = 75;

    private static final long PERCENT_DIVISOR = 100;
    private final RouterContext context;
    private final OutlierDetection outliers;

    ServerEligibility(RouterContext context, OutlierDetection outliers) {
        this.context = context;
        this.outliers = outliers;
    }

    /** Whether the endpoint list allows new attempts at a server; a draining primary gets writes for a while. */
    boolean isAllowedByList(Server server, boolean write) {
        EndpointState state = server.listing.state();
        return state == EndpointState.LIVE || state == EndpointState.DRAINING && write && stillTakesWrites(server);
    }

    private boolean stillTakesWrites(Server server) {
        long writeGraceMicros =
                context.settings().rules().drainGraceMicros() * DRAINING_WRITES_PERCENT / PERCENT_DIVISOR;
        return context.nowMicros() < server.listing.drainNotifiedMicros() + writeGraceMicros;
    }

    /** Whether a server may be sent a write now if {@code write}, otherwise whether a read; false for null. */
    boolean isEligible(Server server, boolean write) {
        return server != null
                && isAllowedByList(server, write)
                && outliers.isHealthy(server)
                && (write || !outliers.isPausedForErrors(server));
    }

    /** Whether a write may be sent to a server to find out whether it is the primary. */
    boolean isPrimaryCandidate(Server server) {
        return server.listing.state() == EndpointState.LIVE && outliers.isHealthy(server);
    }
}
