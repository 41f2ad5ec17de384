package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests many routers together, against scripted servers in virtual time: what is harmless for one router must not add
 * up to an overload or a starved server over all of them. Nodes m0 to m5 are group 1 and k0 to k5 group 2; m0 and k0
 * are the primaries.
 */
class FleetTest {
    private static final long MS = 1000;
    private static final long SECOND = 1000 * MS;
    private static final int REQUESTS_PER_SECOND = 300;
    private static final int WARM_SERVERS = 5;
    private static final double INITIAL_CAPACITY_RATIO = 0.2;
    /** The multiple of its present capacity that overloads a server in slow start. */
    private double overloadMultiple = 3;
    /** How long a server's slow start lasts. */
    private long warmUpMicros = 10 * SECOND;

    private record ScheduledEvent(long atMicros, int router, RouterEvent event) {}

    private final PriorityQueue<ScheduledEvent> scheduledEvents =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMicros, b.atMicros));
    private final List<Router> routers = new ArrayList<>();
    /** The settings of each router, for its restart. */
    private final List<RouterSettings> settingsByRouter = new ArrayList<>();
    /** The endpoint list as last updated, for routers that restart. */
    private final Map<String, Endpoint> endpointsByNode = new LinkedHashMap<>();
    /** When attempts were started at each node, by all routers, in microseconds. */
    private final Map<String, List<Long>> attemptTimesByNode = new HashMap<>();
    /** The Retry-After of each rejected read, in microseconds. */
    private final List<Long> retryAfters = new ArrayList<>();

    private long now = 1000 * SECOND;
    private long latencyMicros = 40 * MS;
    private int healthChecks;
    /** Selects the router that a request arrives at. */
    private ToIntFunction<SplittableRandom> routerOfRequest = random -> random.nextInt(routers.size());

    /** Selects the group that a request is for. */
    private ToIntFunction<SplittableRandom> groupOfRequest = random -> 1;

    private void startRouters(int count) {
        startRouters(count, 1);
    }

    /** Starts routers that share one endpoint list, of one or two groups. */
    private void startRouters(int count, int groups) {
        RequestClass read = new RequestClass(
                "read",
                RequestClass.Access.BOUNDED,
                500 * MS,
                RequestClass.Effect.SAFE,
                RequestClass.KeyScope.ALL,
                0,
                600 * MS,
                2000 * MS,
                1,
                0);
        for (int i = 0; i < count; i++) {
            int routerIndex = i;
            RouterSettings settings = new RouterSettings(
                    i,
                    count,
                    0,
                    false,
                    List.of(read),
                    new RouterSettings.DeploymentLimits(6, false, true, true, true, SECOND, 1000),
                    new RouterSettings.Rules(
                            20 * MS,
                            250 * MS,
                            10 * SECOND,
                            INITIAL_CAPACITY_RATIO,
                            warmUpMicros,
                            overloadMultiple,
                            3 * SECOND),
                    new RouterSettings.Replication(
                            RouterSettings.FreshnessCheck.BOUNCE, 0, RouterSettings.TokenSource.CARRIED));
            routers.add(new Router(100 + i, settings, now, action -> perform(routerIndex, action)));
            settingsByRouter.add(settings);
        }
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i <= WARM_SERVERS; i++) {
            members.add(new Endpoint("m" + i, 1, 0, EndpointState.LIVE, i == 0, 0));
            if (groups == 2) {
                members.add(new Endpoint("k" + i, 2, 0, EndpointState.LIVE, i == 0, 0));
            }
        }
        handleAtAllRouters(new RouterEvent.EndpointUpdate(ListForm.FULL, members));
    }

    private void handleAtAllRouters(RouterEvent event) {
        if (event instanceof RouterEvent.EndpointUpdate update) {
            update.endpoints().forEach(endpoint -> endpointsByNode.put(endpoint.node(), endpoint));
        }
        for (int i = 0; i < routers.size(); i++) {
            handle(i, event);
        }
    }

    /** Replaces a router by a new one that knows only the endpoint list; answers to the old one are not delivered. */
    private void restartRouter(int router) {
        routers.set(
                router,
                new Router(5000 + router, settingsByRouter.get(router), now, action -> perform(router, action)));
        handle(router, new RouterEvent.EndpointUpdate(ListForm.FULL, List.copyOf(endpointsByNode.values())));
    }

    private void handle(int router, RouterEvent event) {
        routers.get(router).handle(now, event, action -> perform(router, action));
    }

    /** Carries out a router's action: each attempt is served after the latency, and each health check after 1 ms. */
    private void perform(int router, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            attemptTimesByNode
                    .computeIfAbsent(start.node(), node -> new ArrayList<>())
                    .add(now);
            boolean primary = start.node().endsWith("0");
            scheduledEvents.add(new ScheduledEvent(
                    now + latencyMicros,
                    router,
                    new RouterEvent.AttemptEnded(
                            start.id(),
                            0,
                            start.node(),
                            AttemptOutcome.SERVED,
                            latencyMicros,
                            true,
                            now,
                            primary ? ServerRole.PRIMARY : ServerRole.REPLICA)));
        } else if (action instanceof RouterAction.Reject reject) {
            retryAfters.add(reject.retryAfterMicros());
        } else if (action instanceof RouterAction.CheckHealth check) {
            healthChecks++;
            scheduledEvents.add(new ScheduledEvent(
                    now + MS,
                    router,
                    new RouterEvent.HealthCheckEnded(
                            check.node(), AttemptOutcome.SERVED, MS, now, ServerRole.REPLICA)));
        } else if (action instanceof RouterAction.SetTimer timer) {
            scheduledEvents.add(
                    new ScheduledEvent(now + timer.delayMicros(), router, new RouterEvent.TimerFired(timer.handle())));
        }
    }

    /** Sends reads to the routers for a time, and delivers the events that are due meanwhile. */
    private void sendReads(long durationMicros, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long end = now + durationMicros;
        for (long next = now; next < end; next += 2L * random.nextInt((int) (SECOND / REQUESTS_PER_SECOND))) {
            while (!scheduledEvents.isEmpty() && scheduledEvents.peek().atMicros <= next) {
                ScheduledEvent due = scheduledEvents.poll();
                now = Math.max(now, due.atMicros);
                handle(due.router, due.event);
            }
            now = next;
            handle(
                    routerOfRequest.applyAsInt(random),
                    new RouterEvent.RequestArrived(
                            Long.toString(now, 36) + "-" + random.nextInt(1 << 30),
                            0,
                            false,
                            null,
                            0,
                            groupOfRequest.applyAsInt(random),
                            1500 * MS));
        }
        now = end;
    }

    /**
     * Asserts that all routers together start no more attempts at a server in slow start, in any 3 s, than it can bear.
     * That is the overload multiple times its capacity at the start of the 3 s, plus an allowance for chance of two
     * standard deviations and 2 attempts.
     *
     * @param warmPerSecond the attempts per second at a warm replica, which the capacity is measured by
     */
    private void assertNotOverloaded(String node, long started, double warmPerSecond, String phase) {
        List<Long> attemptTimes = attemptTimesByNode.getOrDefault(node, List.of()).stream()
                .filter(at -> at >= started)
                .toList();
        for (long from = started; from <= now - 3 * SECOND; from += 50 * MS) {
            long start = from;
            long sent = attemptTimes.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double bearable = overloadMultiple
                    * (INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUpMicros)
                    * warmPerSecond
                    * 3;
            assertTrue(
                    sent <= bearable + 2 * Math.sqrt(bearable) + 2,
                    phase + ": " + sent + " attempts at " + node + " in 3 s, it can bear " + bearable + ", from "
                            + (from - started) / MS + " ms after its start on");
        }
    }

    /** Updates the endpoint list: the processes of these nodes have just started. Returns the time. */
    private long listAsStarted(String... nodes) {
        List<Endpoint> members = new ArrayList<>();
        for (String node : nodes) {
            members.add(new Endpoint(node, node.startsWith("m") ? 1 : 2, 0, EndpointState.LIVE, false, now));
        }
        handleAtAllRouters(new RouterEvent.EndpointUpdate(ListForm.UPDATE, members));
        return now;
    }

    /** Returns the attempts per second that a warm replica of group 1 got in the mean; it can bear at least that. */
    private double attemptsPerSecondAtWarmReplica(long from) {
        return List.of("m1", "m2", "m3", "m4").stream()
                        .mapToLong(node -> attemptTimesByNode.get(node).stream()
                                .filter(at -> at >= from)
                                .count())
                        .sum()
                / 4.0
                / ((now - from) / (double) SECOND);
    }

    @Test
    void allRoutersTogetherDoNotOverloadAServerInSlowStart() {
        startRouters(14);
        sendReads(5 * SECOND, 1);
        long started = listAsStarted("m5");
        sendReads(8 * SECOND, 2);
        List<Long> attemptTimes = attemptTimesByNode.get("m5").stream()
                .filter(at -> at >= started)
                .toList();
        // A warm replica can bear at least the attempts that it got in that time.
        double warmPerSecond = attemptTimesByNode.get("m4").stream()
                        .filter(at -> at >= started)
                        .count()
                / 8.0;
        for (long from = started; from < started + 5 * SECOND; from += 100 * MS) {
            long start = from;
            long sent = attemptTimes.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double capacityRatio =
                    INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUpMicros;
            assertTrue(
                    sent <= overloadMultiple * capacityRatio * warmPerSecond * 3,
                    sent + " attempts in 3 s, warm replicas get " + warmPerSecond + "/s, from " + (from - started) / MS
                            + " ms after its start on");
        }
        assertTrue(
                attemptTimes.size() > 30,
                "the server in slow start must not be starved, attempts at it: " + attemptTimes.size());
    }

    /**
     * Half of all requests arrive at a tenth of the routers, and a third of the routers restart 1 s after the server. A
     * warm replica can bear at least the attempts that it got, so the least busy of them is the measure of the
     * capacity.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100})
    void routersThatRestartDoNotOverloadAServerInSlowStart(int count) {
        routerOfRequest = random -> random.nextInt(random.nextBoolean() ? Math.max(1, count / 10) : count);
        startRouters(count);
        sendReads(5 * SECOND, 1);
        long started = listAsStarted("m5");
        sendReads(SECOND, 2);
        for (int i = 0; i < count; i += 3) {
            restartRouter(i);
        }
        sendReads(7 * SECOND, 3);
        double warmPerSecond = List.of("m1", "m2", "m3", "m4").stream()
                        .mapToLong(node -> attemptTimesByNode.get(node).stream()
                                .filter(at -> at >= started)
                                .count())
                        .min()
                        .orElseThrow()
                / 8.0;
        List<Long> attemptTimes = attemptTimesByNode.get("m5").stream()
                .filter(at -> at >= started)
                .toList();
        for (long from = started; from <= now - 3 * SECOND; from += 100 * MS) {
            long start = from;
            long sent = attemptTimes.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double bearable = overloadMultiple
                    * (INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUpMicros)
                    * warmPerSecond
                    * 3;
            assertTrue(
                    sent <= bearable,
                    sent + " attempts in 3 s, it can bear " + bearable + ", from " + (from - started) / MS
                            + " ms after its start on");
        }
        assertTrue(
                attemptTimes.size() > 0.3 * 8 * attemptsPerSecondAtWarmReplica(started),
                "the server in slow start must not be starved, attempts at it: " + attemptTimes.size()
                        + ", at a warm one " + 8 * attemptsPerSecondAtWarmReplica(started));
    }

    /** Slow answers make the routers reject most reads; a rejected read must leave its budget to others. */
    @ParameterizedTest
    @ValueSource(ints = {14, 30})
    void serverInSlowStartIsNotStarvedWhereMostReadsAreRejected(int count) {
        startRouters(count);
        sendReads(3 * SECOND, 1);
        latencyMicros = 500 * MS;
        sendReads(2 * SECOND, 4);
        int rejectedBefore = retryAfters.size();
        long started = listAsStarted("m5");
        sendReads(10 * SECOND, 2);
        assertTrue(
                retryAfters.size() - rejectedBefore > REQUESTS_PER_SECOND * 10 / 2,
                "rejected: " + (retryAfters.size() - rejectedBefore));
        assertNotOverloaded("m5", started, attemptsPerSecondAtWarmReplica(started), "overload");
        long attemptsInSlowStart = attemptTimesByNode.get("m5").stream()
                .filter(at -> at >= started)
                .count();
        assertTrue(
                attemptsInSlowStart > 0.3 * 10 * attemptsPerSecondAtWarmReplica(started),
                "the server in slow start must not be starved, attempts at it: " + attemptsInSlowStart
                        + ", at a warm one " + 10 * attemptsPerSecondAtWarmReplica(started));
    }

    /**
     * Each router sees few answers, which differ by chance; this must not make all routers prefer the same replicas.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100})
    void equalReplicasGetAboutAsManyReads(int count) {
        startRouters(count);
        sendReads(5 * SECOND, 1);
        long from = now;
        sendReads(8 * SECOND, 2);
        List<Long> reads = List.of("m1", "m2", "m3", "m4", "m5").stream()
                .map(node -> attemptTimesByNode.get(node).stream()
                        .filter(at -> at >= from)
                        .count())
                .sorted()
                .toList();
        assertTrue(reads.get(0) > 0.6 * reads.get(4), "reads: " + reads);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 30, 100})
    void anyNumberOfRoutersNeitherOverloadsNorStarvesAServerInSlowStart(int count) {
        overloadMultiple = 2;
        warmUpMicros = 20 * SECOND;
        startRouters(count, 2);
        groupOfRequest = random -> 1 + random.nextInt(2);
        sendReads(5 * SECOND, 1);
        long started = listAsStarted("m5");
        sendReads(10 * SECOND, 2);
        assertNotOverloaded("m5", started, attemptsPerSecondAtWarmReplica(started), "steady");
        long attemptsInSlowStart = attemptTimesByNode.get("m5").stream()
                .filter(at -> at >= started)
                .count();
        assertTrue(
                attemptsInSlowStart > 0.2 * 10 * attemptsPerSecondAtWarmReplica(started),
                "the server in slow start must not be starved, attempts at it: " + attemptsInSlowStart
                        + ", at a warm one " + 10 * attemptsPerSecondAtWarmReplica(started));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void budgetsSavedForAServerInSlowStartAreNotSpentAtOnce(int count) {
        overloadMultiple = 2;
        warmUpMicros = 60 * SECOND;
        startRouters(count, 2);
        sendReads(5 * SECOND, 1);
        long started = listAsStarted("m5");
        // Few requests are for its group at first, then all are; half of all requests arrive at a tenth of the routers.
        groupOfRequest = random -> random.nextInt(40) == 0 ? 1 : 2;
        routerOfRequest = random -> random.nextInt(random.nextBoolean() ? Math.max(1, count / 10) : count);
        sendReads(8 * SECOND, 2);
        groupOfRequest = random -> 1;
        long burst = now;
        sendReads(3 * SECOND, 3);
        assertNotOverloaded("m5", started, attemptsPerSecondAtWarmReplica(burst), "burst");
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100})
    void whileNoServerIsWarmAllRoutersTogetherSendFewAttempts(int count) {
        startRouters(count, 2);
        sendReads(2 * SECOND, 1);
        long started = listAsStarted("m0", "m1", "m2", "m3", "m4", "m5", "k0", "k1", "k2", "k3", "k4", "k5");
        sendReads(200 * MS, 2);
        for (String node : List.of("m1", "m2", "m3", "m4", "m5")) {
            long sent = attemptTimesByNode.getOrDefault(node, List.of()).stream()
                    .filter(at -> at >= started)
                    .count();
            assertTrue(sent <= 20, sent + " attempts at " + node);
        }
    }

    @Test
    void healthChecksOfAllRoutersStayUnderSixForAHundredRequests() {
        startRouters(14);
        sendReads(10 * SECOND, 3);
        assertTrue(healthChecks < REQUESTS_PER_SECOND * 10 * 0.06, "health checks: " + healthChecks);
    }

    @Test
    void retryAftersOfRejectedReadsAreShortAndSpread() {
        startRouters(14);
        latencyMicros = 1500 * MS;
        sendReads(10 * SECOND, 4);
        assertTrue(retryAfters.size() > 100, "rejected: " + retryAfters.size());
        assertTrue(
                retryAfters.stream().allMatch(retryAfter -> retryAfter < 200 * MS),
                "early enough for a retry within the objective of 600 ms");
        assertTrue(retryAfters.stream().distinct().count() > retryAfters.size() / 2, "most differ");
    }
}
