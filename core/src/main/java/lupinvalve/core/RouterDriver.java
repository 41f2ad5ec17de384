package lupinvalve.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lupinvalve.log.Log;
import lupinvalve.routing.Router;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;

/**
 * Feeds events to the router one at a time and performs the actions that result. An event that is raised meanwhile is
 * queued until they have been performed. Core thread only.
 */
final class RouterDriver {
    private final EventLoop loop;
    private final Consumer<RouterAction> performer;
    private final ArrayDeque<RouterEvent> pending = new ArrayDeque<>();
    private Router router;
    private boolean handling;

    RouterDriver(EventLoop loop, Consumer<RouterAction> performer) {
        this.loop = loop;
        this.performer = performer;
    }

    /** Creates the router and returns its first actions, which the caller must perform. */
    List<RouterAction> start(long seed, RouterSettings settings) {
        List<RouterAction> first = new ArrayList<>();
        router = new Router(seed, settings, loop.now(), first::add);
        return first;
    }

    boolean isStarted() {
        return router != null;
    }

    /** The router, for queries only; null before {@link #start}. */
    Router router() {
        return router;
    }

    void feed(RouterEvent event) {
        feed(loop.now(), event);
    }

    void feed(long nowMicros, RouterEvent event) {
        pending.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            handlePending(nowMicros);
        } finally {
            handling = false;
        }
    }

    private void handlePending(long nowMicros) {
        List<RouterAction> actions = new ArrayList<>();
        long atMicros = nowMicros;
        for (RouterEvent next = pending.poll(); next != null; next = pending.poll()) {
            try {
                router.handle(atMicros, next, actions::add);
            } catch (RuntimeException e) {
                Log.failure("router", e);
            }
            actions.forEach(performer);
            actions.clear();
            atMicros = loop.now();
        }
    }
}
