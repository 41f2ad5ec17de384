package lupinvalve.maintenance;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Operators' commands to take db nodes out of use and back, as they stand. The two processes of a hot restart share
 * them. Immutable.
 *
 * @param drained ids of db nodes that are out of use
 * @param restoredAtMicros when ids were taken back, in Unix microseconds
 */
public record DrainCommands(Set<String> drained, Map<String, Long> restoredAtMicros) {
    /** No command stands. */
    public static final DrainCommands NONE = new DrainCommands(Set.of(), Map.of());

    /** Copies both, sorted by id. */
    public DrainCommands {
        drained = Collections.unmodifiableSet(new TreeSet<>(drained));
        restoredAtMicros = Collections.unmodifiableMap(new TreeMap<>(restoredAtMicros));
    }

    /** These commands after one more. Commands are idempotent: one to restore undoes any number to drain. */
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

    /** These commands without those to restore from before the time given: their db nodes have warmed up. */
    public DrainCommands withoutRestoresBefore(long micros) {
        Map<String, Long> recent = new TreeMap<>(restoredAtMicros);
        recent.values().removeIf(atMicros -> atMicros < micros);
        return recent.size() == restoredAtMicros.size() ? this : new DrainCommands(drained, recent);
    }

    /** Both commands at once: drained is what is so by either. */
    public DrainCommands union(DrainCommands other) {
        Set<String> allDrained = new TreeSet<>(drained);
        allDrained.addAll(other.drained);
        Map<String, Long> restored = new TreeMap<>(restoredAtMicros);
        other.restoredAtMicros.forEach((id, atMicros) -> restored.merge(id, atMicros, Math::max));
        restored.keySet().removeAll(allDrained);
        return new DrainCommands(allDrained, restored);
    }
}
