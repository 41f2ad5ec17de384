package lupinvalve.maintenance;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The commands of operators, to drain or restore db nodes, that are currently in effect. The two processes of a hot
 * restart share them. Immutable.
 *
 * @param drained ids of the drained db nodes
 * @param restoredAtMicros when db nodes were restored, in Unix microseconds, by id
 */
public record DrainCommands(Set<String> drained, Map<String, Long> restoredAtMicros) {
    /** No commands. */
    public static final DrainCommands NONE = new DrainCommands(Set.of(), Map.of());

    /** Copies both collections, sorted by id. */
    public DrainCommands {
        drained = Collections.unmodifiableSet(new TreeSet<>(drained));
        restoredAtMicros = Collections.unmodifiableMap(new TreeMap<>(restoredAtMicros));
    }

    /** Returns these commands with one more applied. They are idempotent: one restore undoes any number of drains. */
    public DrainCommands with(boolean drain, String id, long nowMicros) {
        Set<String> nextDrained = new TreeSet<>(drained);
        Map<String, Long> nextRestored = new TreeMap<>(restoredAtMicros);
        if (drain) {
            nextDrained.add(id);
            nextRestored.remove(id);
        } else if (nextDrained.remove(id)) {
            nextRestored.put(id, nowMicros);
        }
        return new DrainCommands(nextDrained, nextRestored);
    }

    /** Returns these commands without restores before the given time, whose db nodes have warmed up since. */
    public DrainCommands withoutRestoresBefore(long earliestMicros) {
        Map<String, Long> recent = new TreeMap<>(restoredAtMicros);
        recent.values().removeIf(atMicros -> atMicros < earliestMicros);
        return recent.size() == restoredAtMicros.size() ? this : new DrainCommands(drained, recent);
    }

    /** Returns both sets of commands combined: a db node is drained if either set drains it. */
    public DrainCommands union(DrainCommands other) {
        Set<String> allDrained = new TreeSet<>(drained);
        allDrained.addAll(other.drained);
        Map<String, Long> restored = new TreeMap<>(restoredAtMicros);
        other.restoredAtMicros.forEach((id, atMicros) -> restored.merge(id, atMicros, Math::max));
        restored.keySet().removeAll(allDrained);
        return new DrainCommands(allDrained, restored);
    }
}
