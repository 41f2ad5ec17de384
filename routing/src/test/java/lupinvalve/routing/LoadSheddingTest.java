package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What many routers reject at once. */
class LoadSheddingTest extends RouterFixture {
    @Test
    void manyRoutersShedLoadInProportionAsAnswersAreLate() {
        RouterSettings two = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(0, 200, 0, true, two.classes(), two.limits(), two.rules(), two.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
        allServersReport();
        int refusedEarly = 0;
        int refusedLate = 0;
        for (int i = 0; i < 60; i++) {
            now += 200 * MS;
            request("r" + i, READ, null, 800 * MS);
            if (rejections("r" + i) > 0) {
                refusedEarly += i < 1 ? 1 : 0;
                refusedLate++;
            } else if (lastServer("r" + i) != null) {
                handle(new RouterEvent.AttemptEnded(
                        "r" + i,
                        0,
                        lastServer("r" + i),
                        AttemptOutcome.SERVED,
                        190 * MS,
                        true,
                        now - MS,
                        ServerRole.REPLICA));
            }
        }
        assertEquals(0, refusedEarly, "nothing is refused before anything was late");
        assertTrue(refusedLate > 15 && refusedLate < 55, "refused: " + refusedLate);
        int repeatsRefused = 0;
        for (int i = 0; i < 20; i++) {
            String id = "again" + i;
            handle(new RouterEvent.RequestArrived(id, READ, true, null, 0, 1, 800 * MS));
            repeatsRefused += rejections(id);
            if (lastServer(id) != null) {
                attemptEnded(id, 0, lastServer(id), AttemptOutcome.MISSED, now - MS, ServerRole.REPLICA);
            }
        }
        assertTrue(repeatsRefused >= 18, "repeats go first: " + repeatsRefused);
    }

    @Test
    void clientRetryThatCannotBeInTimeIsShedFirst() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        RouterSettings usual = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(0, 14, 0, true, usual.classes(), usual.limits(), usual.rules(), usual.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
        allServersReport();
        int[] refused = new int[2];
        for (int i = 0; i < 400; i++) {
            boolean repeat = i % 4 == 3;
            String id = "r" + i;
            request(id, READ, null, repeat ? 300 * MS : 700 * MS);
            now += 5 * MS;
            if (lastServer(id) == null) {
                refused[repeat ? 1 : 0]++;
            } else {
                handle(new RouterEvent.AttemptEnded(
                        id, 0, lastServer(id), AttemptOutcome.SERVED, 90 * MS, true, now, ServerRole.REPLICA));
            }
        }
        assertTrue(refused[1] > 60, "of 100 repeats " + refused[1]);
        assertTrue(refused[0] < 150, "of 300 first tries " + refused[0]);
    }
}
