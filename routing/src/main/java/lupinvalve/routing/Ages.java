package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells how long ago a client first asked, where repeats bear no mark. A client waits for all its tries together no
 * longer than its class's deadline, so a repeat has less left than first tries are given: what it lacks has passed
 * since. First tries are known by the wait that most requests of a class name; where none stands out, nothing is
 * concluded.
 */
final class Ages {
    /** Waits remembered for each class, and the part of them that must be one and the same. */
    private static final int KEPT = 64, LEAST = 16;

    private static final double STANDS_OUT = 0.3;
    private static final long STEP = 1000;
    private final List<Kind> kinds = new ArrayList<>();

    private static final class Kind {
        final RequestClass of;
        final ArrayDeque<Long> waits = new ArrayDeque<>();
        final Map<Long, Integer> counts = new HashMap<>();
        long usual;

        Kind(RequestClass of) {
            this.of = of;
        }

        void add(long wait) {
            waits.addLast(wait);
            int count = counts.merge(wait, 1, Integer::sum);
            if (waits.size() > KEPT) {
                counts.computeIfPresent(waits.pollFirst(), (w, before) -> before == 1 ? null : before - 1);
            }
            if (count > counts.getOrDefault(usual, 0)) {
                usual = wait;
            }
        }

        boolean known() {
            return waits.size() >= LEAST && counts.getOrDefault(usual, 0) >= waits.size() * STANDS_OUT;
        }
    }

    Ages(List<RequestClass> classes) {
        classes.forEach(kind -> kinds.add(new Kind(kind)));
    }

    /** Takes what a request's client said it would wait and gives the time since its first try: 0 if none is known. */
    long of(int cls, long waitMicros) {
        Kind kind = kinds.get(cls);
        long wait = waitMicros / STEP;
        kind.add(wait);
        return kind.known() && wait < kind.usual ? Math.max(0, kind.of.deadlineMicros() - waitMicros) : 0;
    }

    /**
     * Whether an answer would hardly be in time any more, and late ones are worth little. Such a request is no use to
     * anyone but itself, so it is what goes first where not all can be served.
     */
    boolean spent(int cls, long waitMicros) {
        RequestClass kind = kinds.get(cls).of;
        return of(cls, waitMicros) > kind.latencyObjectiveMicros() / 2 && kind.lateValueRatio() < 0.5;
    }
}
