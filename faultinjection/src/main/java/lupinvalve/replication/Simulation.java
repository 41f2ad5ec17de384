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
import lupinvalve.faultinjection.Points;
import lupinvalve.faultinjection.Points.Fault;
import lupinvalve.faultinjection.Points.Kind;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Members, their disks and the network between them in virtual time: one seed, one course of events. Each step at which
 * a member meets the world is a point, at which {@link Points} may name a fault.
 */
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
        final MemberId identity;
        MemoryDisk disk = new MemoryDisk();
        RaftReplica replica;
        String stopped;
        boolean started;
        int life;
        long pausedUntil;
        final TreeMap<Long, String> adopted = new TreeMap<>();
        /** What an earlier store left at this member, until that is taken over. */
        byte[] left;

        private LegacyStoreImport takeOver;

        Member(int number) {
            this.number = number;
            identity = new MemberId("m" + number, "d" + number);
        }

        private final class Life implements Scheduler {
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
                if (now >= pausedUntil) {
                    Fault fault = points.next(Kind.TIMER);
                    if (fault == Fault.STOPPED) {
                        pausedUntil = now + STOPPED_MICROS;
                    } else if (fault != null) {
                        die(fault);
                        return;
                    }
                }
                if (now < pausedUntil) {
                    at(pausedUntil - now, () -> run(work));
                } else {
                    work.run();
                    watch();
                }
            }
        }

        /** Ends this process, or all where the power is cut. */
        private void die(Fault fault) {
            if (fault == Fault.POWER_CUT) {
                each(Member::kill);
            } else {
                kill();
            }
        }

        /** Nobody leads in a term in which another has led. */
        private void watch() {
            if (runs() && replica.leads()) {
                Integer other = leaders.putIfAbsent(replica.term(), number);
                if (other != null && other != number) {
                    faults.add("term " + replica.term() + " is led by m" + other + " and m" + number);
                }
            }
        }

        /** This life's way to the disk: after its end nothing it does reaches it. */
        private Disk access() {
            int mine = life;
            return new CountedDisk(disk, points::next, new CountedDisk.Life() {
                @Override
                public boolean over() {
                    return mine != life;
                }

                @Override
                public void end(Fault fault) {
                    die(fault);
                }
            });
        }

        void start() throws IOException {
            started = true;
            begin(SegmentedLog.open(access(), "sim", identity.name(), identity.diskId()));
        }

        /** Takes part again in the same life, as a member does whose disk is good again. */
        private void revive() {
            if (replica == null || !RaftReplica.DISK.equals(stopped)) {
                return;
            }
            try {
                begin(SegmentedLog.reopenAfterFault(access(), "sim", identity.name()));
            } catch (IOException e) {
                new Life().after(REVIVE_MICROS, this::revive);
            }
        }

        private void begin(SegmentedLog log) throws IOException {
            takeOver = new LegacyStoreImport(left == null ? null : new Left());
            if (log.announcement().phase() == ClusterBootstrap.Phase.UNBOUND) {
                boolean founder = founders.contains(identity);
                log.persistAnnouncement(new ClusterBootstrap.Announcement(
                        identity,
                        founder ? ClusterBootstrap.Phase.BOOTSTRAPPED : ClusterBootstrap.Phase.JOINING,
                        founders));
            }
            stopped = null;
            replica = new RaftReplica(
                    new Life(),
                    log,
                    founders,
                    new RaftReplica.MessageSender() {
                        private final int mine = life;

                        @Override
                        public void send(MemberId to, byte[] message) {
                            if (mine != life) {
                                return;
                            }
                            Member there = members.stream()
                                    .filter(m -> m.identity.equals(to))
                                    .findFirst()
                                    .orElse(null);
                            Fault fault = points.next(Kind.SEND);
                            boolean goes = fault == null || fault == Fault.DOUBLED || fault == Fault.DIE_AFTER;
                            if (goes || fault == Fault.LATE) {
                                carry(Member.this, there, message, fault == Fault.LATE ? LATE_MICROS : 0);
                            }
                            if (fault == Fault.DOUBLED) {
                                carry(Member.this, there, message, 0);
                            } else if (fault != null && fault.ends) {
                                die(fault);
                            }
                        }

                        @Override
                        public boolean reaches(MemberId who) {
                            return true;
                        }
                    },
                    new Random(random.nextLong()),
                    new RaftReplica.StateListener() {
                        @Override
                        public void applied(long index, Command change, ReplicatedState.Outcome outcome) {
                            if (change instanceof Command.PutDocument
                                    && outcome.result() == ReplicatedState.Result.APPLIED) {
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
                            new Life().after(REVIVE_MICROS, Member.this::revive);
                        }
                    });
            replica.start();
        }

        private final class Left implements LegacyStoreImport.Source {
            private final int mine = life;

            @Override
            public byte[] document() {
                return left;
            }

            @Override
            public java.util.Map<String, Long> sessions() {
                return java.util.Map.of();
            }

            @Override
            public boolean done() {
                if (mine != life) {
                    return false;
                }
                Fault fault = points.next(Kind.REPLACE);
                if (fault == null || fault == Fault.DIE_AFTER) {
                    left = null;
                }
                if (fault != null && fault.ends) {
                    die(fault);
                }
                return left == null;
            }
        }

        /** Takes over what was left here, as long as this member leads. */
        void takesOver() {
            if (runs() && replica.leads()) {
                takeOver.lead(replica, document -> true, (session, position) -> {});
            }
        }

        private void adopt(ReplicatedState.Document document) {
            String before = adopted.putIfAbsent(document.index(), document.digest());
            String agreed = history.putIfAbsent(document.index(), document.digest());
            if (agreed != null && !agreed.equals(document.digest())
                    || before != null && !before.equals(document.digest())) {
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

    private static final long STOPPED_MICROS = 10_000_000, LATE_MICROS = 2_000_000, REVIVE_MICROS = 500_000;
    private static final int SAID = 400;
    final Points points;
    final TreeMap<Integer, Integer> leaders = new TreeMap<>();
    final Random random;
    final List<Member> members = new ArrayList<>();
    final Set<MemberId> founders = new TreeSet<>();
    final boolean[][] cut;
    final TreeMap<Long, String> history = new TreeMap<>();
    final List<String> faults = new ArrayList<>();
    long now = 1_000_000_000L;
    double loss;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;

    Simulation(long seed, int founding, int later) throws IOException {
        this(seed, founding, later, new Points(), Sweep.Planted.NONE);
    }

    Simulation(long seed, int founding, int later, Points points, Sweep.Planted planted) throws IOException {
        random = new Random(seed);
        this.points = points;
        cut = new boolean[founding + later][founding + later];
        for (int i = 0; i < founding + later; i++) {
            Member member = new Member(i);
            member.disk.planted = planted;
            members.add(member);
            if (i < founding) {
                founders.add(member.identity);
            }
        }
        for (Member member : members.subList(0, founding)) {
            Scenario.begin(member);
        }
    }

    void at(long inMicros, Runnable work) {
        events.add(new Event(now + inMicros, order++, work));
    }

    private void carry(Member from, Member to, byte[] message, long later) {
        if (to == null || cut[from.number][to.number] || random.nextDouble() < loss) {
            return;
        }
        int life = to.life;
        points.note(
                () -> now / 1000 + " ms: " + from.identity.name() + " to " + to.identity.name() + ": " + said(message));
        at(later + 200 + random.nextInt(3000), () -> {
            if (to.life == life && to.replica != null && !cut[from.number][to.number]) {
                Fault fault = points.next(Kind.ARRIVE);
                try {
                    if (fault != Fault.DIE_BEFORE && fault != Fault.POWER_CUT) {
                        to.replica.handle(message);
                    }
                    if (fault != null) {
                        to.die(fault);
                    }
                } catch (IOException e) {
                    faults.add("a message can't be read: " + e.getMessage());
                }
            }
        });
    }

    private static String said(byte[] message) {
        try {
            String text = String.valueOf(RaftCodec.read(RaftReplica.GROUP, message));
            return text.length() > SAID ? text.substring(0, SAID) : text;
        } catch (IOException e) {
            return e.getMessage();
        }
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
        return members.stream()
                .filter(m -> m.runs() && m.replica.leads())
                .findFirst()
                .orElse(null);
    }

    /** Runs until something holds, within virtual 30 s. */
    boolean until(java.util.function.BooleanSupplier holds) {
        for (int i = 0; i < 3000 && !holds.getAsBoolean(); i++) {
            run(10_000);
        }
        return holds.getAsBoolean();
    }

    /**
     * Lets time pass; where as many as a majority run and hear each other throughout, it must not end without a leader,
     * whoever is down.
     */
    void standing(long micros) {
        boolean stood = true;
        long end = now + micros;
        while (now < end) {
            run(50_000);
            stood &= 2
                            * members.stream()
                                    .filter(m -> m.runs() && now >= m.pausedUntil)
                                    .count()
                    > founders.size();
        }
        if (stood && leader() == null) {
            faults.add(
                    "no leader " + micros / 1000 + " ms after the last one's end, though a majority runs throughout");
        }
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
            put(at, "");
        }

        void put(Member at, String filler) {
            if (!at.runs()) {
                return;
            }
            byte[] content = document("{\"n\":\"" + number++ + filler + "\"}");
            long expected = at.replica.ledger().revision();
            at.replica.propose(new Command.PutDocument(expected, content), (fate, outcome) -> {
                if (fate == RaftReplica.Completion.DONE && outcome.result() == ReplicatedState.Result.APPLIED) {
                    String other = acknowledged.putIfAbsent(outcome.revision(), ReplicatedState.digest(content));
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
                if (fate == RaftReplica.Completion.DONE && at.replica.ledger().revision() < least) {
                    faults.add("a read came back with revision "
                            + at.replica.ledger().revision() + " after " + least);
                }
            });
        }

        boolean caughtUp(Member member) {
            return member.runs()
                    && !acknowledged.isEmpty()
                    && member.replica.ledger().revision() >= acknowledged.lastKey();
        }

        /** Whether all that was acknowledged is in a member's history, at the revision that was told. */
        void check(Member member) {
            if (!caughtUp(member)) {
                long last = acknowledged.isEmpty() ? 0 : acknowledged.lastKey();
                faults.add(member.identity
                        + (member.runs()
                                ? " has only revision "
                                        + member.replica.ledger().revision() + " after " + last + ", term "
                                        + member.replica.term() + " of " + leaders.lastKey()
                                : " does not run: " + member.stopped));
                return;
            }
            List<String> digests =
                    new ArrayList<>(history.headMap(member.replica.ledger().appliedIndex(), true)
                            .values());
            acknowledged.forEach((revision, digest) -> {
                if (digests.size() < revision
                        || !digests.get((int) (revision - 1)).equals(digest)) {
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
