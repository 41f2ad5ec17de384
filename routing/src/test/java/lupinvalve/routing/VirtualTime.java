package lupinvalve.routing;

import java.util.PriorityQueue;

/**
 * A clock in microseconds that advances from one scheduled step to the next. Steps scheduled for the same time run in
 * the order in which they were scheduled.
 */
final class VirtualTime {
    static final long MILLI = 1000;
    static final long SECOND = 1000 * MILLI;

    private record Step(long atMicros, long order, Runnable action) {}

    private final PriorityQueue<Step> scheduledSteps = new PriorityQueue<>(
            (a, b) -> a.atMicros != b.atMicros ? Long.compare(a.atMicros, b.atMicros) : Long.compare(a.order, b.order));
    private long nowMicros = 1000 * SECOND;
    private long scheduledCount;

    long now() {
        return nowMicros;
    }

    /** Schedules a step to run after a delay; a negative delay counts as 0. */
    void in(long delayMicros, Runnable action) {
        scheduledSteps.add(new Step(nowMicros + Math.max(0, delayMicros), scheduledCount++, action));
    }

    /** Runs the next step if it is due by the given time; returns whether it was. */
    boolean runNext(long endMicros) {
        if (scheduledSteps.isEmpty() || scheduledSteps.peek().atMicros > endMicros) {
            return false;
        }
        Step step = scheduledSteps.poll();
        nowMicros = step.atMicros;
        step.action.run();
        return true;
    }
}
