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
    FOUNDING(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            sim.run(600_000);
            put(sim, clients, 2);
        }
    },
    /** Configurations are put while the group stands. */
    PUT(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            put(sim, clients, 5);
        }
    },
    /** The leader dies and comes back while configurations are put. */
    LEADER_CHANGE(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            Simulation.Member old = sim.leader();
            put(sim, clients, 1);
            if (old != null && old.runs()) {
                old.kill();
            }
            sim.run(1_500_000);
            put(sim, clients, 2);
            if (old != null && old.replica == null) {
                begin(old);
            }
            sim.run(500_000);
        }
    },
    /** The next leader dies as well, once all have taken it in: a majority that stands must find another by itself. */
    SECOND_LEADER(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            LEADER_CHANGE.play(sim, clients);
            Simulation.Member next = sim.leader();
            if (next != null && next.runs()) {
                // The last change reaches one of the others alone: nobody but that one can lead then.
                Simulation.Member spared = sim.members.stream()
                        .filter(m -> m != next && m.runs())
                        .min(java.util.Comparator.comparingInt(m -> m.life))
                        .orElse(next);
                sim.each(m -> sim.cut[next.number][m.number] = m != spared);
                put(sim, clients, 1);
                next.kill();
                sim.heal();
            }
            sim.standing(5_000_000);
            if (next != null && next.replica == null) {
                begin(next);
            }
        }
    },
    /** A member that was away comes back to what went on without it. */
    CATCH_UP(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            Simulation.Member away = sim.members.stream()
                    .filter(m -> m != sim.leader())
                    .findFirst()
                    .orElseThrow();
            away.kill();
            put(sim, clients, 3);
            if (away.replica == null) {
                begin(away);
            }
            put(sim, clients, 1);
        }
    },
    /** A newcomer is taken in. */
    ADD(3, 1) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            begin(sim.members.get(3));
            wish(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /** A member leaves, as it may the leader. */
    REMOVE(4, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            wish(sim, false, sim.members.get(3), 6);
            put(sim, clients, 1);
        }
    },
    /** One leaves and another comes in its place. */
    REPLACE(3, 1) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            begin(sim.members.get(3));
            wish(sim, true, sim.members.get(3), 6);
            wish(sim, false, sim.members.get(0), 6);
            put(sim, clients, 1);
        }
    },
    /** The history grows past what is kept, so that a snapshot is written and old segments go. */
    COMPACTION(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            for (int i = 0; i < 30; i++) {
                large(sim, clients);
            }
            put(sim, clients, 1);
        }
    },
    /** A newcomer gets a snapshot while the history moves on. */
    SNAPSHOT(3, 1) {
        @Override
        void prepare(Simulation sim, Simulation.Clients clients) {
            for (int i = 0; i < 40; i++) {
                large(sim, clients);
            }
        }

        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            begin(sim.members.get(3));
            for (int i = 1; i < 10; i++) {
                sim.at(i * 60_000, () -> leading(sim, clients));
            }
            wish(sim, true, sim.members.get(3), 8);
            put(sim, clients, 1);
        }
    },
    /** What earlier stores left at the members is taken over by the first that leads, and by nobody after it. */
    TAKE_OVER(3, 0) {
        @Override
        void prepare(Simulation sim, Simulation.Clients clients) {
            sim.each(m -> m.left = Simulation.document("{\"left\":" + m.number + "}"));
        }

        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            // Each reads at its start what was left.
            sim.each(Simulation.Member::kill);
            sim.each(Scenario::begin);
            for (int i = 0; i < 12; i++) {
                sim.run(100_000);
                sim.each(Simulation.Member::takesOver);
            }
            put(sim, clients, 1);
        }

        @Override
        boolean settle(Simulation sim) {
            boolean done = sim.until(() -> {
                sim.each(Simulation.Member::takesOver);
                return sim.leader() != null && sim.leader().left == null;
            });
            Set<String> left = new TreeSet<>();
            sim.each(m -> left.add(lupinvalve.statemachine.ReplicatedState.digest(
                    Simulation.document("{\"left\":" + m.number + "}"))));
            List<String> taken =
                    sim.history.values().stream().filter(left::contains).toList();
            if (taken.size() > 1
                    || taken.size() == 1
                            && !taken.get(0).equals(sim.history.firstEntry().getValue())) {
                sim.faults.add("what was left was taken over " + taken.size() + " times, or late");
            }
            return done;
        }
    },
    /** An upgrade's two processes and the orders that they share; no group. */
    HAND_OFF(0, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) {
            throw new UnsupportedOperationException("it is played by HandOff");
        }
    },
    /** All members stop at once and start again. */
    RESTART(3, 0) {
        @Override
        void play(Simulation sim, Simulation.Clients clients) throws IOException {
            put(sim, clients, 2);
            sim.each(Simulation.Member::kill);
            for (Simulation.Member member : sim.members) {
                if (member.replica == null) {
                    begin(member);
                }
            }
            sim.run(1_500_000);
            put(sim, clients, 1);
        }
    };
    final int founding, later;

    Scenario(int founding, int later) {
        this.founding = founding;
        this.later = later;
    }

    /** Steps that lead to the scenario; their points are not numbered. */
    void prepare(Simulation sim, Simulation.Clients clients) throws IOException {
        // Most need none.
    }

    abstract void play(Simulation sim, Simulation.Clients clients) throws IOException;

    /** Its name on the command line. */
    public String title() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    static void begin(Simulation.Member member) {
        try {
            member.start();
        } catch (IOException | RuntimeException e) {
            // A fault came while it started: whoever watches it starts it again.
            member.stopped = "start: " + e.getMessage();
        }
    }

    static void leading(Simulation sim, Simulation.Clients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader());
            clients.read(sim.leader());
        }
    }

    private static void put(Simulation sim, Simulation.Clients clients, int times) {
        for (int i = 0; i < times; i++) {
            leading(sim, clients);
            sim.run(120_000);
        }
    }

    private static void large(Simulation sim, Simulation.Clients clients) {
        if (sim.leader() != null) {
            clients.put(sim.leader(), "x".repeat(60_000));
        }
        sim.run(40_000);
    }

    /** Tries steps towards a change of members, so many times; whether the last step was taken. */
    static boolean wish(Simulation sim, boolean in, Simulation.Member who, int times) {
        MembershipChange.Request wish = new MembershipChange.Request(in, who.identity.name());
        AtomicReference<MembershipChange.Step> step = new AtomicReference<>();
        for (int i = 0; i < times && !(step.get() instanceof MembershipChange.Step.Done); i++) {
            Set<MemberId> all = new TreeSet<>();
            sim.each(m -> {
                if (m.runs()) {
                    all.add(m.identity);
                }
            });
            if (sim.leader() != null) {
                RaftReplica leader = sim.leader().replica;
                leader.report((fate, report) -> {
                    if (fate == RaftReplica.Completion.DONE && RaftReplica.leads(report)) {
                        step.set(MembershipChange.nextStep(wish, RaftReplica.view(report, all, all)));
                        leader.step(step.get(), report, (f, ok) -> {});
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
            case ADD, SNAPSHOT -> wish(sim, true, sim.members.get(3), 300);
            case REMOVE -> wish(sim, false, sim.members.get(3), 300);
            case REPLACE -> wish(sim, true, sim.members.get(3), 300) && wish(sim, false, sim.members.get(0), 300);
            default -> true;
        };
    }

    /** Whether a member belongs to the group once the scenario is over. */
    boolean stays(Simulation.Member member) {
        return switch (this) {
            case REMOVE -> member.number != 3;
            case REPLACE -> member.number != 0;
            default -> true;
        };
    }
}
