package lupinvalve.routing;

import java.util.PriorityQueue;

/** A clock in microseconds that jumps from one planned step to the next; steps of one time run as they were planned. */
final class VirtualTime {
    static final long MILLI = 1000;
    static final long SECOND = 1000 * MILLI;

    private record Step(long at, long order, Runnable action) {}

    private final PriorityQueue<Step> ahead =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long now = 1000 * SECOND;
    private long planned;

    long now() {
        return now;
    }

    /** Plans a step. */
    void in(long delay, Runnable action) {
        ahead.add(new Step(now + Math.max(0, delay), planned++, action));
    }

    /** Runs the next step, if there is one up to a time. */
    boolean runNext(long end) {
        if (ahead.isEmpty() || ahead.peek().at > end) {
            return false;
        }
        Step step = ahead.poll();
        now = step.at;
        step.action.run();
        return true;
    }
}
