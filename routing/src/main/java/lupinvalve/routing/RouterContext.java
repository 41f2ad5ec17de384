package lupinvalve.routing;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * What all rules of one router share: settings, random numbers, the time of the current event, and the sink of actions.
 * Only {@link Router} changes the time and the sink.
 */
final class RouterContext {
    private final RouterSettings settings;
    private final SplittableRandom random;
    private long nowMicros;
    private Consumer<? super RouterAction> actions;

    RouterContext(RouterSettings settings, long seed, long nowMicros, Consumer<? super RouterAction> actions) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.nowMicros = nowMicros;
        this.actions = actions;
    }

    /** Sets the time to that of the event being handled, in microseconds. */
    void advanceTo(long timeMicros) {
        nowMicros = timeMicros;
    }

    /** Sets the sink of all further actions. */
    void sendActionsTo(Consumer<? super RouterAction> sink) {
        actions = sink;
    }

    RouterSettings settings() {
        return settings;
    }

    SplittableRandom random() {
        return random;
    }

    /** The time of the event being handled, in microseconds. */
    long nowMicros() {
        return nowMicros;
    }

    /** Passes an action to the sink, which must not call the router from within. */
    void perform(RouterAction action) {
        actions.accept(action);
    }
}
