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

/** Many routers before one scripted world in virtual time: what is harmless at one must not add up. */
class FleetTest {
    private static final long MS = 1000;
    private static final long SECOND = 1000 * MS;
    private static final int REQUESTS_PER_SECOND = 300;
    private static final int WARM_SERVERS = 5;
    private static final double INITIAL_CAPACITY_RATIO = 0.2;
    /** How much more than it can do a server in slow start bears, and how long it takes to be warm. */
    private double overloadMultiple = 3;

    private long warmUp = 10 * SECOND;

    private record Due(long at, int router, RouterEvent event) {}

    private final PriorityQueue<Due> ahead = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Router> routers = new ArrayList<>();
    /** What each router was set to, and what was last listed, for those that start again. */
    private final List<RouterSettings> settingsByRouter = new ArrayList<>();

    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private final Map<String, List<Long>> sends = new HashMap<>();
    private final List<Long> retryAfters = new ArrayList<>();
    private long now = 1000 * SECOND;
    private long latency = 40 * MS;
    private int healthChecks;
    /** Which router a request comes to, and for which group. */
    private ToIntFunction<SplittableRandom> routerOfRequest = random -> random.nextInt(routers.size());

    private ToIntFunction<SplittableRandom> groupOfRequest = random -> 1;

    private void fleet(int count) {
        fleet(count, 1);
    }

