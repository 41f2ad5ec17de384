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
 * Decides which state the router is given for a listed db node that operators have drained or restored. A drained db
 * node counts as departed, whatever discovery lists. A restored one counts as started at the time of that command:
 * operators restart the db nodes that they drain, and the load on a db node that is warming up must be limited. No I/O,
 * no clock; not thread-safe.
 */
public final class DrainedEndpoints {
    /** Maximum number of drained ids, each of them entered by an operator, and of remembered departed ids. */
    static final int MAX_IDS_COUNT = 1000;
    /** How long an id is remembered after it has left the endpoint list: a db node is not listed while it restarts. */
    static final long DEPARTED_ID_RETENTION_MICROS = 600_000_000;

    private final long warmUpMicros;
    /** When ids left the endpoint list, earliest first. */
    private final LinkedHashMap<String, Long> departedAtMicros = new LinkedHashMap<>();

    private final Set<String> drained = new TreeSet<>();
    private final Map<String, Long> restoredAtMicros = new HashMap<>();

    /** @param warmUpMicros how long a db node warms up after its start */
    public DrainedEndpoints(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /** Records that a db node has left the endpoint list. */
    public void endpointDeparted(String id, long nowMicros) {
        departedAtMicros.remove(id);
        departedAtMicros.put(id, nowMicros);
        Iterator<Long> eldest = departedAtMicros.values().iterator();
        if (departedAtMicros.size() > MAX_IDS_COUNT || eldest.next() < nowMicros - DEPARTED_ID_RETENTION_MICROS) {
            departedAtMicros.remove(departedAtMicros.keySet().iterator().next());
        }
    }

    /** Why a command to drain or restore a db node is rejected; empty if it is accepted. */
    public Optional<String> rejectionReason(boolean drain, String id, boolean listed, long nowMicros) {
        // While operators restart a db node it is not listed, but its id must still be accepted.
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

    /** Replaces the commands in effect. Returns the ids of which the router must be notified. */
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

    /** The commands in effect. */
    public DrainCommands commands() {
        return new DrainCommands(drained, restoredAtMicros);
    }

    /** Whether operators have drained the db node. */
    public boolean isDrained(String id) {
        return drained.contains(id);
    }

    /** The endpoint that the router is given for a listed db node. */
    public Endpoint effective(Endpoint listed) {
        if (drained.contains(listed.node())) {
            return listed.withState(EndpointState.DEPARTED);
        }
        Long restoredAt = restoredAtMicros.get(listed.node());
        return restoredAt == null || restoredAt <= listed.startedAtMicros() ? listed : listed.withStart(restoredAt);
    }
}
