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

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private void electAnotherInstead(VirtualProcess process) {
        if (process == group.leader()) {
            long atMicros = network.nowMicros() + ELECTION_MIN_MICROS + random.nextInt(ELECTION_SPREAD_MICROS);
            network.runAt(atMicros, group::electAnother);
        }
    }

    /** Blocks one direction between a subscriber or a member and a member. */
    void blockOneWay(long forMicros) {
        VirtualProcess process = random.nextBoolean() ? any(group.members()) : any(group.subscribers());
        SimulatedMember member = any(group.members());
        boolean toMember = random.nextBoolean();
        network.block(toMember ? process : member, toMember ? member : process, forMicros);
    }

    /** Partitions a member from the other members, not from subscribers. */
    void partition(long forMicros) {
        SimulatedMember member = any(group.members());
        for (SimulatedMember other : group.members()) {
            network.block(member, other, forMicros);
            network.block(other, member, forMicros);
        }
        electAnotherInstead(member);
    }

    /** Keeps the log from a member, which still renews its lease. */
    void lag(long forMicros) {
        SimulatedMember member = any(group.members());
        member.setLagging(true);
        network.runAt(network.nowMicros() + forMicros, () -> member.setLagging(false));
    }

    void pauseMember(long forMicros) {
        SimulatedMember member = any(group.members());
        member.pause(forMicros);
        electAnotherInstead(member);
    }

    void pauseSubscriber(long forMicros) {
        any(group.subscribers()).pause(forMicros);
    }

    void restartMember(long forMicros) {
        SimulatedMember member = any(group.members());
        member.kill();
        electAnotherInstead(member);
        network.runAt(network.nowMicros() + forMicros, () -> {
            member.markUp();
            member.start();
        });
    }

    /** Restarts a part of the subscribers together; some lose their disks. */
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
        group.corrupt(0);
        for (SimulatedMember member : group.members()) {
            member.setLagging(false);
            member.resume();
        }
    }
}
