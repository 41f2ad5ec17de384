package lupinvalve.drills;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Does to the connections between poolers, and between poolers and db nodes, what a scenario says. */
final class LinkFaults {
    /** By pooler, then by whom it dials. */
    private final Map<String, Map<String, FaultProxy>> ways;

    private final Timing timing;

    LinkFaults(Map<String, Map<String, FaultProxy>> ways, Timing timing) {
        this.ways = ways;
        this.timing = timing;
    }

    /** Begins a step that strikes connections, or undoes it. */
    void act(Step step, boolean on) {
        long now = System.currentTimeMillis();
        timing.disturbed(step.who(), step.to().startsWith("n") ? step.to() : null, now, now + step.forMillis());
        Set<String> ends = new HashSet<>();
        if (step.to().equals(Step.ALL)) {
            ends.addAll(ways.get(step.who()).keySet());
        } else {
            ends.add(step.to());
        }
        ends.forEach(end -> both(step, end, on));
        if (step.kind() == Step.Kind.FLAP && on) {
            flap(step, ends);
        }
    }

    /** Both ways of dialling, where the other end dials too. */
    private void both(Step step, String end, boolean on) {
        apply(step, ways.get(step.who()).get(end), on, true);
        if (end.startsWith("p")) {
            apply(step, ways.get(end).get(step.who()), on, false);
        }
    }

    private static void apply(Step step, FaultProxy way, boolean on, boolean mine) {
        switch (step.kind()) {
            case CUT, FLAP -> way.cut(on, on);
            case CUT_THERE -> way.cut(on && mine, on && !mine);
            case HALF_OPEN -> way.gone(on);
            case SLOW -> way.slow(on ? (long) step.amount() : 0);
            case LOSSY -> way.lossy(on ? step.amount() : 0);
            default -> way.limit(on ? step.amount() : Double.POSITIVE_INFINITY);
        }
    }

    /** A link that comes and goes until its step is over. */
    private void flap(Step step, Set<String> ends) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(step.forMillis());
        Threads.start("flap", () -> {
            for (boolean cut = false;
                    System.nanoTime() < end - TimeUnit.MILLISECONDS.toNanos((long) step.amount());
                    cut = !cut) {
                Thread.sleep((long) step.amount() / 2);
                for (String other : ends) {
                    both(step, other, cut);
                }
            }
        });
    }
}
