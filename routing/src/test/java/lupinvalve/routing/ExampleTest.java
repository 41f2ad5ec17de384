package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compiles and runs the example of the README: a router embedded in a program starts an attempt of a read at the
 * replica.
 */
class ExampleTest {
    @Test
    void embeddedRouterStartsAReadAtTheReplica() {
        RequestClass read = new RequestClass(
                "read",
                RequestClass.Access.SESSION,
                0,
                RequestClass.Effect.SAFE,
                RequestClass.KeyScope.ALL,
                0,
                200_000,
                800_000,
                1,
                0.2);
        RouterSettings settings = new RouterSettings(
                0,
                1,
                0,
                false,
                List.of(read),
                new RouterSettings.DeploymentLimits(5, false, true, true, true, 1_000_000, 10_000),
                new RouterSettings.Rules(5_000, 1_000_000, 10_000_000, 0.2, 10_000_000, 2, 1_500_000),
                new RouterSettings.Replication(
                        RouterSettings.FreshnessCheck.BOUNCE, 0, RouterSettings.TokenSource.REMEMBERED));
        long seed = 42;
        long nowMicros = 1_000_000_000L;

        List<RouterAction> actions = new ArrayList<>();
        Router router = new Router(seed, settings, nowMicros, actions::add);
        router.handle(
                nowMicros,
                new RouterEvent.EndpointUpdate(
                        ListForm.FULL,
                        List.of(
                                new Endpoint("db-1", 1, 0, EndpointState.LIVE, true, 0),
                                new Endpoint("db-2", 1, 0, EndpointState.LIVE, false, 0))),
                actions::add);
        router.handle(
                nowMicros, new RouterEvent.RequestArrived("r1", 0, false, "session", 0, 1, 800_000), actions::add);

        assertTrue(actions.stream()
                .anyMatch(action -> action instanceof RouterAction.StartAttempt start
                        && start.id().equals("r1")
                        && start.node().equals("db-2")));
    }
}
