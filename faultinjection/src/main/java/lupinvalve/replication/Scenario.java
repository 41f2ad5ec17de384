package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;

/** What a group does while faults come; none of it waits for success, as a fault may have made that impossible. */
public enum Scenario {
    /** Three members found the group and agree on a first configuration. */
    BOOTSTRAP("founding", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            sim.run(600_000);
            put(sim, clients, 2);
        }
    },
    /** Configurations are put while the group stands. */
    PUT("put", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            put(sim, clients, 5);
        }
    },
    /** The leader dies and comes back while configurations are put. */
    LEADER_CHANGE("leader-change", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            Simulation.Member old = sim.leader();
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
    /** The next leader dies as well, once all have taken it in: a majority that stands must find another by itself. */
    SECOND_LEADER("second-leader", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            LEADER_CHANGE.play(sim, clients);
            Simulation.Member next = sim.leader();
            if (next != null && next.isRunning()) {
                // The last change reaches one of the others alone: nobody but that one can
                // lead then.
                Simulation.Member spared = sim.members.stream()
                        .filter(m -> m != next && m.isRunning())
                        .min(java.util.Comparator.comparingInt(m -> m.incarnation))
                        .orElse(next);
                sim.forEachMember(m -> sim.linkDown[next.number][m.number] = m != spared);
                put(sim, clients, 1);
                next.kill();
                sim.restoreNetwork();
            }
            sim.runExpectingLeader(5_000_000);
            if (next != null && next.replica == null) {
                start(next);
            }
        }
    },
    /** A member that was away comes back to what went on without it. */
    CATCH_UP("catch-up", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            Simulation.Member away = sim.members.stream()
                    .filter(m -> m != sim.leader())
                    .findFirst()
                    .orElseThrow();
            away.kill();
            put(sim, clients, 3);
            if (away.replica == null) {
                start(away);
            }
            put(sim, clients, 1);
        }
    },
    /** A newcomer is taken in. */
    ADD("add", 3, 1) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            start(sim.members.get(3));
            changeMembership(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /** A member leaves, as it may the leader. */
    REMOVE("remove", 4, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            changeMembership(sim, false, sim.members.get(3), 6);
            put(sim, clients, 1);
        }
    },
    /** One leaves and another comes in its place. */
    REPLACE("replace", 3, 1) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            start(sim.members.get(3));
            changeMembership(sim, true, sim.members.get(3), 6);
            changeMembership(sim, false, sim.members.get(0), 6);
            put(sim, clients, 1);
        }
    },
    /** The history grows past what is kept, so that a snapshot is written and old segments go. */
    COMPACTION("compaction", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            for (int i = 0; i < 30; i++) {
                putLarge(sim, clients);
            }
            put(sim, clients, 1);
        }
    },
    /** A newcomer gets a snapshot while the history moves on. */
    SNAPSHOT("snapshot", 3, 1) {
        @Override
        void prepare(Simulation sim, Simulation.Clients clients) {
            for (int i = 0; i < 40; i++) {
                putLarge(sim, clients);
            }
        }

        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            start(sim.members.get(3));
            for (int i = 1; i < 10; i++) {
                sim.schedule(i * 60_000, () -> putAndReadAtLeader(sim, clients));
            }
            changeMembership(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /** What earlier stores left at the members is taken over by the first that leads, and by nobody after it. */
    LEGACY_IMPORT("take-over", 3, 0) {
        @Override
        void prepare(Simulation sim, Simulation.Clients clients) {
            sim.forEachMember(m -> m.legacyDocument = Simulation.document("{\"left\":" + m.number + "}"));
        }

        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            // Each reads at its start what was left.
            sim.forEachMember(Simulation.Member::kill);
            sim.forEachMember(Scenario::start);
            for (int i = 0; i < 12; i++) {
                sim.run(100_000);
                sim.forEachMember(Simulation.Member::importLegacy);
            }
            put(sim, clients, 1);
        }

        @Override
        boolean settle(Simulation sim) {
            boolean done = sim.runUntil(() -> {
                sim.forEachMember(Simulation.Member::importLegacy);
                return sim.leader() != null && sim.leader().legacyDocument == null;
            });
            Set<String> left = new TreeSet<>();
            sim.forEachMember(m -> left.add(lupinvalve.statemachine.ReplicatedState.digest(
                    Simulation.document("{\"left\":" + m.number + "}"))));
            List<String> taken = sim.committedDigests.values().stream()
                    .filter(left::contains)
                    .toList();
            if (taken.size() > 1
                    || taken.size() == 1
                            && !taken.get(0)
                                    .equals(sim.committedDigests.firstEntry().getValue())) {
                sim.violations.add("what was left was taken over " + taken.size() + " times, or late");
            }
            return done;
        }
    },
    /** An upgrade's two processes and the orders that they share; no group. */
    HOT_RESTART("hand-off", 0, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            throw new UnsupportedOperationException("it is run by HotRestartScenario");
        }
    },
    /** All members stop at once and start again. */
    RESTART("restart", 3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            put(sim, clients, 2);
            sim.forEachMember(Simulation.Member::kill);
            for (Simulation.Member member : sim.members) {
                if (member.replica == null) {
                    start(member);
                }
            }
            sim.run(1_500_000);
            put(sim, clients, 1);
        }
    };
    private final String title;
    final int founderCount;
    final int laterMemberCount;

    Scenario(String title, int founderCount, int laterMemberCount) {
        this.title = title;
        this.founderCount = founderCount;
        this.laterMemberCount = laterMemberCount;
    }

    /** Steps that lead to the scenario; their points are not numbered. */
    void prepare(Simulation sim, Simulation.Clients clients) throws IOException {
        // Most need none.
    }

    abstract void play(Simulation sim, Simulation.Clients clients) throws IOException;

    /** Its name on the command line. */
    public String title() {
        return title;
    }

    static void start(Simulation.Member member) {
        try {
            member.start();
        } catch (IOException | RuntimeException e) {
            // A fault came while it started: whoever watches it starts it again.
            member.stopReason = "start: " + e.getMessage();
        }
    }

    static void putAndReadAtLeader(Simulation sim, Simulation.Clients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader());
            clients.read(sim.leader());
        }
    }

    private static void put(Simulation sim, Simulation.Clients clients, int times) {
        for (int i = 0; i < times; i++) {
            putAndReadAtLeader(sim, clients);
            sim.run(120_000);
        }
    }

    private static void putLarge(Simulation sim, Simulation.Clients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader(), "x".repeat(60_000));
        }
        sim.run(40_000);
    }

    /** Tries steps towards a change of members, so many times; whether the last step was taken. */
    static boolean changeMembership(Simulation sim, boolean in, Simulation.Member who, int times) {
        MembershipChange.Request wish = new MembershipChange.Request(in, who.identity.name());
        AtomicReference<MembershipChange.Step> step = new AtomicReference<>();
        for (int i = 0; i < times && !(step.get() instanceof MembershipChange.Step.Done); i++) {
            Set<MemberId> all = new TreeSet<>();
            sim.forEachMember(m -> {
                if (m.isRunning()) {
                    all.add(m.identity);
                }
            });
            if (sim.leader() != null) {
                RaftReplica leader = sim.leader().replica;
                leader.report((fate, report) -> {
                    if (fate == RaftReplica.Completion.DONE && RaftReplica.isLeader(report)) {
                        step.set(MembershipChange.nextStep(wish, RaftReplica.groupView(report, all, all)));
                        leader.changeMembership(step.get(), report, (f, ok) -> {});
                    }
                });
            }
            sim.run(100_000);
        }
        return step.get() instanceof MembershipChange.Step.Done;
    }

    /** Which change of members the scenario is about; it is brought to its end before members are compared. */
    boolean settle(Simulation sim) {
        return switch (this) {
            case ADD, SNAPSHOT -> changeMembership(sim, true, sim.members.get(3), 300);
            case REMOVE -> changeMembership(sim, false, sim.members.get(3), 300);
            case REPLACE -> changeMembership(sim, true, sim.members.get(3), 300)
                    && changeMembership(sim, false, sim.members.get(0), 300);
            default -> true;
        };
    }

    /** Whether a member belongs to the group once the scenario is over. */
    boolean remainsMember(Simulation.Member member) {
        return switch (this) {
            case REMOVE -> member.number != 3;
            case REPLACE -> member.number != 0;
            default -> true;
        };
    }
}
