package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/** A primary with its replicas, and one state object for each rule, changed only by that rule's type. */
final class ServerGroup {
    /** Sorted by id; changed only by {@link ServerTable}. */
    final List<Server> members = new ArrayList<>();

    final PrimaryTracker.GroupState primaryState = new PrimaryTracker.GroupState();
    final PrimarySearch.State primarySearch = new PrimarySearch.State();
    final QueuedRequests.GroupQueues queues;
    final LoadStatistics.State load = new LoadStatistics.State();
    final ReplicaSelector.State selection;
    final HealthChecker.GroupState healthChecks;

    /** Creates a group whose round-robins start at a given member, so that routers don't all start at the same one. */
    ServerGroup(int roundRobinStart, int classCount) {
        queues = new QueuedRequests.GroupQueues(classCount);
        selection = new ReplicaSelector.State(roundRobinStart);
        healthChecks = new HealthChecker.GroupState(roundRobinStart);
    }

    /** The server taken for the primary, or null if none is known. */
    Server primary() {
        return primaryState.primary();
    }
}
