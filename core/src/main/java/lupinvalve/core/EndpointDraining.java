package lupinvalve.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.maintenance.DrainedEndpoints;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.RouterSettings;

/**
 * Tracks which db nodes are draining or drained, according to the endpoint list and operators' commands, and until when
 * requests may still be started at them. Core thread only.
 */
final class EndpointDraining {
    /** For this long after a drain is notified, requests may still be started at the db node. */
    private final long graceMicros;

    private final DrainedEndpoints drainedByOperators;
    private final Map<String, DrainCommands> commandsBySource = new HashMap<>();
    /** The earliest time at which the drain of each draining db node may have been notified, by id. */
    private final Map<String, Long> drainingSinceMicros = new HashMap<>();

    EndpointDraining(RouterSettings.Rules rules) {
        graceMicros = rules.drainGraceMicros();
        drainedByOperators = new DrainedEndpoints(rules.warmUpMicros());
    }

    // ---- operators' commands ----

    /** Why an operator's command to drain or restore a db node is rejected; empty if it is accepted. */
    Optional<String> rejectionReason(boolean drain, String node, boolean listed, long nowMicros) {
        return drainedByOperators.rejectionReason(drain, node, listed, nowMicros);
    }

    /**
     * Replaces the commands of one source; a db node is drained while any source drains it.
     *
     * @return ids of the db nodes that are drained or restored by this
     */
    Set<String> apply(String source, DrainCommands commands, long nowMicros) {
        commandsBySource.put(source, commands);
        DrainCommands all = commandsBySource.values().stream().reduce(DrainCommands.NONE, DrainCommands::union);
        return drainedByOperators.apply(all, nowMicros);
    }

    boolean isDrainedByOperator(String node) {
        return drainedByOperators.isDrained(node);
    }

    /** The endpoint that the router is given for a listed db node: operators' commands override what is listed. */
    Endpoint effective(Endpoint listed) {
        return drainedByOperators.effective(listed);
    }

    /** Records that a db node has left the endpoint list. */
    void endpointDeparted(String node, long nowMicros) {
        drainedByOperators.endpointDeparted(node, nowMicros);
    }

    // ---- the grace period of draining db nodes ----

    /**
     * The start of the grace period of an event's drains, in Unix microseconds: the earliest time at which the event
     * may have been sent. An event that may have been sent longer ago than the grace period leaves none of it.
     */
    long graceStartMicros(EndpointListEvent event, long nowMicros) {
        // The router's endpoint list applies the same limits.
        return Math.min(nowMicros, Math.max(nowMicros - graceMicros, event.notifiedSinceMicros()));
    }

    /** Records whether a db node is draining, by the endpoint that the router is given for it. */
    void update(Endpoint effective, long graceStartMicros) {
        if (effective.state() == EndpointState.DRAINING) {
            drainingSinceMicros.putIfAbsent(effective.node(), graceStartMicros);
        } else {
            drainingSinceMicros.remove(effective.node());
        }
    }

    /** Removes the records of all db nodes but these. */
    void retainAll(Set<String> nodes) {
        drainingSinceMicros.keySet().retainAll(nodes);
    }

    /**
     * Whether it is too late to send a request to a db node that is draining: three quarters of the grace period are
     * over. The last quarter is reserved for the time until the request reaches the socket.
     */
    boolean isTooLateToSend(String node, long nowMicros) {
        Long since = drainingSinceMicros.get(node);
        return since != null && nowMicros >= since + graceMicros * 3 / 4;
    }

    /**
     * The latest time at which the first byte of a request that is routed now may be written to a db node, in Unix
     * microseconds; {@code Long.MAX_VALUE} for no limit.
     *
     * @param knownUpToMicros up to when all changes that discovery has sent are known; a drain may have been sent
     *     since, so its grace period limits the time as well
     */
    long latestStartMicros(String node, long knownUpToMicros) {
        long earliestDrainMicros = Math.min(knownUpToMicros, drainingSinceMicros.getOrDefault(node, Long.MAX_VALUE));
        return earliestDrainMicros == Long.MAX_VALUE ? earliestDrainMicros : earliestDrainMicros + graceMicros;
    }
}
