package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests load shedding, which applies only where there are many routers. */
class LoadSheddingTest extends RouterFixture {
    @Test
    void partOfReadsIsShedWhileAnswersAreSlowAndClientRetriesFirst() {
        RouterSettings fewRouters = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        200,
                        0,
                        true,
                        fewRouters.classes(),
                        fewRouters.limits(),
                        fewRouters.rules(),
                        fewRouters.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
        allServersReport();
        int rejectedAtFirst = 0;
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            now += 200 * MS;
            request("r" + i, READ, null, 800 * MS);
            if (rejections("r" + i) > 0) {
                rejectedAtFirst += i < 1 ? 1 : 0;
                rejected++;
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
        assertEquals(0, rejectedAtFirst, "no read may be rejected before any answer was slow");
        assertTrue(rejected > 15 && rejected < 55, "rejected of 60 reads: " + rejected);
        int clientRetriesRejected = 0;
        for (int i = 0; i < 20; i++) {
            String id = "retry" + i;
            handle(new RouterEvent.RequestArrived(id, READ, true, null, 0, 1, 800 * MS));
            clientRetriesRejected += rejections(id);
            if (lastServer(id) != null) {
                attemptEnded(id, 0, lastServer(id), AttemptOutcome.MISDIRECTED, now - MS, ServerRole.REPLICA);
            }
        }
        assertTrue(
                clientRetriesRejected >= 18,
                "client retries must be rejected first; rejected of 20: " + clientRetriesRejected);
    }

    @Test
    void unmarkedClientRetriesThatCannotBeInTimeAreShedFirst() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        RouterSettings fewRouters = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        14,
                        0,
                        true,
                        fewRouters.classes(),
                        fewRouters.limits(),
                        fewRouters.rules(),
                        fewRouters.replication()),
                now,
                actions::add);
        updateEndpoints(ListForm.RESTORED, liveEndpoint("a", true), liveEndpoint("b", false), liveEndpoint("c", false));
        allServersReport();
        // Index 0 counts first attempts, 1 clients' retries.
        int[] rejected = new int[2];
        for (int i = 0; i < 400; i++) {
            boolean clientRetry = i % 4 == 3;
            String id = "r" + i;
            request(id, READ, null, clientRetry ? 300 * MS : 700 * MS);
            now += 5 * MS;
            if (lastServer(id) == null) {
                rejected[clientRetry ? 1 : 0]++;
            } else {
                handle(new RouterEvent.AttemptEnded(
                        id, 0, lastServer(id), AttemptOutcome.SERVED, 90 * MS, true, now, ServerRole.REPLICA));
            }
        }
        assertTrue(rejected[1] > 60, "rejected of 100 client retries: " + rejected[1]);
        assertTrue(rejected[0] < 150, "rejected of 300 first attempts: " + rejected[0]);
    }
}
