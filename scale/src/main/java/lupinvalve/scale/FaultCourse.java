package lupinvalve.scale;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import lupinvalve.drills.DaemonProcess;

/** The faults of a mixed run, one after another, spread over its time. */
final class FaultCourse {
    private static final String NODE = "n1";
    private static final long SLOW_MILLIS = 150;
    private static final long WITHIN_SECONDS = 60;
    private static final long LEAST_MILLIS = 1_500;
    private static final long MOST_MILLIS = 10_000;
    private static final int SHARE = 14;
    private final Daemons daemons;
    private final Links links;
    private final Fleet fleet;
    private final Operator operator;
    private final Load load;
    private final Progress progress;
    private final long lastsMillis;
    private Double toldMs;
    private Double rackReadyMs;
    private Double herdReadyMs;
    private Double regionReadyMs;
    private Double failoverMs;

    private interface Fault {
        void happen() throws IOException, InterruptedException;
    }

    private record Step(String name, Fault fault) {}

    FaultCourse(
            Daemons daemons, Links links, Fleet fleet, Operator operator, Load load, Progress progress, int seconds) {
        this.daemons = daemons;
        this.links = links;
        this.fleet = fleet;
        this.operator = operator;
        this.load = load;
        this.progress = progress;
        lastsMillis = Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, TimeUnit.SECONDS.toMillis(seconds) / SHARE));
    }

    /** Plays all faults until a time; what does not fit in it comes late, but comes. */
    void play(long untilNanos) throws IOException, InterruptedException {
        List<Step> steps = List.of(
                new Step("a primary changes", this::told),
                new Step("a rack restarts", this::rack),
                new Step("the leader is killed", this::leaderKilled),
                new Step("a slow tenth", this::slowTenth),
                new Step("a region hears nothing", () -> cut(false, true)),
                new Step("a region is cut off", () -> cut(true, true)),
                new Step("a zone restarts", () -> herdReadyMs = load.herd(zone(fleet, 1))),
                new Step("a follower stands still", this::followerStands),
                new Step("the leader stands still", this::leaderStands),
                new Step("a follower is killed", this::followerKilled),
                new Step("a region restarts", () -> regionReadyMs = load.herd(region(1))));
        long begun = System.nanoTime();
        for (int i = 0; i < steps.size(); i++) {
            long due = begun + (untilNanos - begun) * i / steps.size();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            progress.say(steps.get(i).name());
            steps.get(i).fault().happen();
        }
    }

    private void told() throws IOException, InterruptedException {
        long at = operator.hold(NODE, true);
        if (at >= 0) {
            fleet.awaitHolds(1, WITHIN_SECONDS);
            toldMs = (System.nanoTime() - at) / 1e6;
        }
        operator.hold(NODE, false);
    }

    private void rack() throws IOException, InterruptedException {
        List<Integer> zone = zone(fleet, 0);
        rackReadyMs = load.herd(zone.subList(0, Math.min(zone.size(), Topology.RACK)));
    }

    /** A zone's poolers. */
    static List<Integer> zone(Fleet fleet, int zone) {
        return IntStream.range(0, fleet.size())
                .filter(i -> Topology.zone(i) == zone)
                .boxed()
                .toList();
    }

    private List<Integer> region(int region) {
        return IntStream.range(0, fleet.size())
                .filter(i -> Topology.region(i) == region)
                .boxed()
                .toList();
    }

    private int leader() {
        return Math.max(0, daemons.leader());
    }

    private int follower() {
        return (leader() + 1) % Topology.MEMBERS;
    }

    private void leaderKilled() throws IOException, InterruptedException {
        DaemonProcess leader = daemons.member(leader());
        long killed = System.nanoTime();
        leader.kill();
        int before = operator.acknowledgedSince(killed).size();
        long end = killed + TimeUnit.SECONDS.toNanos(WITHIN_SECONDS);
        while (operator.acknowledgedSince(killed).size() == before && System.nanoTime() < end && !operator.read()) {
            Thread.sleep(20);
        }
        failoverMs = (System.nanoTime() - killed) / 1e6;
        Thread.sleep(LEAST_MILLIS);
        leader.start();
    }

    private void followerKilled() throws IOException, InterruptedException {
        DaemonProcess follower = daemons.member(follower());
        follower.kill();
        Thread.sleep(lastsMillis);
        follower.start();
    }

    private void followerStands() throws IOException, InterruptedException {
        stands(daemons.member(follower()));
    }

    private void leaderStands() throws IOException, InterruptedException {
        stands(daemons.member(leader()));
    }

    private void stands(DaemonProcess member) throws IOException, InterruptedException {
        member.pause(true);
        try {
            Thread.sleep(lastsMillis);
        } finally {
            member.pause(false);
        }
    }

    private void slowTenth() throws InterruptedException {
        links.slowTenth(SLOW_MILLIS);
        try {
            Thread.sleep(lastsMillis);
        } finally {
            links.slowTenth(0);
        }
    }

    private void cut(boolean sent, boolean received) throws InterruptedException {
        int region = (leader() + 1) % Topology.REGIONS;
        links.cutRegion(region, sent, received);
        try {
            Thread.sleep(lastsMillis);
        } finally {
            links.cutRegion(region, false, false);
        }
    }

    /** Times of this course; null for what it has not come to. */
    record Times(Double toldMs, Double rackReadyMs, Double herdReadyMs, Double regionReadyMs, Double failoverMs) {}

    Times times() {
        return new Times(toldMs, rackReadyMs, herdReadyMs, regionReadyMs, failoverMs);
    }
}
