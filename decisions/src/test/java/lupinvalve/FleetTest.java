package lupinvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Many routers before one scripted world in virtual time: what is harmless at one must not add up. */
class FleetTest {
    private static final long MS = 1000, SECOND = 1000 * MS;
    private static final int ROUTERS = 14, RATE = 300, WARM_MEMBERS = 5;
    private static final double MULTIPLE = 3, SHARE = 0.2;
    private static final long RAMP = 10 * SECOND;

    private record Due(long at, int router, Routing.Event event) {}

    private final PriorityQueue<Due> ahead = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, List<Long>> sends = new HashMap<>();
    private final List<Long> advice = new ArrayList<>();
    private long now = 1000 * SECOND, took = 40 * MS;
    private int probes;

    FleetTest() {
        Routing.RequestClass read = new Routing.RequestClass("read", Routing.Access.BOUNDED, 500 * MS,
                Routing.Effect.SAFE, Routing.KeyScope.ALL, 0, 600 * MS, 2000 * MS, 1, 0);
        for (int i = 0; i < ROUTERS; i++) {
            int self = i;
            Routing.Settings settings = new Routing.Settings(i, ROUTERS, 0, false, List.of(read),
                    new Routing.Limits(6, false, true, true, true, SECOND, 1000),
                    new Routing.Rules(20 * MS, 250 * MS, 10 * SECOND, SHARE, RAMP, MULTIPLE, 3 * SECOND),
                    new Routing.Replication(Routing.FreshnessCheck.BOUNCE, 0, Routing.TokenSource.CARRIED));
            routers.add(new Router(100 + i, settings, now, action -> act(self, action)));
        }
        List<Routing.Member> members = new ArrayList<>();
        for (int i = 0; i <= WARM_MEMBERS; i++) {
            members.add(new Routing.Member("m" + i, 1, 0, Routing.Health.LIVE, i == 0, 0));
        }
        all(new Routing.Members(Routing.ListForm.FULL, members));
    }

    private void all(Routing.Event event) {
        for (int i = 0; i < ROUTERS; i++) {
            give(i, event);
        }
    }

    private void give(int router, Routing.Event event) {
        routers.get(router).handle(now, event, action -> act(router, action));
    }

    private void act(int router, Routing.Action action) {
        if (action instanceof Routing.Send send) {
            sends.computeIfAbsent(send.node(), n -> new ArrayList<>()).add(now);
            boolean primary = send.node().equals("m0");
            ahead.add(new Due(now + took, router, new Routing.Outcome(send.id(), 0, send.node(), Routing.Ending.SERVED,
                    took, true, now, primary ? Routing.Role.PRIMARY : Routing.Role.REPLICA)));
        } else if (action instanceof Routing.Refuse refuse) {
            advice.add(refuse.retryAfterMicros());
        } else if (action instanceof Routing.Probe probe) {
            probes++;
            ahead.add(new Due(now + MS, router, new Routing.Probed(probe.node(), Routing.Ending.SERVED, MS, now,
                    Routing.Role.REPLICA)));
        } else if (action instanceof Routing.SetTimer timer) {
            ahead.add(new Due(now + timer.delayMicros(), router, new Routing.TimerFired(timer.handle())));
        }
    }

    /** Reads come at random routers for so long. */
    private void run(long micros, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long end = now + micros;
        for (long next = now; next < end; next += 2L * random.nextInt((int) (SECOND / RATE))) {
            while (!ahead.isEmpty() && ahead.peek().at <= next) {
                Due due = ahead.poll();
                now = Math.max(now, due.at);
                give(due.router, due.event);
            }
            now = next;
            give(random.nextInt(ROUTERS), new Routing.Request(Long.toString(now, 36) + "-" + random.nextInt(1 << 30), 0,
                    false, null, 0, 1, 1500 * MS));
        }
        now = end;
    }

    @Test
    void allTogetherKeepAColdMemberUnderWhatItCanBear() {
        run(5 * SECOND, 1);
        long born = now;
        all(new Routing.Members(Routing.ListForm.UPDATE, List.of(
                new Routing.Member("m5", 1, 0, Routing.Health.LIVE, false, born))));
        run(8 * SECOND, 2);
        List<Long> cold = sends.get("m5").stream().filter(at -> at >= born).toList();
        // What a warm replica was sent in that time is what it can bear at least.
        double warm = sends.get("m4").stream().filter(at -> at >= born).count() / 8.0;
        for (long from = born; from < born + 5 * SECOND; from += 100 * MS) {
            long start = from;
            long sent = cold.stream().filter(at -> at >= start && at < start + 3 * SECOND).count();
            double warmth = SHARE + (1 - SHARE) * (from - born) / RAMP;
            assertTrue(sent <= MULTIPLE * warmth * warm * 3, sent + " sent, warm members take " + warm + "/s, from "
                    + (from - born) / MS + " ms on");
        }
        assertTrue(cold.size() > 30, "it is not starved: " + cold.size());
    }

    @Test
    void probesOfAllTogetherStayAFewInAHundredRequests() {
        run(10 * SECOND, 3);
        assertTrue(probes < RATE * 10 * 0.06, "probes " + probes);
    }

    @Test
    void refusedReadsAreToldToComeBackInTimeAndNotAsOneWave() {
        took = 1500 * MS;
        run(10 * SECOND, 4);
        assertTrue(advice.size() > 100, "refused " + advice.size());
        assertTrue(advice.stream().allMatch(a -> a < 200 * MS), "in time for an aim of 600 ms");
        assertTrue(advice.stream().distinct().count() > advice.size() / 2, "spread");
    }
}
