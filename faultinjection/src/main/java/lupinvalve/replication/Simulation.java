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
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
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
        SimulatedDisk disk = new SimulatedDisk();
        RaftReplica replica;
        String stopReason;
        boolean started;
        int incarnation;
        long pausedUntilMicros;
        final TreeMap<Long, String> activatedDigests = new TreeMap<>();
        /** What an earlier store left at this member, until that is taken over. */
        byte[] legacyDocument;

        private LegacyStoreImport legacyImport;

        Member(int number) {
            this.number = number;
            identity = new MemberId("m" + number, "d" + number);
        }

        private final class Incarnation implements Scheduler {
            private final int mine = incarnation;

            @Override
            public long now() {
                return nowMicros;
            }

            @Override
            public void post(Runnable work) {
                after(1, work);
            }

            @Override
            public void after(long micros, Runnable work) {
                schedule(micros, () -> run(work));
            }

            private void run(Runnable work) {
                if (mine != incarnation) {
                    return;
                }
                if (nowMicros >= pausedUntilMicros) {
                    Fault fault = failPoints.nextFault(StepKind.TIMER);
                    if (fault == Fault.STOPPED) {
                        pausedUntilMicros = nowMicros + STOPPED_MICROS;
                    } else if (fault != null) {
                        die(fault);
                        return;
                    }
                }
                if (nowMicros < pausedUntilMicros) {
                    schedule(pausedUntilMicros - nowMicros, () -> run(work));
                } else {
                    work.run();
                    watch();
                }
            }
        }

        /** Ends this process, or all where the power is cut. */
        private void die(Fault fault) {
            if (fault == Fault.POWER_CUT) {
                forEachMember(Member::kill);
            } else {
                kill();
            }
        }

        /** Nobody leads in a term in which another has led. */
        private void watch() {
            if (isRunning() && replica.isLeader()) {
                Integer other = leaderByTerm.putIfAbsent(replica.term(), number);
                if (other != null && other != number) {
                    violations.add("term " + replica.term() + " is led by m" + other + " and m" + number);
                }
            }
        }

        /** This life's way to the disk: after its end nothing it does reaches it. */
        private Disk access() {
            int mine = incarnation;
            return new FailPointDisk(disk, failPoints::nextFault, new FailPointDisk.Process() {
                @Override
                public boolean hasEnded() {
                    return mine != incarnation;
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
            if (replica == null
                    || !RaftReplica.Termination.DISK_FAILURE.reason().equals(stopReason)) {
                return;
            }
            try {
                begin(SegmentedLog.reopen(access(), "sim", identity.name()));
            } catch (IOException e) {
                new Incarnation().after(REVIVE_MICROS, this::revive);
            }
        }

        private void begin(SegmentedLog log) throws IOException {
            legacyImport = new LegacyStoreImport(legacyDocument == null ? null : new LegacyFolder());
            if (log.word().phase() == ClusterBootstrap.Phase.UNBOUND) {
                boolean founder = founders.contains(identity);
                log.keep(new ClusterBootstrap.Announcement(
                        identity,
                        founder ? ClusterBootstrap.Phase.BOOTSTRAPPED : ClusterBootstrap.Phase.JOINING,
                        founders));
            }
            stopReason = null;
            replica = new RaftReplica(
                    new Incarnation(),
                    log,
                    founders,
                    new RaftReplica.MessageSender() {
                        private final int mine = incarnation;

                        @Override
                        public void send(MemberId to, byte[] message) {
                            if (mine != incarnation) {
                                return;
                            }
                            Member there = members.stream()
                                    .filter(m -> m.identity.equals(to))
                                    .findFirst()
                                    .orElse(null);
                            Fault fault = failPoints.nextFault(StepKind.SEND);
                            boolean goes = fault == null || fault == Fault.DOUBLED || fault == Fault.DIE_AFTER;
                            if (goes || fault == Fault.LATE) {
                                transmit(Member.this, there, message, fault == Fault.LATE ? LATE_MICROS : 0);
                            }
                            if (fault == Fault.DOUBLED) {
                                transmit(Member.this, there, message, 0);
                            } else if (fault != null && fault.endsProcess) {
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
                                adopt(replica.state().document());
                            }
                        }

                        @Override
                        public void restored() {
                            if (replica.state().document() != null) {
                                adopt(replica.state().document());
                            }
                        }

                        @Override
                        public void terminated(RaftReplica.Termination reason) {
                            stopReason = reason.reason();
                            new Incarnation().after(REVIVE_MICROS, Member.this::revive);
                        }
                    });
            replica.start();
        }

        private final class LegacyFolder implements LegacyStoreImport.Source {
            private final int mine = incarnation;

            @Override
            public byte[] document() {
                return legacyDocument;
            }

            @Override
            public java.util.Map<String, Long> sessions() {
                return java.util.Map.of();
            }

            @Override
            public boolean markImported() {
                if (mine != incarnation) {
                    return false;
                }
                Fault fault = failPoints.nextFault(StepKind.REPLACE);
                if (fault == null || fault == Fault.DIE_AFTER) {
                    legacyDocument = null;
                }
                if (fault != null && fault.endsProcess) {
                    die(fault);
                }
                return legacyDocument == null;
            }
        }

        /** Takes over what was left here, as long as this member leads. */
        void importLegacy() {
            if (isRunning() && replica.isLeader()) {
                legacyImport.propose(replica, document -> true, (session, position) -> {});
            }
        }

        private void adopt(ReplicatedState.Document document) {
            String before = activatedDigests.putIfAbsent(document.index(), document.digest());
            String agreed = committedDigests.putIfAbsent(document.index(), document.digest());
            if (agreed != null && !agreed.equals(document.digest())
                    || before != null && !before.equals(document.digest())) {
                violations.add("change " + document.index() + " is " + document.digest() + " and " + agreed);
            }
        }

        void kill() {
            incarnation++;
            replica = null;
            disk.crash(random);
        }

        boolean isRunning() {
            return replica != null && stopReason == null;
        }
    }

    private static final long STOPPED_MICROS = 10_000_000, LATE_MICROS = 2_000_000, REVIVE_MICROS = 500_000;
    private static final int MAX_TRACE_CHARS = 400;
    final FailPoints failPoints;
    final TreeMap<Integer, Integer> leaderByTerm = new TreeMap<>();
    final Random random;
    final List<Member> members = new ArrayList<>();
    final Set<MemberId> founders = new TreeSet<>();
    final boolean[][] linkDown;
    final TreeMap<Long, String> committedDigests = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    long nowMicros = 1_000_000_000L;
    double messageLossRatio;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;

    Simulation(long seed, int founding, int later) throws IOException {
        this(seed, founding, later, new FailPoints(), FaultSweep.SeededBug.NONE);
    }

    Simulation(long seed, int founding, int later, FailPoints points, FaultSweep.SeededBug planted) throws IOException {
        random = new Random(seed);
        this.failPoints = points;
        linkDown = new boolean[founding + later][founding + later];
        for (int i = 0; i < founding + later; i++) {
            Member member = new Member(i);
            member.disk.seededBug = planted;
            members.add(member);
            if (i < founding) {
                founders.add(member.identity);
            }
        }
        for (Member member : members.subList(0, founding)) {
            Scenario.start(member);
        }
    }

    void schedule(long inMicros, Runnable work) {
        events.add(new Event(nowMicros + inMicros, nextSequence++, work));
    }

    private void transmit(Member from, Member to, byte[] message, long later) {
        if (to == null || linkDown[from.number][to.number] || random.nextDouble() < messageLossRatio) {
            return;
        }
        int life = to.incarnation;
        failPoints.trace(() -> nowMicros / 1000 + " ms: " + from.identity.name() + " to " + to.identity.name() + ": "
                + describe(message));
        schedule(later + 200 + random.nextInt(3000), () -> {
            if (to.incarnation == life && to.replica != null && !linkDown[from.number][to.number]) {
                Fault fault = failPoints.nextFault(StepKind.ARRIVE);
                try {
                    if (fault != Fault.DIE_BEFORE && fault != Fault.POWER_CUT) {
                        to.replica.handle(message);
                    }
                    if (fault != null) {
                        to.die(fault);
                    }
                } catch (IOException e) {
                    violations.add("a message can't be read: " + e.getMessage());
                }
            }
        });
    }

    private static String describe(byte[] message) {
        try {
            String text = String.valueOf(RaftCodec.read(RaftReplica.GROUP, message));
            return text.length() > MAX_TRACE_CHARS ? text.substring(0, MAX_TRACE_CHARS) : text;
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    void run(long micros) {
        long end = nowMicros + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            nowMicros = next.at();
            next.work().run();
        }
        nowMicros = end;
    }

    Member leader() {
        return members.stream()
                .filter(m -> m.isRunning() && m.replica.isLeader())
                .findFirst()
                .orElse(null);
    }

    /** Runs until something holds, within virtual 30 s. */
    boolean runUntil(java.util.function.BooleanSupplier holds) {
        for (int i = 0; i < 3000 && !holds.getAsBoolean(); i++) {
            run(10_000);
        }
        return holds.getAsBoolean();
    }

    /**
     * Lets time pass; where as many as a majority run and hear each other throughout, it must not end without a leader,
     * whoever is down.
     */
    void runExpectingLeader(long micros) {
        boolean stood = true;
        long end = nowMicros + micros;
        while (nowMicros < end) {
            run(50_000);
            stood &= 2
                            * members.stream()
                                    .filter(m -> m.isRunning() && nowMicros >= m.pausedUntilMicros)
                                    .count()
                    > founders.size();
        }
        if (stood && leader() == null) {
            violations.add(
                    "no leader " + micros / 1000 + " ms after the last one's end, though a majority runs throughout");
        }
    }

    void restoreNetwork() {
        for (boolean[] row : linkDown) {
            Arrays.fill(row, false);
        }
        messageLossRatio = 0;
    }

    static byte[] document(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Clients that put configurations at whoever leads by its own word, and what they were told. */
    final class Clients {
        final TreeMap<Long, String> acknowledgedDigests = new TreeMap<>();
        private int nextNumber;

        void put(Member at) {
            put(at, "");
        }

        void put(Member at, String filler) {
            if (!at.isRunning()) {
                return;
            }
            byte[] content = document("{\"n\":\"" + nextNumber++ + filler + "\"}");
            long expected = at.replica.state().revision();
            at.replica.propose(new Command.PutDocument(expected, content), (fate, outcome) -> {
                if (fate == RaftReplica.Completion.DONE && outcome.result() == ReplicatedState.Result.APPLIED) {
                    String other = acknowledgedDigests.putIfAbsent(outcome.revision(), ReplicatedState.digest(content));
                    if (other != null) {
                        violations.add("revision " + outcome.revision() + " was acknowledged twice");
                    }
                }
            });
        }

        void read(Member at) {
            if (!at.isRunning()) {
                return;
            }
            long least = acknowledgedDigests.isEmpty() ? 0 : acknowledgedDigests.lastKey();
            at.replica.readBarrier((fate, ok) -> {
                if (fate == RaftReplica.Completion.DONE && at.replica.state().revision() < least) {
                    violations.add("a read came back with revision "
                            + at.replica.state().revision() + " after " + least);
                }
            });
        }

        boolean caughtUp(Member member) {
            return member.isRunning()
                    && !acknowledgedDigests.isEmpty()
                    && member.replica.state().revision() >= acknowledgedDigests.lastKey();
        }

        /** Whether all that was acknowledged is in a member's history, at the revision that was told. */
        void checkAcknowledged(Member member) {
            if (!caughtUp(member)) {
                long last = acknowledgedDigests.isEmpty() ? 0 : acknowledgedDigests.lastKey();
                violations.add(member.identity
                        + (member.isRunning()
                                ? " has only revision "
                                        + member.replica.state().revision() + " after " + last + ", term "
                                        + member.replica.term() + " of " + leaderByTerm.lastKey()
                                : " does not run: " + member.stopReason));
                return;
            }
            List<String> digests = new ArrayList<>(committedDigests
                    .headMap(member.replica.state().appliedIndex(), true)
                    .values());
            acknowledgedDigests.forEach((revision, digest) -> {
                if (digests.size() < revision
                        || !digests.get((int) (revision - 1)).equals(digest)) {
                    violations.add("revision " + revision + " was acknowledged and is lost");
                }
            });
        }
    }

    Member randomMember() {
        return members.get(random.nextInt(members.size()));
    }

    void forEachMember(Consumer<Member> work) {
        members.forEach(work);
    }
}
