package lupinvalve.replication;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/** One member of a {@link Simulation}, across all incarnations of its process, and its disk. */
final class SimulatedMember {
    private static final String CLUSTER = "sim";
    private static final long PAUSE_MICROS = 10_000_000;
    private static final long LATE_DELAY_MICROS = 2_000_000;
    private static final long REPLICA_RESTART_DELAY_MICROS = 500_000;

    final int number;
    final MemberId identity;
    SimulatedDisk disk = new SimulatedDisk();
    /** The running process's replica, or null if no process is running. */
    RaftReplica replica;
    /** Why the replica has terminated or could not be started, or null. */
    String stopReason;

    /** Whether the member has ever been started. */
    boolean started;
    /** Incremented each time the process dies. */
    int incarnation;

    long pausedUntilMicros;
    /** Digests of the configurations that this member has applied, by log index. */
    final TreeMap<Long, String> appliedDigests = new TreeMap<>();
    /** Configuration in the store of an earlier version; null if there is none or it has been imported. */
    byte[] legacyDocument;

    private final Simulation simulation;
    private LegacyStoreImport legacyImport;

    SimulatedMember(Simulation simulation, int number) {
        this.simulation = simulation;
        this.number = number;
        identity = new MemberId("m" + number, "d" + number);
    }

    /** One process of the member; once it has ended, its calls and its scheduled tasks have no effect. */
    private final class Incarnation
            implements Scheduler, FailPointDisk.Process, RaftReplica.MessageSender, LegacyStoreImport.Source {
        private final int ownIncarnation = incarnation;

        @Override
        public long now() {
            return simulation.nowMicros;
        }

        @Override
        public void post(Runnable work) {
            after(1, work);
        }

        @Override
        public void after(long micros, Runnable work) {
            simulation.schedule(micros, () -> run(work));
        }

        private void run(Runnable work) {
            if (hasEnded()) {
                return;
            }
            if (now() >= pausedUntilMicros) {
                Fault fault = simulation.failPoints.nextFault(StepKind.TIMER);
                if (fault == Fault.STOPPED) {
                    pausedUntilMicros = now() + PAUSE_MICROS;
                } else if (fault != null) {
                    die(fault);
                    return;
                }
            }
            if (now() < pausedUntilMicros) {
                after(pausedUntilMicros - now(), work);
            } else {
                work.run();
                checkOneLeaderPerTerm();
            }
        }

        @Override
        public boolean hasEnded() {
            return ownIncarnation != incarnation;
        }

        @Override
        public void end(Fault fault) {
            die(fault);
        }

        @Override
        public void send(MemberId to, byte[] message) {
            if (hasEnded()) {
                return;
            }
            SimulatedMember receiver = simulation.member(to);
            Fault fault = simulation.failPoints.nextFault(StepKind.SEND);
            if (fault == null || fault == Fault.DOUBLED || fault == Fault.DIE_AFTER) {
                simulation.transmit(SimulatedMember.this, receiver, message, 0);
            } else if (fault == Fault.LATE) {
                simulation.transmit(SimulatedMember.this, receiver, message, LATE_DELAY_MICROS);
            }
            if (fault == Fault.DOUBLED) {
                simulation.transmit(SimulatedMember.this, receiver, message, 0);
            } else if (fault != null && fault.endsProcess) {
                die(fault);
            }
        }

        @Override
        public boolean reaches(MemberId member) {
            return true;
        }

        @Override
        public byte[] document() {
            return legacyDocument;
        }

        @Override
        public Map<String, Long> sessions() {
            return Map.of();
        }

        @Override
        public boolean markImported() {
            if (hasEnded()) {
                return false;
            }
            Fault fault = simulation.failPoints.nextFault(StepKind.REPLACE);
            if (fault == null || fault == Fault.DIE_AFTER) {
                legacyDocument = null;
            }
            if (fault != null && fault.endsProcess) {
                die(fault);
            }
            return legacyDocument == null;
        }
    }

