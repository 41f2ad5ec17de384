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
 * Which db nodes are draining or drained, by the endpoint list or by operators' commands, and until when work may still
 * start at them. Core thread only.
 */
final class EndpointDraining {
    private final long graceMicros;
    private final DrainedEndpoints drainedByOperators;
    private final Map<String, DrainCommands> commandsBySource = new HashMap<>();
    /** Since when db nodes that are still listed may have been notified as draining. */
    private final Map<String, Long> drainingSinceMicros = new HashMap<>();

    EndpointDraining(RouterSettings.Rules rules) {
        graceMicros = rules.drainGraceMicros();
        drainedByOperators = new DrainedEndpoints(rules.warmUpMicros());
    }

    // ---- operators' commands ----

    /** Why an operator's command to drain or restore a db node is rejected; empty where it can be taken. */
    Optional<String> rejectionReason(boolean drain, String node, boolean listed, long nowMicros) {
        return drainedByOperators.rejectionReason(drain, node, listed, nowMicros);
    }

    /** Takes over the commands of one source; what is drained by any of them is drained. Gives the ids that change. */
    Set<String> apply(String source, DrainCommands commands, long nowMicros) {
        commandsBySource.put(source, commands);
        DrainCommands all = commandsBySource.values().stream().reduce(DrainCommands.NONE, DrainCommands::union);
        return drainedByOperators.apply(all, nowMicros);
    }

    boolean isDrainedByOperator(String node) {
        return drainedByOperators.isDrained(node);
    }

    /** What the router is notified of a listed db node. */
    Endpoint effective(Endpoint listed) {
        return drainedByOperators.effective(listed);
    }

    /** A db node has left the endpoint list. */
    void endpointDeparted(String node, long nowMicros) {
        drainedByOperators.endpointDeparted(node, nowMicros);
    }

    // ---- the time that a draining db node has ----

    /** Since when a notification binds; one that may have come long ago has no time left. */
    long bindsSinceMicros(EndpointListEvent event, long nowMicros) {
        // The same holds in the router's table.
        return Math.min(nowMicros, Math.max(nowMicros - graceMicros, event.notifiedSinceMicros()));
    }

    /** Takes over whether a db node is draining, as the router is notified of it. */
    void update(Endpoint effective, long notifiedSinceMicros) {
        if (effective.state() == EndpointState.DRAINING) {
            drainingSinceMicros.putIfAbsent(effective.node(), notifiedSinceMicros);
        } else {
            drainingSinceMicros.remove(effective.node());
        }
    }

    /** Forgets all but these. */
    void retainAll(Set<String> nodes) {
        drainingSinceMicros.keySet().retainAll(nodes);
    }

    /** Whether a db node has been draining for three quarters of its grace: the rest is for the way to its socket. */
    boolean isGraceSpent(String node, long nowMicros) {
        Long since = drainingSinceMicros.get(node);
        return since != null && nowMicros >= since + graceMicros * 3 / 4;
    }

    /**
     * Until when the first byte of what is decided now may be written to a db node.
     *
     * @param knownUpToMicros up to when each notified change is known here: a later one binds after its grace
     */
    long latestStartMicros(String node, long knownUpToMicros) {
        long known = Math.min(knownUpToMicros, drainingSinceMicros.getOrDefault(node, Long.MAX_VALUE));
        return known == Long.MAX_VALUE ? known : known + graceMicros;
    }
}
