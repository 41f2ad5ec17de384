package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example, whole. */
class ExampleTest {
    @Test
    void embedding() {
        Routing.RequestClass read = new Routing.RequestClass(
                "read",
                Routing.Access.SESSION,
                0,
                Routing.Effect.SAFE,
                Routing.KeyScope.ALL,
                0,
                200_000,
                800_000,
                1,
                0.2);
        Routing.Settings settings = new Routing.Settings(
                0,
                1,
                0,
                false,
                List.of(read),
                new Routing.Limits(5, false, true, true, true, 1_000_000, 10_000),
                new Routing.Rules(5_000, 1_000_000, 10_000_000, 0.2, 10_000_000, 2, 1_500_000),
                new Routing.Replication(Routing.FreshnessCheck.BOUNCE, 0, Routing.TokenSource.REMEMBERED));
        long seed = 42;
        long nowMicros = 1_000_000_000L;

        List<Routing.Action> actions = new ArrayList<>();
        Router router = new Router(seed, settings, nowMicros, actions::add);
        router.handle(
                nowMicros,
                new Routing.Members(
                        Routing.ListForm.FULL,
                        List.of(
                                new Routing.Member("db-1", 1, 0, Routing.Health.LIVE, true, 0),
                                new Routing.Member("db-2", 1, 0, Routing.Health.LIVE, false, 0))),
                actions::add);
        router.handle(nowMicros, new Routing.Request("r1", 0, false, "session", 0, 1, 800_000), actions::add);

        assertTrue(actions.stream()
                .anyMatch(a -> a instanceof Routing.Send s
                        && s.id().equals("r1")
                        && s.node().equals("db-2")));
    }
}
