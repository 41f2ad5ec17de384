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

/** What a group does while faults are injected; no step waits for success, as a fault may have made that impossible. */
public enum Scenario {
    /** Three members found the group and agree on a first configuration. */
    BOOTSTRAP("founding", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            sim.run(600_000);
            put(sim, clients, 2);
        }
    },
    /** Configurations are put while the group stands. */
    PUT("put", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            put(sim, clients, 5);
        }
    },
    /** The leader dies and comes back while configurations are put. */
    LEADER_CHANGE("leader-change", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            SimulatedMember old = sim.leader();
            put(sim, clients, 1);
            if (old != null && old.isRunning()) {
                old.kill();
            }
            sim.run(1_500_000);
            put(sim, clients, 2);
            if (old != null && old.replica == null) {
                start(old);
            }
            sim.run(500_000);
        }
    },
    /** The next leader dies as well, once it has committed: a majority that runs must elect another by itself. */
    SECOND_LEADER("second-leader", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            LEADER_CHANGE.run(sim, clients);
            SimulatedMember next = sim.leader();
            if (next != null && next.isRunning()) {
                killBehindOneFollower(sim, clients, next);
            }
            sim.runExpectingLeader(5_000_000);
            if (next != null && next.replica == null) {
                start(next);
            }
        }

        /** The last change reaches one follower alone, so that only that one can lead afterwards. */
        private void killBehindOneFollower(Simulation sim, SimulatedClients clients, SimulatedMember leader) {
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
    /** A member that was down catches up with what was committed without it. */
    CATCH_UP("catch-up", 3, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) throws IOException {
            SimulatedMember down = sim.members.stream()
                    .filter(m -> m != sim.leader())
                    .findFirst()
                    .orElseThrow();
            down.kill();
            put(sim, clients, 3);
            if (down.replica == null) {
                start(down);
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
    /** A member is removed, which may be the leader. */
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
    /** A new member gets a snapshot while the log goes on. */
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
    /** What earlier stores left at the members is imported by the first leader, and by no other. */
    LEGACY_IMPORT("take-over", 3, 0) {
        @Override
        void prepare(Simulation sim, SimulatedClients clients) {
            sim.forEachMember(member -> member.legacyDocument = legacyDocument(member));
        }

        @Override
        void run(Simulation sim, SimulatedClients clients) {
            // A legacy document is read as its member starts.
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
            boolean first = imported.isEmpty()
                    || imported.get(0).equals(sim.committedDigests.firstEntry().getValue());
            if (imported.size() > 1 || !first) {
                sim.violations.add("what was left was taken over " + imported.size() + " times, or late");
            }
            return done;
        }

        private byte[] legacyDocument(SimulatedMember member) {
            return Simulation.document("{\"left\":" + member.number + "}");
        }
    },
    /** The two processes of a hot restart and the drain commands that they share; no group. */
    HOT_RESTART("hand-off", 0, 0) {
        @Override
        void run(Simulation sim, SimulatedClients clients) {
            throw new UnsupportedOperationException("it is run by HotRestartScenario");
        }
    },
    /** All members die at once and start again. */
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

    /** Brings the group to where the scenario begins; fail points are off. */
    void prepare(Simulation sim, SimulatedClients clients) throws IOException {
        // Most need nothing.
    }

    /** Does what the scenario is about. */
    abstract void run(Simulation sim, SimulatedClients clients) throws IOException;

    /** Its name on the command line. */
    public String title() {
        return title;
    }

    /** Starts a member; where a fault comes meanwhile, it is started again later. */
    static void start(SimulatedMember member) {
        try {
            member.start();
        } catch (IOException | RuntimeException e) {
            member.stopReason = "start: " + e.getMessage();
        }
    }

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

    /** Attempts steps of a membership change, up to a number; returns whether it was completed. */
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

    /** Completes the scenario's membership change, if any, before members are compared; returns whether it could. */
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
