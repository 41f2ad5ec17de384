package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how many requests a server in slow start gets. */
class SlowStartTest extends RouterFixture {
    @Test
    void replicaInSlowStartGetsNoMoreThanItsPartOfTheRequestsOfWarmServers() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        updateEndpoints(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        int toSlowStart = 0;
        int toWarm = 0;
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            request(id, READ, null, 400 * MS);
            String node = lastServer(id);
            toSlowStart += "b".equals(node) ? 1 : 0;
            toWarm += "c".equals(node) || "a".equals(node) ? 1 : 0;
            now += 2 * MS;
            attemptEnded(
                    id,
                    0,
                    node,
                    AttemptOutcome.SERVED,
                    now - 5 * MS,
                    node.equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA);
        }
        assertTrue(toSlowStart > 0, "a replica in slow start gets some requests");
        assertTrue(toSlowStart <= toWarm * 0.3, toSlowStart + " to the one in slow start, " + toWarm + " to warm ones");
    }

    @Test
    void attemptsThatWarmServersRejectEarnNoBudget() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        updateEndpoints(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        int toSlowStart = 0;
        for (int i = 0; i < 200; i++) {
            String id = "r" + i;
            request(id, READ, null, 400 * MS);
            String node = lastServer(id);
            toSlowStart += "b".equals(node) ? 1 : 0;
            if (node != null) {
                attemptEnded(id, 0, node, AttemptOutcome.REJECTED, now, ServerRole.UNKNOWN);
                handle(new RouterEvent.ClientDisconnected(id));
            }
            now += 2 * MS;
        }
        assertEquals(0, toSlowStart);
    }

    @Test
    void slowAnswersOfWarmServersEarnNoMoreBudget() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        allServersReport();
        updateEndpoints(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.LIVE, true, now),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0));
        healthCheckServed("a", now + MS, ServerRole.PRIMARY);
        int reads = 0;
        int writes = 0;
        for (int i = 0; i < 200; i++) {
            request("r" + i, READ, null, 400 * MS);
            if (lastServer("r" + i) != null) {
                reads++;
                handle(new RouterEvent.AttemptEnded(
                        "r" + i,
                        0,
                        lastServer("r" + i),
                        AttemptOutcome.SERVED,
                        150 * MS,
                        true,
                        now - MS,
                        lastServer("r" + i).equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA));
            }
            request("w" + i, WRITE, "s", 2000 * MS);
            now += 2 * MS;
        }
        for (int i = 0; i < 200; i++) {
            writes += lastServer("w" + i) != null ? 1 : 0;
        }
        assertTrue(
                writes > 0 && writes <= reads * 0.4, writes + " writes to the one in slow start, " + reads + " reads");
    }

    @Test
    void capacityRatioGrowsFromItsInitialValueToOneAndStaysThere() {
        RouterSettings.Rules rules = new RouterSettings.Rules(0, 0, 0, 0.2, 10_000, 3, 3_000);
        assertEquals(0.2, SlowStart.capacityRatio(rules, -3_000), 1e-9);
        assertEquals(0.6, SlowStart.capacityRatio(rules, 5_000), 1e-9);
        assertEquals(1, SlowStart.capacityRatio(rules, 20_000), 1e-9);
    }
}
