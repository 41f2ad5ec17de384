package lupinvalve.subscription;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Virtual time, and messages between processes that may be delayed, lost, or blocked by route and direction. */
final class VirtualNetwork {
    private static final double LOSS_RATIO = 0.001;
    private static final long DELAY_MIN_MICROS = 100;
    private static final int DELAY_USUAL_MICROS = 2_000;
    private static final int DELAY_SLOW_MICROS = 50_000;
    private static final int DELAY_LATE_MICROS = 900_000;
    private static final double USUAL_RATIO = 0.9;
    private static final double NOT_LATE_RATIO = 0.99;

    /** @param process that runs the action, only in the given incarnation; null if the action belongs to no process */
    private record Event(long atMicros, long order, VirtualProcess process, int incarnation, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMicros != other.atMicros
                    ? Long.compare(atMicros, other.atMicros)
                    : Long.compare(order, other.order);
        }
    }

    private record Route(String from, String to) {}

    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Route> blockedRoutes = new HashSet<>();
    private long nowMicros;
    private long nextOrder;

    VirtualNetwork(long seed) {
        random = new Random(seed);
    }

    long nowMicros() {
        return nowMicros;
    }

    long randomDelayMicros() {
        double quantile = random.nextDouble();
        int maxMicros = quantile < USUAL_RATIO
                ? DELAY_USUAL_MICROS
                : quantile < NOT_LATE_RATIO ? DELAY_SLOW_MICROS : DELAY_LATE_MICROS;
        return DELAY_MIN_MICROS + (long) (random.nextDouble() * maxMicros);
    }

    /** Runs an action at a process after a message delay, unless the route is blocked when it is sent or arrives. */
    void send(VirtualProcess from, VirtualProcess to, Runnable action) {
        if (isBlocked(from, to) || random.nextDouble() < LOSS_RATIO) {
            return;
        }
        runLater(randomDelayMicros(), to, () -> {
            if (!isBlocked(from, to)) {
                action.run();
            }
        });
    }

    /** Runs an action in a process's current incarnation after a delay by the network's clock. */
    void runLater(long delayMicros, VirtualProcess process, Runnable action) {
        events.add(
                new Event(nowMicros + Math.max(0, delayMicros), nextOrder++, process, process.incarnation(), action));
    }

    /** Runs an action at a time, independently of any process. */
    void runAt(long atMicros, Runnable action) {
        events.add(new Event(atMicros, nextOrder++, null, 0, action));
    }

    /** Runs all events until a time. */
    void advanceTo(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            run(event);
        }
        nowMicros = untilMicros;
    }

    private void run(Event event) {
        VirtualProcess process = event.process();
        if (process == null) {
            event.action().run();
            return;
        }
        if (process.incarnation() != event.incarnation() || !process.isUp()) {
            return;
        }
        if (process.isPaused()) {
            long resumeMicros = process.pausedUntilMicros();
            events.add(new Event(resumeMicros, nextOrder++, process, event.incarnation(), event.action()));
            return;
        }
        event.action().run();
    }

    boolean isBlocked(VirtualProcess from, VirtualProcess to) {
        return blockedRoutes.contains(new Route(from.name(), to.name()));
    }

    /** Drops all messages in one direction for a time. */
    void block(VirtualProcess from, VirtualProcess to, long durationMicros) {
        Route route = new Route(from.name(), to.name());
        blockedRoutes.add(route);
        runAt(nowMicros + durationMicros, () -> blockedRoutes.remove(route));
    }

    void unblockAll() {
        blockedRoutes.clear();
    }
}
