package lupinvalve.routing;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The surroundings that all rules of one router share. Only {@link Router} changes the time and the action sink. */
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

    /** Moves the clock to the time of the call that the router is in. */
    void advanceTo(long timeMicros) {
        nowMicros = timeMicros;
    }

    /** Directs what the rules decide from here on to another sink. */
    void sendActionsTo(Consumer<? super RouterAction> sink) {
        actions = sink;
    }

    RouterSettings settings() {
        return settings;
    }

    SplittableRandom random() {
        return random;
    }

    /** The time of the event being handled. */
    long nowMicros() {
        return nowMicros;
    }

    /** Hands an action to whoever carries it out; it must not call the router from within. */
    void perform(RouterAction action) {
        actions.accept(action);
    }
}
