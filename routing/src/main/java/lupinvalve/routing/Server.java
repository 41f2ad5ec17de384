package lupinvalve.routing;

/** One server: its id and group, and one state object for each rule, changed only by that rule's type. */
final class Server {
    final String id;
    final ServerGroup group;
    final EndpointList.Listing listing = new EndpointList.Listing();
    final ReplicationLag.State lag = new ReplicationLag.State();
    final PrimaryTracker.ServerState role = new PrimaryTracker.ServerState();
    final InFlightAttempts inFlight = new InFlightAttempts();
    final InFlightLimit.State limit;
    final LoadStatistics.State load = new LoadStatistics.State();
    final OutlierDetection.State outlier = new OutlierDetection.State();
    final RestartDetector.State connectFailures = new RestartDetector.State();
    final HealthChecker.State healthCheck = new HealthChecker.State();
    final SlowStart.State slowStart = new SlowStart.State();
    final IdleTimeout.State connection = new IdleTimeout.State();

    Server(String id, ServerGroup group, InFlightLimit.State limit) {
        this.id = id;
        this.group = group;
        this.limit = limit;
    }
}
