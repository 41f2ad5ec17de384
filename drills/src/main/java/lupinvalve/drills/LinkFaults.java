package lupinvalve.drills;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Injects a scenario's faults into the connections between poolers, and between poolers and db nodes. */
final class LinkFaults {
    /** By pooler, then by the pooler or db node that it connects to. */
    private final Map<String, Map<String, FaultProxy>> proxies;

    private final Timing timing;

    LinkFaults(Map<String, Map<String, FaultProxy>> proxies, Timing timing) {
        this.proxies = proxies;
        this.timing = timing;
    }

    /** Begins a step that affects connections, or undoes it. */
    void act(Step step, boolean on) {
        long now = System.currentTimeMillis();
        timing.disturbed(step.who(), step.to().startsWith("n") ? step.to() : null, now, now + step.forMillis());
        Set<String> ends = new HashSet<>();
        if (step.to().equals(Step.ALL)) {
            ends.addAll(proxies.get(step.who()).keySet());
        } else {
            ends.add(step.to());
        }
        ends.forEach(end -> applyBothWays(step, end, on));
        if (step.kind() == Step.Kind.FLAP && on) {
            flap(step, ends);
        }
    }

    /**
     * Applies a step to the connections that its pooler opens, and to those opened by the other end if that is a
     * pooler.
     */
    private void applyBothWays(Step step, String end, boolean on) {
        apply(step, proxies.get(step.who()).get(end), on, true);
        if (end.startsWith("p")) {
            apply(step, proxies.get(end).get(step.who()), on, false);
        }
    }

    private static void apply(Step step, FaultProxy proxy, boolean on, boolean isFromWho) {
        switch (step.kind()) {
            case CUT, FLAP -> proxy.cut(on, on);
            case CUT_THERE -> proxy.cut(on && isFromWho, on && !isFromWho);
            case HALF_OPEN -> proxy.gone(on);
            case SLOW -> proxy.slow(on ? (long) step.amount() : 0);
            case LOSSY -> proxy.lossy(on ? step.amount() : 0);
            default -> proxy.limit(on ? step.amount() : Double.POSITIVE_INFINITY);
        }
    }

    /** Cuts and heals the links in turn until the step is over. */
    private void flap(Step step, Set<String> ends) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(step.forMillis());
        Threads.start("flap", () -> {
            for (boolean cut = false;
                    System.nanoTime() < end - TimeUnit.MILLISECONDS.toNanos((long) step.amount());
                    cut = !cut) {
                Thread.sleep((long) step.amount() / 2);
                for (String other : ends) {
                    applyBothWays(step, other, cut);
                }
            }
        });
    }
}
