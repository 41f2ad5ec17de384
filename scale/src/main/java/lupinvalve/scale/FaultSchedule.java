package lupinvalve.scale;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import lupinvalve.drills.DaemonProcess;

/** The faults of a mixed run: one after another, spread evenly over its duration. */
final class FaultSchedule {
    private static final String HELD_NODE = "n1";
    private static final long SLOW_DELAY_MILLIS = 150;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long MIN_FAULT_MILLIS = 1_500;
    private static final long MAX_FAULT_MILLIS = 10_000;
    private static final int FAULT_DURATION_DIVISOR = 14;
    private final Daemons daemons;
    private final Links links;
    private final Fleet fleet;
    private final Operator operator;
    private final Load load;
    private final Progress progress;
    private final long faultMillis;
    private Double toldMs;
    private Double rackReadyMs;
    private Double herdReadyMs;
    private Double regionReadyMs;
    private Double failoverMs;

    private interface Fault {
        void run() throws IOException, InterruptedException;
    }

    private record Step(String name, Fault fault) {}

    FaultSchedule(
            Daemons daemons, Links links, Fleet fleet, Operator operator, Load load, Progress progress, int seconds) {
        this.daemons = daemons;
        this.links = links;
        this.fleet = fleet;
        this.operator = operator;
        this.load = load;
        this.progress = progress;
        faultMillis = Math.max(
                MIN_FAULT_MILLIS,
                Math.min(MAX_FAULT_MILLIS, TimeUnit.SECONDS.toMillis(seconds) / FAULT_DURATION_DIVISOR));
    }

    /**
     * Runs all faults until a time. A fault that is due while the previous one still runs comes late; none is skipped.
     */
    void run(long untilNanos) throws IOException, InterruptedException {
        List<Step> steps = List.of(
                new Step("holding a db node as a change of primary does", this::holdNode),
                new Step("restarting a rack", this::restartRack),
                new Step("killing the leader", this::killLeader),
                new Step("delaying the traffic of the slow tenth", this::delaySlowTenth),
                new Step("cutting the inbound links of a region", () -> cutRegion(false, true)),
                new Step("cutting all links of a region", () -> cutRegion(true, true)),
                new Step("restarting a zone", () -> herdReadyMs = load.restartTogether(zone(fleet, 1))),
                new Step("suspending a follower", this::suspendFollower),
                new Step("suspending the leader", this::suspendLeader),
                new Step("killing a follower", this::killFollower),
                new Step("restarting a region", () -> regionReadyMs = load.restartTogether(region(1))));
        long startNanos = System.nanoTime();
        for (int i = 0; i < steps.size(); i++) {
            long due = startNanos + (untilNanos - startNanos) * i / steps.size();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            progress.say(steps.get(i).name());
            steps.get(i).fault().run();
        }
    }

    private void holdNode() throws IOException, InterruptedException {
        long heldNanos = operator.hold(HELD_NODE, true);
        if (heldNanos >= 0) {
            fleet.awaitHolds(1, TIMEOUT_SECONDS);
            toldMs = (System.nanoTime() - heldNanos) / 1e6;
        }
        operator.hold(HELD_NODE, false);
    }

    private void restartRack() throws IOException, InterruptedException {
        List<Integer> zone = zone(fleet, 0);
        rackReadyMs = load.restartTogether(zone.subList(0, Math.min(zone.size(), Topology.RACK_POOLERS)));
    }

    /** Returns the numbers of a zone's poolers. */
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

    private void killLeader() throws IOException, InterruptedException {
        DaemonProcess leader = daemons.member(leader());
        long killedNanos = System.nanoTime();
        leader.kill();
        int before = operator.acknowledgedSince(killedNanos).size();
        long end = killedNanos + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (operator.acknowledgedSince(killedNanos).size() == before
                && System.nanoTime() < end
                && !operator.read()) {
            Thread.sleep(20);
        }
        failoverMs = (System.nanoTime() - killedNanos) / 1e6;
        Thread.sleep(MIN_FAULT_MILLIS);
        leader.start();
    }

    private void killFollower() throws IOException, InterruptedException {
        DaemonProcess follower = daemons.member(follower());
        follower.kill();
        Thread.sleep(faultMillis);
        follower.start();
    }

    private void suspendFollower() throws IOException, InterruptedException {
        suspend(daemons.member(follower()));
    }

    private void suspendLeader() throws IOException, InterruptedException {
        suspend(daemons.member(leader()));
    }

    private void suspend(DaemonProcess member) throws IOException, InterruptedException {
        member.pause(true);
        try {
            Thread.sleep(faultMillis);
        } finally {
            member.pause(false);
        }
    }

    private void delaySlowTenth() throws InterruptedException {
        links.slowTenth(SLOW_DELAY_MILLIS);
        try {
            Thread.sleep(faultMillis);
        } finally {
            links.slowTenth(0);
        }
    }

    private void cutRegion(boolean sent, boolean received) throws InterruptedException {
        int region = (leader() + 1) % Topology.REGIONS;
        links.cutRegion(region, sent, received);
        try {
            Thread.sleep(faultMillis);
        } finally {
            links.cutRegion(region, false, false);
        }
    }

    /** Times that this schedule has measured, in milliseconds; null for faults that have not run. */
    record Times(Double toldMs, Double rackReadyMs, Double herdReadyMs, Double regionReadyMs, Double failoverMs) {}

    Times times() {
        return new Times(toldMs, rackReadyMs, herdReadyMs, regionReadyMs, failoverMs);
    }
}
