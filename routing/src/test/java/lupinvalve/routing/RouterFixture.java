package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Base class of tests that drive a router through its public interface only. One group has the primary a and the
 * replicas b and c, there are five request classes, and each test advances the clock itself.
 */
abstract class RouterFixture {
    /** Microseconds in a millisecond: the unit of all times is the microsecond. */
    static final long MS = 1000;

    /** Indexes of the request classes in {@link #settings}. */
    static final int READ = 0;

    static final int SESSION_READ = 1;
    static final int STRONG_READ = 2;
    static final int WRITE = 3;
    static final int LONG_READ = 4;

    final List<RouterAction> actions = new ArrayList<>();
    /** Time of the next event, in microseconds. */
    long now = 1_000_000_000L;

    Router router;

    static RequestClass requestClass(
            String name, RequestClass.Access access, RequestClass.Effect effect, long objectiveMicros) {
        return new RequestClass(
                name,
                access,
                500 * MS,
                effect,
                RequestClass.KeyScope.GROUP,
                3000 * MS,
                objectiveMicros,
                4 * objectiveMicros,
                1,
                0.2);
    }

    static RouterSettings settings(
            RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect writeEffect) {
        return new RouterSettings(
                0,
                2,
                0,
                true,
                List.of(
                        requestClass("read", RequestClass.Access.BOUNDED, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("session-read", RequestClass.Access.SESSION, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("strong-read", RequestClass.Access.STRONG, RequestClass.Effect.SAFE, 200 * MS),
                        requestClass("write", RequestClass.Access.WRITE, writeEffect, 500 * MS),
                        requestClass("long-read", RequestClass.Access.ANY, RequestClass.Effect.SAFE, 2000 * MS)),
                new RouterSettings.DeploymentLimits(8, false, true, true, true, 1_000_000, 10_000),
                new RouterSettings.Rules(8 * MS, 1000 * MS, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                new RouterSettings.Replication(check, 50 * MS, tokens));
    }

    /** Starts a router with the endpoint list of an earlier process. */
    void start(
            RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect writeEffect) {
        router = new Router(7, settings(check, tokens, writeEffect), now, actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
    }

    static Endpoint liveEndpoint(String node, boolean primary) {
        return new Endpoint(node, 1, 0, EndpointState.LIVE, primary, 0);
    }

    void updateEndpoints(ListForm form, Endpoint... endpoints) {
        handle(new RouterEvent.EndpointUpdate(form, List.of(endpoints)));
    }

    void handle(RouterEvent event) {
        router.handle(now, event, actions::add);
    }

    void request(String id, int classIndex, String session, long timeLeftMicros) {
        handle(new RouterEvent.RequestArrived(id, classIndex, false, session, 0, 1, timeLeftMicros));
    }

    void healthCheckServed(String node, long position, ServerRole role) {
        handle(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, position, role));
    }

    void attemptEnded(String id, int attempt, String node, AttemptOutcome outcome, long position, ServerRole role) {
        handle(new RouterEvent.AttemptEnded(
                id, attempt, node, outcome, 20 * MS, outcome == AttemptOutcome.SERVED, position, role));
    }

    /** Advances the clock in steps of 5 ms, each with a timer event, so the router's timer is at most 5 ms late. */
    void advance(long micros) {
        for (long endMicros = now + micros; now < endMicros; ) {
            now += 5 * MS;
            handle(new RouterEvent.TimerFired(1));
        }
    }

    /** The last attempt that was started for a request, or null. */
    RouterAction.StartAttempt lastAttempt(String id) {
        RouterAction.StartAttempt last = null;
        for (RouterAction action : actions) {
            if (action instanceof RouterAction.StartAttempt start && start.id().equals(id)) {
                last = start;
            }
        }
        return last;
    }

    /** The server of the last attempt that was started for a request, or null. */
    String lastServer(String id) {
        RouterAction.StartAttempt last = lastAttempt(id);
        return last == null ? null : last.node();
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

    /** Health checks of all servers succeed: the replicas are 20 ms behind the primary. */
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
