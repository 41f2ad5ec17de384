package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/** A primary with its replicas, and one state object for each rule, which that rule's type alone changes. */
final class ServerGroup {
    /** Sorted by id; changed by {@link ServerTable} alone. */
    final List<Server> members = new ArrayList<>();

    final PrimaryTracker.GroupState primaryState = new PrimaryTracker.GroupState();
    final PrimarySearch.State primarySearch = new PrimarySearch.State();
    final QueuedRequests.GroupQueues queues;
    final LoadStatistics.State load = new LoadStatistics.State();
    final ReplicaSelector.State selection;
    final HealthChecker.GroupState healthChecks;

    /** Starts a group whose turns begin at a given member, so that routers don't all begin at the same one. */
    ServerGroup(int firstTurn, int classCount) {
        queues = new QueuedRequests.GroupQueues(classCount);
        selection = new ReplicaSelector.State(firstTurn);
        healthChecks = new HealthChecker.GroupState(firstTurn);
    }

    /** The server that counts as primary, or null where none is known. */
    Server primary() {
        return primaryState.primary();
    }
}
