package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/** Drives a router through its interface alone: three servers of one group, five classes, a clock set by hand. */
abstract class RouterFixture {
    static final long MS = 1000;
    static final int READ = 0;
    static final int SESSION_READ = 1;
    static final int STRONG_READ = 2;
    static final int WRITE = 3;
    static final int LONG_READ = 4;

    final List<RouterAction> actions = new ArrayList<>();
    long now = 1_000_000_000L;
    Router router;

    static RequestClass requestClass(String name, RequestClass.Access access, RequestClass.Effect effect, long aim) {
        return new RequestClass(
                name, access, 500 * MS, effect, RequestClass.KeyScope.GROUP, 3000 * MS, aim, 4 * aim, 1, 0.2);
    }

    static RouterSettings settings(
            RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect write) {
        return new RouterSettings(
                0,
                2,
                0,
                true,
                List.of(
                        requestClass("read", RequestClass.Access.BOUNDED, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("own", RequestClass.Access.SESSION, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("live", RequestClass.Access.STRONG, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("write", RequestClass.Access.WRITE, write, 500 * MS),
                        requestClass("report", RequestClass.Access.ANY, RequestClass.Effect.SAFE, 2000 * MS)),
                new RouterSettings.SiteLimits(8, false, true, true, true, 1_000_000, 10_000),
                new RouterSettings.Rules(8 * MS, 1000 * MS, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                new RouterSettings.Replication(check, 50 * MS, tokens));
    }

    void start(RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect write) {
        router = new Router(7, settings(check, tokens, write), now, actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
    }

    static Endpoint liveEndpoint(String node, boolean primary) {
        return new Endpoint(node, 1, 0, EndpointState.LIVE, primary, 0);
    }

    void updateEndpoints(ListForm form, Endpoint... members) {
        handle(new RouterEvent.EndpointUpdate(form, List.of(members)));
    }

    void handle(RouterEvent event) {
        router.handle(now, event, actions::add);
    }

    void request(String id, int cls, String session, long left) {
        handle(new RouterEvent.RequestArrived(id, cls, false, session, 0, 1, left));
    }

    void healthCheckServed(String node, long position, ServerRole role) {
        handle(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, position, role));
    }

    void attemptEnded(String id, int attempt, String node, AttemptOutcome ending, long position, ServerRole role) {
        handle(new RouterEvent.AttemptEnded(
                id, attempt, node, ending, 20 * MS, ending == AttemptOutcome.SERVED, position, role));
    }

    /** Lets time pass, firing the timer of the router whenever it may be due. */
    void advance(long micros) {
        for (long end = now + micros; now < end; ) {
            now += 5 * MS;
            handle(new RouterEvent.TimerFired(1));
        }
    }

    RouterAction.StartAttempt lastAttempt(String id) {
        RouterAction.StartAttempt found = null;
        for (RouterAction action : actions) {
            if (action instanceof RouterAction.StartAttempt start && start.id().equals(id)) {
                found = start;
            }
        }
        return found;
    }

    String lastServer(String id) {
        RouterAction.StartAttempt found = lastAttempt(id);
        return found == null ? null : found.node();
    }

    long attempts(String id) {
        return actions.stream()
                .filter(a -> a instanceof RouterAction.StartAttempt start
                        && start.id().equals(id))
                .count();
    }

    long rejections(String id) {
        return actions.stream()
                .filter(a ->
                        a instanceof RouterAction.Reject reject && reject.id().equals(id))
                .count();
    }

    long failures(String id) {
        return actions.stream()
                .filter(a -> a instanceof RouterAction.Fail fail && fail.id().equals(id))
                .count();
    }

    void allServersReport() {
        healthCheckServed("a", now, ServerRole.PRIMARY);
        healthCheckServed("b", now - 20 * MS, ServerRole.REPLICA);
        healthCheckServed("c", now - 20 * MS, ServerRole.REPLICA);
    }

    void healthCheckTimedOut(String node) {
        handle(new RouterEvent.HealthCheckEnded(
                node, AttemptOutcome.TIMED_OUT, 250 * MS, LogPosition.UNKNOWN, ServerRole.UNKNOWN));
    }

    void answerWithError(String id, int attempt) {
        now += 10 * MS;
        handle(new RouterEvent.AttemptEnded(
                id, attempt, lastServer(id), AttemptOutcome.ERROR, 5 * MS, false, now - MS, ServerRole.REPLICA));
    }
}