    private final class StateListener implements RaftReplica.StateListener {
        @Override
        public void applied(long index, Command command, ReplicatedState.Outcome outcome) {
            if (command instanceof Command.PutDocument && outcome.result() == ReplicatedState.Result.APPLIED) {
                checkSameAsOthers(replica.state().document());
            }
        }

        @Override
        public void restored() {
            if (replica.state().document() != null) {
                checkSameAsOthers(replica.state().document());
            }
        }

        @Override
        public void terminated(RaftReplica.Termination reason) {
            stopReason = reason.reason();
            new Incarnation().after(REPLICA_RESTART_DELAY_MICROS, SimulatedMember.this::restartReplica);
        }
    }

    /** Starts a process from the state on the disk. */
    void start() throws IOException {
        started = true;
        startReplica(SegmentedLog.open(accessDisk(), CLUSTER, identity.name(), identity.diskId()));
    }

    /** Starts a new replica in the same process after a disk failure, as a member does; retries until that works. */
    private void restartReplica() {
        if (replica == null || !RaftReplica.Termination.DISK_FAILURE.reason().equals(stopReason)) {
            return;
        }
        try {
            startReplica(SegmentedLog.reopenAfterFault(accessDisk(), CLUSTER, identity.name()));
        } catch (IOException e) {
            new Incarnation().after(REPLICA_RESTART_DELAY_MICROS, this::restartReplica);
        }
    }

    private Disk accessDisk() {
        return new FailPointDisk(disk, simulation.failPoints::nextFault, new Incarnation());
    }

    private void startReplica(SegmentedLog log) throws IOException {
        Incarnation process = new Incarnation();
        legacyImport = new LegacyStoreImport(legacyDocument == null ? null : process);
        if (log.announcement().phase() == ClusterBootstrap.Phase.UNBOUND) {
            boolean founder = simulation.founders.contains(identity);
            log.persistAnnouncement(new ClusterBootstrap.Announcement(
                    identity,
                    founder ? ClusterBootstrap.Phase.BOOTSTRAPPED : ClusterBootstrap.Phase.JOINING,
                    simulation.founders));
        }
        stopReason = null;
        Random replicaRandom = new Random(simulation.random.nextLong());
        replica = new RaftReplica(process, log, simulation.founders, process, replicaRandom, new StateListener());
        replica.start();
    }

    /** Proposes the earlier version's configuration if this member leads. */
    void importLegacy() {
        if (isRunning() && replica.isLeader()) {
            legacyImport.propose(replica, document -> true, (session, position) -> {});
        }
    }

    /** Ends the process; the disk loses a part of the unforced data. */
    void kill() {
        incarnation++;
        replica = null;
        disk.crash(simulation.random);
    }

    /** Ends this process, or those of all members in a power cut. */
    void die(Fault fault) {
        if (fault == Fault.POWER_CUT) {
            simulation.forEachMember(SimulatedMember::kill);
        } else {
            kill();
        }
    }

    boolean isRunning() {
        return replica != null && stopReason == null;
    }

    private void checkOneLeaderPerTerm() {
        if (isRunning() && replica.isLeader()) {
            Integer firstLeader = simulation.leaderByTerm.putIfAbsent(replica.term(), number);
            if (firstLeader != null && firstLeader != number) {
                simulation.violations.add(
                        "term " + replica.term() + " has two leaders: m" + firstLeader + " and m" + number);
            }
        }
    }

    /** Records a violation if another document was applied at the same log index, by any member. */
    private void checkSameAsOthers(ReplicatedState.Document document) {
        String ownEarlierDigest = appliedDigests.putIfAbsent(document.index(), document.digest());
        String firstDigest = simulation.committedDigests.putIfAbsent(document.index(), document.digest());
        if (firstDigest != null && !firstDigest.equals(document.digest())
                || ownEarlierDigest != null && !ownEarlierDigest.equals(document.digest())) {
            simulation.violations.add("log index " + document.index() + ": " + identity.name() + " applied digest "
                    + document.digest() + ", " + firstDigest + " was applied before");
        }
    }
}
