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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.statemachine.MemberId;

/**
 * A Raft group in virtual time: its members, the network between them, and the violations found. The seed determines
 * the sequence of events. Each step at which a member accesses its disk, the network or a timer is a fail point. Not
 * thread-safe.
 */
final class Simulation {
    private static final int MAX_TRACE_CHARS = 400;
    private static final long MIN_LATENCY_MICROS = 200;
    private static final int LATENCY_SPREAD_MICROS = 3_000;
    private static final int MAX_WAIT_STEPS = 3_000;
    private static final long WAIT_STEP_MICROS = 10_000;
    private static final long AVAILABILITY_STEP_MICROS = 50_000;

    private record Event(long atMicros, long sequence, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    final FailPoints failPoints;
    final Random random;
    final List<SimulatedMember> members = new ArrayList<>();
    final Set<MemberId> founders = new TreeSet<>();
    /** Number of the member that was first seen to lead, by term. */
    final TreeMap<Integer, Integer> leaderByTerm = new TreeMap<>();
    /** Digests of the configurations that any member has applied, by log index. */
    final TreeMap<Long, String> committedDigests = new TreeMap<>();
    /** Violations of what must hold, in the order in which they were found. */
    final List<String> violations = new ArrayList<>();
    /** Whether messages are lost, by the numbers of the sender and the receiver. */
    final boolean[][] linkDown;

    double messageLossRatio;
    long nowMicros = 1_000_000_000L;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;

    Simulation(long seed, int founderCount, int laterMemberCount) throws IOException {
        this(seed, founderCount, laterMemberCount, new FailPoints(), FaultSweep.SeededBug.NONE);
    }

    Simulation(long seed, int founderCount, int laterMemberCount, FailPoints failPoints, FaultSweep.SeededBug bug)
            throws IOException {
        random = new Random(seed);
        this.failPoints = failPoints;
        int memberCount = founderCount + laterMemberCount;
        linkDown = new boolean[memberCount][memberCount];
        for (int i = 0; i < memberCount; i++) {
            SimulatedMember member = new SimulatedMember(this, i);
            member.disk.seededBug = bug;
            members.add(member);
            if (i < founderCount) {
                founders.add(member.identity);
            }
        }
        for (SimulatedMember member : members.subList(0, founderCount)) {
            Scenario.start(member);
        }
    }

    /** Schedules an event; events of the same time run in the order in which they were scheduled. */
    void schedule(long inMicros, Runnable work) {
        events.add(new Event(nowMicros + inMicros, nextSequence++, work));
    }

    /** Sends a message; it is lost if the receiver dies or the link goes down before it arrives. */
    void transmit(SimulatedMember from, SimulatedMember to, byte[] message, long delayMicros) {
        if (to == null || linkDown[from.number][to.number] || random.nextDouble() < messageLossRatio) {
            return;
        }
        int receivingIncarnation = to.incarnation;
        failPoints.trace(() -> nowMicros / 1000 + " ms: " + from.identity.name() + " to " + to.identity.name() + ": "
                + describe(message));
        schedule(delayMicros + MIN_LATENCY_MICROS + random.nextInt(LATENCY_SPREAD_MICROS), () -> {
            if (to.incarnation == receivingIncarnation && to.replica != null && !linkDown[from.number][to.number]) {
                receive(to, message);
            }
        });
    }

    private void receive(SimulatedMember member, byte[] message) {
        Fault fault = failPoints.nextFault(StepKind.ARRIVE);
        try {
            if (fault != Fault.DIE_BEFORE && fault != Fault.POWER_CUT) {
                member.replica.handle(message);
            }
            if (fault != null) {
                member.die(fault);
            }
        } catch (IOException e) {
            violations.add(member.identity.name() + " can't decode a message: " + e.getMessage());
        }
    }

    private static String describe(byte[] message) {
        try {
            String text = String.valueOf(RaftCodec.read(RaftReplica.GROUP, message));
            return text.length() > MAX_TRACE_CHARS ? text.substring(0, MAX_TRACE_CHARS) : text;
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    /** Advances virtual time and runs the events that become due. */
    void run(long micros) {
        long endMicros = nowMicros + micros;
        while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
            Event next = events.poll();
            nowMicros = next.atMicros();
            next.work().run();
        }
        nowMicros = endMicros;
    }

    /** Advances virtual time until the condition holds, by 30 s at most; returns whether it holds. */
    boolean runUntil(BooleanSupplier condition) {
        for (int i = 0; i < MAX_WAIT_STEPS && !condition.getAsBoolean(); i++) {
            run(WAIT_STEP_MICROS);
        }
        return condition.getAsBoolean();
    }

    /**
     * Advances virtual time. If a majority is running throughout, there must be a leader at the end, whichever members
     * are down. The caller ensures that running members can reach each other.
     */
    void runExpectingLeader(long micros) {
        boolean majorityThroughout = true;
        long endMicros = nowMicros + micros;
        while (nowMicros < endMicros) {
            run(AVAILABILITY_STEP_MICROS);
            long runningCount = members.stream()
                    .filter(member -> member.isRunning() && nowMicros >= member.pausedUntilMicros)
                    .count();
            majorityThroughout &= 2 * runningCount > founders.size();
        }
        if (majorityThroughout && leader() == null) {
            violations.add("no leader after " + micros / 1000 + " ms although a majority was running throughout");
        }
    }

    /** The first running member that claims leadership, or null. */
    SimulatedMember leader() {
        return members.stream()
                .filter(member -> member.isRunning() && member.replica.isLeader())
                .findFirst()
                .orElse(null);
    }

    /** The member with this identity, or null. */
    SimulatedMember member(MemberId identity) {
        return members.stream()
                .filter(member -> member.identity.equals(identity))
                .findFirst()
                .orElse(null);
    }

    SimulatedMember randomMember() {
        return members.get(random.nextInt(members.size()));
    }

    void forEachMember(Consumer<SimulatedMember> work) {
        members.forEach(work);
    }

    void restoreNetwork() {
        for (boolean[] links : linkDown) {
            Arrays.fill(links, false);
        }
        messageLossRatio = 0;
    }

    /** Content of a configuration document. */
    static byte[] document(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