    private void fleet(int count, int groups) {
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
            int self = i;
            RouterSettings settings = new RouterSettings(
                    i,
                    count,
                    0,
                    false,
                    List.of(read),
                    new RouterSettings.SiteLimits(6, false, true, true, true, SECOND, 1000),
                    new RouterSettings.Rules(
                            20 * MS,
                            250 * MS,
                            10 * SECOND,
                            INITIAL_CAPACITY_RATIO,
                            warmUp,
                            overloadMultiple,
                            3 * SECOND),
                    new RouterSettings.Replication(
                            RouterSettings.FreshnessCheck.BOUNCE, 0, RouterSettings.TokenSource.CARRIED));
            routers.add(new Router(100 + i, settings, now, action -> act(self, action)));
            settingsByRouter.add(settings);
        }
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i <= WARM_SERVERS; i++) {
            members.add(new Endpoint("m" + i, 1, 0, EndpointState.LIVE, i == 0, 0));
            if (groups == 2) {
                members.add(new Endpoint("k" + i, 2, 0, EndpointState.LIVE, i == 0, 0));
            }
        }
        all(new RouterEvent.EndpointUpdate(ListForm.FULL, members));
    }

    private void all(RouterEvent event) {
        if (event instanceof RouterEvent.EndpointUpdate news) {
            news.endpoints().forEach(member -> listed.put(member.node(), member));
        }
        for (int i = 0; i < routers.size(); i++) {
            give(i, event);
        }
    }

    /** A router is replaced by a new one that knows nothing but the list; answers to the old one are lost. */
    private void restartRouter(int router) {
        routers.set(
                router, new Router(5000 + router, settingsByRouter.get(router), now, action -> act(router, action)));
        give(router, new RouterEvent.EndpointUpdate(ListForm.FULL, List.copyOf(listed.values())));
    }

    private void give(int router, RouterEvent event) {
        routers.get(router).handle(now, event, action -> act(router, action));
    }

    private void act(int router, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt send) {
            sends.computeIfAbsent(send.node(), n -> new ArrayList<>()).add(now);
            boolean primary = send.node().endsWith("0");
            ahead.add(new Due(
                    now + latency,
                    router,
                    new RouterEvent.AttemptEnded(
                            send.id(),
                            0,
                            send.node(),
                            AttemptOutcome.SERVED,
                            latency,
                            true,
                            now,
                            primary ? ServerRole.PRIMARY : ServerRole.REPLICA)));
        } else if (action instanceof RouterAction.Reject refuse) {
            retryAfters.add(refuse.retryAfterMicros());
        } else if (action instanceof RouterAction.CheckHealth probe) {
            healthChecks++;
            ahead.add(new Due(
                    now + MS,
                    router,
                    new RouterEvent.HealthCheckEnded(
                            probe.node(), AttemptOutcome.SERVED, MS, now, ServerRole.REPLICA)));
        } else if (action instanceof RouterAction.SetTimer timer) {
            ahead.add(new Due(now + timer.delayMicros(), router, new RouterEvent.TimerFired(timer.handle())));
        }
    }

    /** Reads come for so long. */
    private void run(long micros, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long end = now + micros;
        for (long next = now; next < end; next += 2L * random.nextInt((int) (SECOND / REQUESTS_PER_SECOND))) {
            while (!ahead.isEmpty() && ahead.peek().at <= next) {
                Due due = ahead.poll();
                now = Math.max(now, due.at);
                give(due.router, due.event);
            }
            now = next;
            give(
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

    /** What may be sent to a member in any window of 3 s by all together: what it bears, and a little chance. */
    private void assertBearable(String node, long started, double warmPerSecond, String what) {
        List<Long> cold = sends.getOrDefault(node, List.of()).stream()
                .filter(at -> at >= started)
                .toList();
        for (long from = started; from <= now - 3 * SECOND; from += 50 * MS) {
            long start = from;
            long sent = cold.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double bearable = overloadMultiple
                    * (INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUp)
                    * warmPerSecond
                    * 3;
            assertTrue(
                    sent <= bearable + 2 * Math.sqrt(bearable) + 2,
                    what + ": " + sent + " sent, bearable " + bearable + ", from " + (from - started) / MS + " ms on");
        }
    }

    private long start(String... nodes) {
        List<Endpoint> members = new ArrayList<>();
        for (String node : nodes) {
            members.add(new Endpoint(node, node.startsWith("m") ? 1 : 2, 0, EndpointState.LIVE, false, now));
        }
        all(new RouterEvent.EndpointUpdate(ListForm.UPDATE, members));
        return now;
    }

    /** What a warm replica of the cold one's group was sent in the mean: it can bear that at least. */
    private double warmPerSecond(long from) {
        return List.of("m1", "m2", "m3", "m4").stream()
                        .mapToLong(node -> sends.get(node).stream()
                                .filter(at -> at >= from)
                                .count())
                        .sum()
                / 4.0
                / ((now - from) / (double) SECOND);
    }

    @Test
    void allTogetherKeepAServerInSlowStartUnderWhatItCanBear() {
        fleet(14);
        run(5 * SECOND, 1);
        long started = start("m5");
        run(8 * SECOND, 2);
        List<Long> cold = sends.get("m5").stream().filter(at -> at >= started).toList();
        // What a warm replica was sent in that time is what it can bear at least.
        double warm = sends.get("m4").stream().filter(at -> at >= started).count() / 8.0;
        for (long from = started; from < started + 5 * SECOND; from += 100 * MS) {
            long start = from;
            long sent = cold.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double warmth = INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUp;
            assertTrue(
                    sent <= overloadMultiple * warmth * warm * 3,
                    sent + " sent, warm members take " + warm + "/s, from " + (from - started) / MS + " ms on");
        }
        assertTrue(cold.size() > 30, "it is not starved: " + cold.size());
    }

    /** Half of what comes comes to a tenth of the poolers, and a third of all start again 1 s after the member. */
    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100})
    void routersThatRestartKeepAServerInSlowStartUnderWhatTheLeastBusyOfTheOthersShows(int count) {
        routerOfRequest = random -> random.nextInt(random.nextBoolean() ? Math.max(1, count / 10) : count);
        fleet(count);
        run(5 * SECOND, 1);
        long started = start("m5");
        run(SECOND, 2);
        for (int i = 0; i < count; i += 3) {
            restartRouter(i);
        }
        run(7 * SECOND, 3);
        double warm = List.of("m1", "m2", "m3", "m4").stream()
                        .mapToLong(node -> sends.get(node).stream()
                                .filter(at -> at >= started)
                                .count())
                        .min()
                        .orElseThrow()
                / 8.0;
        List<Long> cold = sends.get("m5").stream().filter(at -> at >= started).toList();
        for (long from = started; from <= now - 3 * SECOND; from += 100 * MS) {
            long start = from;
            long sent = cold.stream()
                    .filter(at -> at >= start && at < start + 3 * SECOND)
                    .count();
            double bearable = overloadMultiple
                    * (INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (from - started) / warmUp)
                    * warm
                    * 3;
            assertTrue(
                    sent <= bearable,
                    sent + " sent, bearable " + bearable + ", from " + (from - started) / MS + " ms on");
        }
        assertTrue(
                cold.size() > 0.3 * 8 * warmPerSecond(started),
                "it is not starved: " + cold.size() + " against " + 8 * warmPerSecond(started));
    }

    /** Late answers make the poolers refuse most reads: what a refused one might have used up is left for others. */
    @ParameterizedTest
    @ValueSource(ints = {14, 30})
    void serverInSlowStartIsNotStarvedWhereMostReadsAreRejected(int count) {
        fleet(count);
        run(3 * SECOND, 1);
        latency = 500 * MS;
        run(2 * SECOND, 4);
        int rejectedBefore = retryAfters.size();
        long started = start("m5");
        run(10 * SECOND, 2);
        assertTrue(
                retryAfters.size() - rejectedBefore > REQUESTS_PER_SECOND * 10 / 2,
                "refused " + (retryAfters.size() - rejectedBefore));
        assertBearable("m5", started, warmPerSecond(started), "pressed");
        long cold = sends.get("m5").stream().filter(at -> at >= started).count();
        assertTrue(
                cold > 0.3 * 10 * warmPerSecond(started),
                "it is not starved: " + cold + " against " + 10 * warmPerSecond(started));
    }

    /** Each pooler sees few answers: what these tell apart by chance must not make all prefer the same replicas. */
    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100})
    void equalReplicasGetAboutAsManyReads(int count) {
        fleet(count);
        run(5 * SECOND, 1);
        long from = now;
        run(8 * SECOND, 2);
        List<Long> reads = List.of("m1", "m2", "m3", "m4", "m5").stream()
                .map(node -> sends.get(node).stream().filter(at -> at >= from).count())
                .sorted()
                .toList();
        assertTrue(reads.get(0) > 0.6 * reads.get(4), "reads: " + reads);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 30, 100})
    void anyNumberOfRoutersKeepsAServerInSlowStartUnderWhatItCanBearAndDoesNotStarveIt(int count) {
        overloadMultiple = 2;
        warmUp = 20 * SECOND;
        fleet(count, 2);
        groupOfRequest = random -> 1 + random.nextInt(2);
        run(5 * SECOND, 1);
        long started = start("m5");
        run(10 * SECOND, 2);
        assertBearable("m5", started, warmPerSecond(started), "steady");
        long cold = sends.get("m5").stream().filter(at -> at >= started).count();
        assertTrue(
                cold > 0.2 * 10 * warmPerSecond(started),
                "it is not starved: " + cold + " against " + 10 * warmPerSecond(started));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void budgetsSavedForAServerInSlowStartAreNotSpentAtOnce(int count) {
        overloadMultiple = 2;
        warmUp = 60 * SECOND;
        fleet(count, 2);
        run(5 * SECOND, 1);
        long started = start("m5");
        // Few ask for its group, then all do; half of what comes comes to a tenth of the routers.
        groupOfRequest = random -> random.nextInt(40) == 0 ? 1 : 2;
        routerOfRequest = random -> random.nextInt(random.nextBoolean() ? Math.max(1, count / 10) : count);
        run(8 * SECOND, 2);
        groupOfRequest = random -> 1;
        long burst = now;
        run(3 * SECOND, 3);
        assertBearable("m5", started, warmPerSecond(burst), "burst");
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100})
    void whereNoServerIsWarmAllTogetherDoNotRushThem(int count) {
        fleet(count, 2);
        run(2 * SECOND, 1);
        long started = start("m0", "m1", "m2", "m3", "m4", "m5", "k0", "k1", "k2", "k3", "k4", "k5");
        run(200 * MS, 2);
        for (String node : List.of("m1", "m2", "m3", "m4", "m5")) {
            long sent = sends.getOrDefault(node, List.of()).stream()
                    .filter(at -> at >= started)
                    .count();
            assertTrue(sent <= 20, node + ": " + sent);
        }
    }

    @Test
    void healthChecksOfAllTogetherStayAFewInAHundredRequests() {
        fleet(14);
        run(10 * SECOND, 3);
        assertTrue(healthChecks < REQUESTS_PER_SECOND * 10 * 0.06, "probes " + healthChecks);
    }

    @Test
    void retryAftersOfRejectedReadsAreInTimeAndNotOneWave() {
        fleet(14);
        latency = 1500 * MS;
        run(10 * SECOND, 4);
        assertTrue(retryAfters.size() > 100, "refused " + retryAfters.size());
        assertTrue(retryAfters.stream().allMatch(a -> a < 200 * MS), "in time for an aim of 600 ms");
        assertTrue(retryAfters.stream().distinct().count() > retryAfters.size() / 2, "spread");
    }
}
