package lupinvalve.replication;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;

/**
 * What a Raft group does while faults are injected. No step waits until it succeeds, because an injected fault may
 * prevent that.
 */
public enum Scenario {
    /** Three members bootstrap the group and commit first configurations. */
    BOOTSTRAP("founding", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            sim.run(600_000);
            put(sim, clients, 2);
        }
    },
    /** Configurations are put while the group has a leader and all members are running. */
    PUT("put", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            put(sim, clients, 5);
        }
    },
    /** The leader dies and is restarted while configurations are put. */
    LEADER_CHANGE("leader-change", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            SimulatedMember oldLeader = sim.leader();
            put(sim, clients, 1);
            if (oldLeader != null && oldLeader.isRunning()) {
                oldLeader.kill();
            }
            sim.run(1_500_000);
            put(sim, clients, 2);
            if (oldLeader != null && oldLeader.replica == null) {
                start(oldLeader);
            }
            sim.run(500_000);
        }
    },
    /**
     * After a leader change the new leader dies as well, once it has committed. The running majority must elect another
     * leader without the restart of any member.
     */
    SECOND_LEADER("second-leader", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            LEADER_CHANGE.run(sim, clients);
            SimulatedMember newLeader = sim.leader();
            if (newLeader != null && newLeader.isRunning()) {
                killAfterSendingToOneFollower(sim, clients, newLeader);
            }
            sim.runExpectingLeader(5_000_000);
            if (newLeader != null && newLeader.replica == null) {
                start(newLeader);
            }
        }

        /**
         * Kills the leader after its last change has been sent to one follower only, the one that can then be elected.
         */
        private void killAfterSendingToOneFollower(Simulation sim, SimulatedClients clients, SimulatedMember leader) {
            SimulatedMember follower = sim.members.stream()
                    .filter(member -> member != leader && member.isRunning())
                    .min(Comparator.comparingInt(member -> member.incarnation))
                    .orElse(leader);
            sim.forEachMember(member -> sim.linkDown[leader.number][member.number] = member != follower);
            put(sim, clients, 1);
            leader.kill();
            sim.restoreNetwork();
        }
    },
    /** A member is down while changes are committed, is restarted and catches up. */
    CATCH_UP("catch-up", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            SimulatedMember stoppedMember = sim.members.stream()
                    .filter(member -> member != sim.leader())
                    .findFirst()
                    .orElseThrow();
            stoppedMember.kill();
            put(sim, clients, 3);
            if (stoppedMember.replica == null) {
                start(stoppedMember);
            }
            put(sim, clients, 1);
        }
    },
    /** A new member is added. */
    ADD("add", 3, 1) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            start(sim.members.get(3));
            changeMembership(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /** A member is removed; it may be the leader. */
    REMOVE("remove", 4, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            changeMembership(sim, false, sim.members.get(3), 6);
            put(sim, clients, 1);
        }
    },
    /** A new member is added and another one removed. */
    REPLACE("replace", 3, 1) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            start(sim.members.get(3));
            changeMembership(sim, true, sim.members.get(3), 6);
            changeMembership(sim, false, sim.members.get(0), 6);
            put(sim, clients, 1);
        }
    },
    /** The log grows until it is compacted: a snapshot is written and old segments are deleted. */
    COMPACTION("compaction", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            for (int i = 0; i < 30; i++) {
                putLarge(sim, clients);
            }
            put(sim, clients, 1);
        }
    },
    /** A new member receives a snapshot while further entries are appended to the log. */
    SNAPSHOT("snapshot", 3, 1) {
        @Override
        void prepare(Simulation sim, SimulatedClients clients) {
            for (int i = 0; i < 40; i++) {
                putLarge(sim, clients);
            }
        }

        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            start(sim.members.get(3));
            for (int i = 1; i < 10; i++) {
                sim.schedule(i * 60_000, () -> putAndReadAtLeader(sim, clients));
            }
            changeMembership(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /**
     * Each member has a different configuration in the store of an earlier version. At most one of them is imported, as
     * the group's first configuration.
     */
    LEGACY_IMPORT("take-over", 3, 0) {
        @Override
        void prepare(Simulation sim, SimulatedClients clients) {
            sim.forEachMember(member -> member.legacyDocument = legacyDocument(member));
        }

        @Override
        void run(Simulation sim, SimulatedClients clients) {
            // A member reads its legacy document only when it starts.
            sim.forEachMember(SimulatedMember::kill);
            sim.forEachMember(Scenario::start);
            for (int i = 0; i < 12; i++) {
                sim.run(100_000);
                sim.forEachMember(SimulatedMember::importLegacy);
            }
            put(sim, clients, 1);
        }

        @Override
        boolean settle(Simulation sim) {
            boolean done = sim.runUntil(() -> {
                sim.forEachMember(SimulatedMember::importLegacy);
                return sim.leader() != null && sim.leader().legacyDocument == null;
            });
            Set<String> legacyDigests = new TreeSet<>();
            sim.forEachMember(member -> legacyDigests.add(ReplicatedState.digest(legacyDocument(member))));
            List<String> imported = sim.committedDigests.values().stream()
                    .filter(legacyDigests::contains)
                    .toList();
            boolean importedFirst = imported.isEmpty()
                    || imported.get(0).equals(sim.committedDigests.firstEntry().getValue());
            if (imported.size() > 1 || !importedFirst) {
                sim.violations.add(imported.size()
                        + " legacy configurations were imported, or one was not the group's first configuration");
            }
            return done;
        }

        private byte[] legacyDocument(SimulatedMember member) {
            return Simulation.document("{\"left\":" + member.number + "}");
        }
    },
    /** Two processes of a hot restart share drain commands; has no Raft group and is run by HotRestartScenario. */
    HOT_RESTART("hand-off", 0, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            throw new UnsupportedOperationException("HOT_RESTART is run by HotRestartScenario");
        }
    },
    /** All members die at the same time and are restarted. */
    RESTART("restart", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            put(sim, clients, 2);
            sim.forEachMember(SimulatedMember::kill);
            for (SimulatedMember member : sim.members) {
                if (member.replica == null) {
                    start(member);
                }
            }
            sim.run(1_500_000);
            put(sim, clients, 1);
        }
    };
    private static final int MAX_SETTLE_ATTEMPTS = 300;

    private final String title;
    final int founderCount;
    final int laterMemberCount;

    Scenario(String title, int founderCount, int laterMemberCount) {
        this.title = title;
        this.founderCount = founderCount;
        this.laterMemberCount = laterMemberCount;
    }

    /** Sets up the state from which the scenario starts; called while fail points are disabled. */
    void prepare(Simulation sim, SimulatedClients clients) throws IOException {
        // Most scenarios start from an idle group.
    }

    /** Runs the scenario itself; called while fail points are enabled. */
    abstract void run(Simulation sim, SimulatedClients clients) throws IOException;

    /** The scenario's name on the command line. */
    public String title() {
        return title;
    }

    /** Starts a member. If an injected fault prevents that, records the reason; the sweep restarts the member later. */
    static void start(SimulatedMember member) {
        try {
            member.start();
        } catch (IOException | RuntimeException e) {
            member.stopReason = "start failed: " + e.getMessage();
        }
    }

    /** Puts and reads a configuration at the leader, if there is one. */
    static void putAndReadAtLeader(Simulation sim, SimulatedClients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader());
            clients.read(sim.leader());
        }
    }

    private static void put(Simulation sim, SimulatedClients clients, int times) {
        for (int i = 0; i < times; i++) {
            putAndReadAtLeader(sim, clients);
            sim.run(120_000);
        }
    }

    private static void putLarge(Simulation sim, SimulatedClients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader(), "x".repeat(60_000));
        }
        sim.run(40_000);
    }

    /** Performs the steps of a membership change, one per attempt at most; returns whether the change was completed. */
    static boolean changeMembership(Simulation sim, boolean add, SimulatedMember member, int attempts) {
        MembershipChange.Request request = new MembershipChange.Request(add, member.identity.name());
        AtomicReference<MembershipChange.Step> step = new AtomicReference<>();
        for (int i = 0; i < attempts && !(step.get() instanceof MembershipChange.Step.Done); i++) {
            if (sim.leader() != null) {
                attemptStep(sim, request, step);
            }
            sim.run(100_000);
        }
        return step.get() instanceof MembershipChange.Step.Done;
    }

    private static void attemptStep(
            Simulation sim, MembershipChange.Request request, AtomicReference<MembershipChange.Step> step) {
        Set<MemberId> running = new TreeSet<>();
        sim.forEachMember(member -> {
            if (member.isRunning()) {
                running.add(member.identity);
            }
        });
        RaftReplica leader = sim.leader().replica;
        leader.report((completion, report) -> {
            if (completion == RaftReplica.Completion.DONE && RaftReplica.isLeader(report)) {
                step.set(MembershipChange.nextStep(request, RaftReplica.groupView(report, running, running)));
                leader.changeMembership(step.get(), report, (stepCompletion, ok) -> {});
            }
        });
    }

    /** Completes the scenario's membership change or import, if any; returns false if that was not possible. */
    boolean settle(Simulation sim) {
        return switch (this) {
            case ADD, SNAPSHOT -> changeMembership(sim, true, sim.members.get(3), MAX_SETTLE_ATTEMPTS);
            case REMOVE -> changeMembership(sim, false, sim.members.get(3), MAX_SETTLE_ATTEMPTS);
            case REPLACE -> changeMembership(sim, true, sim.members.get(3), MAX_SETTLE_ATTEMPTS)
                    && changeMembership(sim, false, sim.members.get(0), MAX_SETTLE_ATTEMPTS);
            default -> true;
        };
    }

    /** Whether a member belongs to the group once the scenario is over. */
    boolean remainsMember(SimulatedMember member) {
        return switch (this) {
            case REMOVE -> member.number != 3;
            case REPLACE -> member.number != 0;
            default -> true;
        };
    }
}
