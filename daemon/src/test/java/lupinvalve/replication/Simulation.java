package lupinvalve.replication;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.ledger.Change;
import lupinvalve.ledger.Founding;
import lupinvalve.ledger.Identity;
import lupinvalve.ledger.Ledger;

/** Members, their disks and the network between them in virtual time: one seed, one course of events. */
final class Simulation {
    private record Event(long at, long order, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int by = Long.compare(at, other.at);
            return by != 0 ? by : Long.compare(order, other.order);
        }
    }

    /** One member through all its lives. */
    final class Member {
        final int number;
        final Identity identity;
        MemoryDisk disk = new MemoryDisk();
        Replica replica;
        String stopped;
        int life;
        long pausedUntil;
        final TreeMap<Long, String> adopted = new TreeMap<>();

        Member(int number) {
            this.number = number;
            identity = new Identity("m" + number, "d" + number);
        }

        private final class Life implements Schedule {
            private final int mine = life;

            @Override
            public long now() {
                return now;
            }

            @Override
            public void post(Runnable work) {
                after(1, work);
            }

            @Override
            public void after(long micros, Runnable work) {
                at(micros, () -> run(work));
            }

            private void run(Runnable work) {
                if (mine != life) {
                    return;
                }
                if (now < pausedUntil) {
                    at(pausedUntil - now, () -> run(work));
                } else {
                    work.run();
                }
            }
        }

        void start() throws IOException {
            SegmentedLog log = SegmentedLog.open(disk, "sim", identity.name(), identity.disk());
            if (log.word().phase() == Founding.Phase.ALONE) {
                boolean founder = founders.contains(identity);
                log.keep(new Founding.Word(identity, founder ? Founding.Phase.FOUNDED : Founding.Phase.NEWCOMER, founders));
            }
            stopped = null;
            replica = new Replica(new Life(), log, founders, new Replica.Sending() {
                private final int mine = life;

                @Override
                public void send(Identity to, byte[] message) {
                    if (mine == life) {
                        carry(Member.this, members.stream().filter(m -> m.identity.equals(to)).findFirst().orElse(null),
                                message);
                    }
                }

                @Override
                public boolean reaches(Identity who) {
                    return true;
                }
            }, new Random(random.nextLong()), new Replica.Watcher() {
                @Override
                public void applied(long index, Change change, Ledger.Outcome outcome) {
                    if (change instanceof Change.Put && outcome.result() == Ledger.Result.DONE) {
                        adopt(replica.ledger().document());
                    }
                }

                @Override
                public void restored() {
                    if (replica.ledger().document() != null) {
                        adopt(replica.ledger().document());
                    }
                }

                @Override
                public void ended(String why) {
                    stopped = why;
                }
            });
            replica.start();
        }

        private void adopt(Ledger.Document document) {
            String before = adopted.putIfAbsent(document.index(), document.digest());
            String agreed = history.putIfAbsent(document.index(), document.digest());
            if (agreed != null && !agreed.equals(document.digest()) || before != null && !before.equals(document.digest())) {
                faults.add("change " + document.index() + " is " + document.digest() + " and " + agreed);
            }
        }

        void kill() {
            life++;
            replica = null;
            disk.crash(random);
        }

        boolean runs() {
            return replica != null && stopped == null;
        }
    }

    final Random random;
    final List<Member> members = new ArrayList<>();
    final Set<Identity> founders = new TreeSet<>();
    final boolean[][] cut;
    final TreeMap<Long, String> history = new TreeMap<>();
    final List<String> faults = new ArrayList<>();
    long now = 1_000_000_000L;
    double loss;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;

    Simulation(long seed, int founding, int later) throws IOException {
        random = new Random(seed);
        cut = new boolean[founding + later][founding + later];
        for (int i = 0; i < founding + later; i++) {
            Member member = new Member(i);
            members.add(member);
            if (i < founding) {
                founders.add(member.identity);
            }
        }
        for (Member member : members.subList(0, founding)) {
            member.start();
        }
    }

    void at(long inMicros, Runnable work) {
        events.add(new Event(now + inMicros, order++, work));
    }

    private void carry(Member from, Member to, byte[] message) {
        if (to == null || cut[from.number][to.number] || random.nextDouble() < loss) {
            return;
        }
        int life = to.life;
        at(200 + random.nextInt(3000), () -> {
            if (to.life == life && to.replica != null && !cut[from.number][to.number]) {
                try {
                    to.replica.handle(message);
                } catch (IOException e) {
                    faults.add("a message can't be read: " + e.getMessage());
                }
            }
        });
    }

    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.work().run();
        }
        now = end;
    }

    Member leader() {
        return members.stream().filter(m -> m.runs() && m.replica.leads()).findFirst().orElse(null);
    }

    /** Runs until something holds, within virtual 30 s. */
    boolean until(java.util.function.BooleanSupplier holds) {
        for (int i = 0; i < 3000 && !holds.getAsBoolean(); i++) {
            run(10_000);
        }
        return holds.getAsBoolean();
    }

    void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        loss = 0;
    }

    static byte[] document(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Clients that put configurations at whoever leads by its own word, and what they were told. */
    final class Clients {
        final TreeMap<Long, String> acknowledged = new TreeMap<>();
        private int number;

        void put(Member at) {
            if (!at.runs()) {
                return;
            }
            byte[] content = document("{\"n\":" + number++ + "}");
            long expected = at.replica.ledger().revision();
            at.replica.propose(new Change.Put(expected, content), (fate, outcome) -> {
                if (fate == Replica.Fate.DONE && outcome.result() == Ledger.Result.DONE) {
                    String other = acknowledged.putIfAbsent(outcome.revision(), Ledger.digest(content));
                    if (other != null) {
                        faults.add("revision " + outcome.revision() + " was acknowledged twice");
                    }
                }
            });
        }

        void read(Member at) {
            if (!at.runs()) {
                return;
            }
            long least = acknowledged.isEmpty() ? 0 : acknowledged.lastKey();
            at.replica.upToDate((fate, ok) -> {
                if (fate == Replica.Fate.DONE && at.replica.ledger().revision() < least) {
                    faults.add("a read came back with revision " + at.replica.ledger().revision() + " after " + least);
                }
            });
        }

        boolean caughtUp(Member member) {
            return member.runs() && member.replica.ledger().revision() >= acknowledged.lastKey();
        }

        /** Whether all that was acknowledged is in a member's history, at the revision that was told. */
        void check(Member member) {
            if (!caughtUp(member)) {
                faults.add(member.identity + (member.runs() ? " has only revision " + member.replica.ledger().revision()
                        + " after " + acknowledged.lastKey() : " does not run: " + member.stopped));
                return;
            }
            List<String> digests = new ArrayList<>(history.headMap(member.replica.ledger().applied(), true).values());
            acknowledged.forEach((revision, digest) -> {
                if (digests.size() < revision || !digests.get((int) (revision - 1)).equals(digest)) {
                    faults.add("revision " + revision + " was acknowledged and is lost");
                }
            });
        }
    }

    Member any() {
        return members.get(random.nextInt(members.size()));
    }

    void each(Consumer<Member> work) {
        members.forEach(work);
    }
}
