package lupinvalve.simulator;

import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;

/** One entry of a batch: an operation on the router of the given number. */
sealed interface RouterCommand {
    int router();

    /** Starts a router; replaces the one of the same number, if there is one. */
    record Start(int router, long seed, RouterSettings settings) implements RouterCommand {}

    /** Removes a router with its state. */
    record Stop(int router) implements RouterCommand {}

    /** Passes an event to a router. */
    record Deliver(int router, RouterEvent event) implements RouterCommand {}
}
