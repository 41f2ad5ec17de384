package lupinvalve.maintenance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;

/**
 * Decides what the router is notified of a listed db node that operators have drained or restored. A drained one is
 * departed, whatever discovery lists meanwhile. A restored one counts as started at that command, since operators
 * restart what they drain, and a db node that is warming up may be given only so much. No I/O, no clock; not safe for
 * use by several threads.
 */
public final class DrainedEndpoints {
    /** Drained ids at most; each comes from an operator's hand. */
    static final int MAX_IDS_COUNT = 1000;
    /**
     * For how long an id that has left the endpoint list is still known: a db node that restarts is off it meanwhile.
     */
    static final long DEPARTED_ID_RETENTION_MICROS = 600_000_000;

    private final long warmUpMicros;
    /** When ids left the endpoint list, the longest ago first. */
    private final LinkedHashMap<String, Long> departedAtMicros = new LinkedHashMap<>();

    private final Set<String> drained = new TreeSet<>();
    private final Map<String, Long> restoredAtMicros = new HashMap<>();

    /** @param warmUpMicros for how long a db node warms up after its start */
    public DrainedEndpoints(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /** A db node has left the endpoint list. */
    public void endpointDeparted(String id, long nowMicros) {
        departedAtMicros.remove(id);
        departedAtMicros.put(id, nowMicros);
        Iterator<Long> eldest = departedAtMicros.values().iterator();
        if (departedAtMicros.size() > MAX_IDS_COUNT || eldest.next() < nowMicros - DEPARTED_ID_RETENTION_MICROS) {
            departedAtMicros.remove(departedAtMicros.keySet().iterator().next());
        }
    }

    /** Why a command to drain or restore a db node is rejected; empty where it can be taken. */
    public Optional<String> rejectionReason(boolean drain, String id, boolean listed, long nowMicros) {
        // A db node that operators are just restarting is off the list, and its id is still known.
        boolean known = listed
                || drained.contains(id)
                || departedAtMicros.getOrDefault(id, Long.MIN_VALUE) >= nowMicros - DEPARTED_ID_RETENTION_MICROS;
        if (!known) {
            return Optional.of("nobody has the id " + id);
        }
        return drain && !drained.contains(id) && drained.size() >= MAX_IDS_COUNT
                ? Optional.of("already " + MAX_IDS_COUNT + " ids are out")
                : Optional.empty();
    }

    /** Takes over the commands as they now stand; gives the ids of which the router has to be notified. */
    public Set<String> apply(DrainCommands commands, long nowMicros) {
        Set<String> changed = new TreeSet<>(drained);
        changed.addAll(commands.drained());
        changed.removeIf(id -> drained.contains(id) && commands.drained().contains(id));
        drained.clear();
        drained.addAll(commands.drained());
        restoredAtMicros.clear();
        restoredAtMicros.putAll(
                commands.withoutRestoresBefore(nowMicros - warmUpMicros).restoredAtMicros());
        return changed;
    }

    /** The commands as they stand. */
    public DrainCommands commands() {
        return new DrainCommands(drained, restoredAtMicros);
    }

    /** Whether operators have drained the db node. */
    public boolean isDrained(String id) {
        return drained.contains(id);
    }

    /** What the router is notified of a listed db node. */
    public Endpoint effective(Endpoint listed) {
        if (drained.contains(listed.node())) {
            return with(listed, EndpointState.DEPARTED, listed.startedAtMicros());
        }
        Long restoredAt = restoredAtMicros.get(listed.node());
        return restoredAt == null || restoredAt <= listed.startedAtMicros()
                ? listed
                : with(listed, listed.state(), restoredAt);
    }

    private static Endpoint with(Endpoint listed, EndpointState state, long startedAtMicros) {
        return new Endpoint(
                listed.node(), listed.group(), listed.zone(), state, listed.listedPrimary(), startedAtMicros);
    }
}
