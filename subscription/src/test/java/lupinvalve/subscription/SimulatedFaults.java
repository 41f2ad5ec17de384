package lupinvalve.subscription;

import java.util.List;
import java.util.Random;

/** Injects faults into a simulated group. */
final class SimulatedFaults {
    private static final long ELECTION_MIN_MICROS = 600_000;
    private static final int ELECTION_SPREAD_MICROS = 600_000;
    private static final long RESTART_MIN_MICROS = 100_000;
    private static final int RESTART_SPREAD_MICROS = 20_000;
    private static final double DISK_LOSS_RATIO = 0.2;

    private final VirtualNetwork network;
    private final SimulatedGroup group;
    private final Random random;

    SimulatedFaults(VirtualNetwork network, SimulatedGroup group) {
        this.network = network;
        this.group = group;
        random = network.random;
    }

    private <T> T randomOf(List<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    private void electAnotherIfLeader(VirtualProcess process) {
        if (process == group.leader()) {
            long atMicros = network.nowMicros() + ELECTION_MIN_MICROS + random.nextInt(ELECTION_SPREAD_MICROS);
            network.runAt(atMicros, group::electAnother);
        }
    }

    /** Blocks one direction between a member and a subscriber or another member. */
    void blockOneWay(long durationMicros) {
        VirtualProcess process = random.nextBoolean() ? randomOf(group.members()) : randomOf(group.subscribers());
        SimulatedMember member = randomOf(group.members());
        boolean toMember = random.nextBoolean();
        network.block(toMember ? process : member, toMember ? member : process, durationMicros);
    }

    /** Partitions a member from the other members, but not from subscribers. */
    void partition(long durationMicros) {
        SimulatedMember member = randomOf(group.members());
        for (SimulatedMember other : group.members()) {
            network.block(member, other, durationMicros);
            network.block(other, member, durationMicros);
        }
        electAnotherIfLeader(member);
    }

    /** Stops replication of the log to a member, which still renews its lease. */
    void lag(long durationMicros) {
        SimulatedMember member = randomOf(group.members());
        member.setLagging(true);
        network.runAt(network.nowMicros() + durationMicros, () -> member.setLagging(false));
    }

    void pauseMember(long durationMicros) {
        SimulatedMember member = randomOf(group.members());
        member.pause(durationMicros);
        electAnotherIfLeader(member);
    }

    void pauseSubscriber(long durationMicros) {
        randomOf(group.subscribers()).pause(durationMicros);
    }

    void restartMember(long durationMicros) {
        SimulatedMember member = randomOf(group.members());
        member.kill();
        electAnotherIfLeader(member);
        network.runAt(network.nowMicros() + durationMicros, () -> {
            member.markUp();
            member.start();
        });
    }

    /** Restarts a random part of the subscribers together; some lose their disks. */
    void restartSubscribers(double ratio) {
        for (SimulatedSubscriber subscriber : group.subscribers()) {
            if (random.nextDouble() < ratio) {
                restart(subscriber);
            }
        }
    }

    private void restart(SimulatedSubscriber subscriber) {
        subscriber.kill();
        boolean losesDisk = random.nextDouble() < DISK_LOSS_RATIO;
        long atMicros = network.nowMicros() + RESTART_MIN_MICROS + random.nextInt(RESTART_SPREAD_MICROS);
        network.runAt(atMicros, () -> {
            if (losesDisk) {
                subscriber.loseDisk();
            }
            subscriber.markUp();
            subscriber.start();
        });
    }

    /** Ends all faults. */
    void heal() {
        network.unblockAll();
        group.setCorruptionRatio(0);
        for (SimulatedMember member : group.members()) {
            member.setLagging(false);
            member.resume();
        }
    }
}
