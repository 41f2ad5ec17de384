package lupinvalve.replication;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.exception.LaggingCommitIndexException;
import io.microraft.exception.MismatchingRaftGroupMembersCommitIndexException;
import io.microraft.exception.NotLeaderException;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.CompactionPolicy;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.statemachine.SnapshotCodec;

/**
 * One member's replica of the Raft log: the MicroRaft node, its log on disk, and the replicated state that results from
 * the committed entries. All of it runs on one {@link Scheduler}. Has no connections of its own: it sends through a
 * {@link MessageSender}, and its owner passes received messages to {@link #handle}.
 */
final class RaftReplica {
    /** MicroRaft's group id. It is not sent: connections are accepted only from the same cluster. */
    static final Object GROUP = "ledger";

    private static final int MAX_BATCH_ENTRIES = 512;
    private static final int MAX_PENDING_ENTRIES = 20_000;
    /** Bounds only MicroRaft's table of log entries: {@link CompactionPolicy} decides by the log's size in bytes. */
    private static final int MAX_ENTRIES_BETWEEN_SNAPSHOTS = 100_000;

    // In MicroRaft's time, which runs AcceleratedExecutor.FACTOR times as fast as real time. A vote takes one force of
    // the disk and one network round trip; the election timeout is a multiple of that.
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 6;
    private static final int ELECTION_TIMEOUT_MILLIS = 1500;
    private static final int REPORT_INTERVAL_SECONDS = 60;

    /** Sends messages to other members; drops a message that can't be sent. */
    interface MessageSender {
        void send(MemberId to, byte[] message);

        /** Whether there is a connection to a member. */
        boolean reaches(MemberId member);
    }

    /** Is notified of changes of the replicated state, in log order. */
    interface StateListener {
        /** The command committed at a log index has been applied. */
        void applied(long index, Command command, ReplicatedState.Outcome outcome);

        /** The state was replaced by a snapshot's; {@link #applied} is not called for the commands in the snapshot. */
        void restored();

        /** This replica has terminated, and does not restart. */
        void terminated(Termination reason);
    }

    /** Why a replica has terminated. */
    record Termination(Cause cause, String reason) {
        /** The disk may recover; a new replica then replaces this one. */
        static final Termination DISK_FAILURE = new Termination(Cause.DISK_FAILURE, "the disk fails");

        static final Termination STOPPED = new Termination(Cause.STOPPED, "stopped");

        /** Decides whether a new replica can replace the terminated one. */
        enum Cause {
            DISK_FAILURE,
            STOPPED,
            START_FAILED,
            /** The log has a command or a snapshot that only a later version can decode. */
            UNSUPPORTED_VERSION
        }
    }

    /** How a proposal or a query ended. */
    enum Completion {
        DONE,
        /** Not applied; it can be retried, here or at the leader. */
        NOT_APPLIED,
        /** Not applied; the group can't apply it. */
        REJECTED,
        /** May have been applied. */
        INDETERMINATE
    }

    /** Gets the completion, and the result if that is {@link Completion#DONE}, else null. */
    interface Callback<T> {
        void completed(Completion completion, T result);
    }

    private final Scheduler scheduler;
    private final AcceleratedExecutor executor;
    private final SegmentedLog log;
    private final MessageSender sender;
    private final StateListener listener;
    private final ReplicatedState state = new ReplicatedState();
    private final MemberId self;
    private final RaftNode node;
    private final MicroRaftWorkarounds workarounds;
    private boolean snapshotting;
    private boolean terminated;
    /** Size of the log entries that the last compaction left on the disk. */
    private long retainedLogBytes;

    /** @param founders the members that bootstrap the group; used only if the log has no Raft state yet */
    RaftReplica(
            Scheduler scheduler,
            SegmentedLog log,
            Set<MemberId> founders,
            MessageSender sender,
            Random random,
            StateListener listener) {
        this.scheduler = scheduler;
        this.log = log;
        this.sender = sender;
        this.listener = listener;
        self = log.announcement().member();
        executor = new AcceleratedExecutor(scheduler);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP)
                .setConfig(config())
                .setTransport(new MicroRaftTransport())
                .setStateMachine(new MicroRaftStateMachine())
                .setExecutor(executor)
                .setStore(log)
                .setModelFactory(RaftCodec.FACTORY)
                .setRandom(random)
                .setClock(executor);
        RestoredRaftState restored = log.restoredState();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(new MemberEndpoint(self)).setInitialGroupMembers(MemberEndpoint.all(founders));
        }
        node = builder.build();
        workarounds = new MicroRaftWorkarounds((RaftNodeImpl) node, executor, () -> terminated);
        log.onFailure(() -> scheduler.post(() -> terminate(Termination.DISK_FAILURE)));
    }

    private static RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
                .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS)
                .setAppendEntriesRequestBatchSize(MAX_BATCH_ENTRIES)
                .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                .setCommitCountToTakeSnapshot(MAX_ENTRIES_BETWEEN_SNAPSHOTS)
                .setRaftNodeReportPublishPeriodSecs(REPORT_INTERVAL_SECONDS)
                .build();
    }

    /** Starts the Raft node. */
    void start() {
        node.start().whenComplete((ignored, failure) -> {
            if (failure != null) {
                String reason = "start: " + failure.getMessage();
                scheduler.post(() -> terminate(new Termination(Termination.Cause.START_FAILED, reason)));
            }
        });
        log.releaseRestored();
    }

    /** Terminates the Raft node; requests that are still in flight may have been applied. */
    void terminate(Termination reason) {
        if (terminated) {
            return;
        }
        terminated = true;
        node.terminate();
        // MicroRaft's last task fails the operations in flight. None may run later, when the disk may be closed.
        scheduler.post(executor::stop);
        listener.terminated(reason);
    }

    /** The state that results from the committed log entries applied here so far. */
    ReplicatedState state() {
        return state;
    }

    private final class MicroRaftTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            // A member whose disk has failed must not acknowledge entries or grant votes.
            if (!terminated && !log.hasFailed()) {
                sender.send(MemberEndpoint.of(target), RaftCodec.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return sender.reaches(MemberEndpoint.of(endpoint));
        }
    }

    /** A query without a result: when it completes, the state is up to date. */
    private record ReadBarrier() {}

    private final class MicroRaftStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof ReadBarrier) {
                return null;
            }
            Command command = decode(index, (byte[]) operation);
            ReplicatedState.Outcome outcome = state.apply(index, command);
            try {
                log.advanceCommitIndex(index);
                if (isActedOn(command)) {
                    // The pooler serves with it from now on, so after a restart it must be known to be committed even
                    // while no other member is connected.
                    log.flush();
                }
            } catch (IOException e) {
                // The log has reported the failure to its listener, which terminates this replica.
                return outcome;
            }
            listener.applied(index, command, outcome);
            compactIfDue();
            return outcome;
        }

        /** Whether it is an operator's change, which poolers act on from then on. */
        private static boolean isActedOn(Command command) {
            return command instanceof Command.PutDocument
                    || command instanceof Command.StartDrain
                    || command instanceof Command.EndDrain;
        }

        private Command decode(long index, byte[] operation) {
            try {
                return CommandCodec.decode(operation);
            } catch (IOException e) {
                // Skipping the command would make this state differ from that of members that can decode it.
                Log.error(
                        "store: cannot decode the command at log index %s: %s; terminating the Raft node",
                        index, e.getMessage());
                terminateUnsupported("change " + index + " is of a later version");
                throw new IllegalStateException(e);
            }
        }

        private void compactIfDue() {
            retainedLogBytes = Math.min(retainedLogBytes, log.logBytes());
            if (!snapshotting && CompactionPolicy.isDue(log.logBytes(), retainedLogBytes, log.snapshotBytes())) {
                snapshotting = true;
                scheduler.post(() -> node.takeSnapshot().whenComplete((report, failure) -> {
                    snapshotting = false;
                    retainedLogBytes = log.logBytes();
                }));
            }
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            SnapshotCodec.encode(state).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            try {
                SnapshotCodec.restore(
                        state, chunks.stream().map(chunk -> (byte[]) chunk).toList());
                log.advanceCommitIndex(index);
            } catch (IOException e) {
                Log.error(
                        "store: cannot decode the snapshot at log index %s: %s; terminating the Raft node",
                        index, e.getMessage());
                terminateUnsupported("the snapshot is of a later version");
                throw new IllegalStateException(e);
            }
            listener.restored();
        }

        private void terminateUnsupported(String reason) {
            scheduler.post(() -> terminate(new Termination(Termination.Cause.UNSUPPORTED_VERSION, reason)));
        }

        @Override
        public Object getNewTermOperation() {
            return CommandCodec.encode(new Command.NoOp());
        }
    }

    // ---- messages, proposals and queries ----
    /** Handles a message from another member. */
    void handle(byte[] message) throws IOException {
        if (!terminated) {
            workarounds.handle(RaftCodec.read(GROUP, message));
        }
    }

    /** Whether this member leads, according to its own Raft state; another member may have been elected since. */
    boolean isLeader() {
        return !terminated && leader() != null && leader().equals(self);
    }

    /** The leader according to this member's Raft state, or null if it knows none. */
    MemberId leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null || terminated ? null : MemberEndpoint.of(leader);
    }

    /** This member's current Raft term. */
    int term() {
        return node.getTerm().getTerm();
    }

    private static Completion completionOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof NotLeaderException
                || cause instanceof CannotReplicateException
                || cause instanceof LaggingCommitIndexException) {
            return Completion.NOT_APPLIED;
        }
        boolean rejected = cause instanceof IllegalArgumentException
                || cause instanceof IllegalStateException && !(cause instanceof IndeterminateStateException)
                || cause instanceof MismatchingRaftGroupMembersCommitIndexException;
        return rejected ? Completion.REJECTED : Completion.INDETERMINATE;
    }

    private <T> void submit(Supplier<CompletableFuture<Ordered<T>>> operation, Callback<T> callback) {
        if (terminated) {
            callback.completed(Completion.NOT_APPLIED, null);
            return;
        }
        operation
                .get()
                .whenComplete((ordered, failure) -> scheduler.post(() -> {
                    if (failure != null) {
                        Completion completion = completionOf(failure);
                        if (completion == Completion.REJECTED) {
                            Log.info("store: Raft operation rejected: %s", failure.getMessage());
                        }
                        callback.completed(completion, null);
                    } else if (log.hasFailed()) {
                        // A majority may have committed it, but a member whose disk has failed must not confirm it.
                        callback.completed(Completion.INDETERMINATE, null);
                    } else {
                        callback.completed(Completion.DONE, ordered.getResult());
                    }
                }));
    }

    /** Proposes a command; this member must be the leader. */
    void propose(Command command, Callback<ReplicatedState.Outcome> callback) {
        submit(() -> node.replicate(CommandCodec.encode(command)), callback);
    }

    /** Completes once the state here includes all that the group committed before the call (linearizable read). */
    void readBarrier(Callback<Object> callback) {
        submit(
                () -> node.query(new ReadBarrier(), QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()),
                callback);
    }

    /** Takes a snapshot now. */
    void snapshot(Callback<RaftNodeReport> callback) {
        submit(node::takeSnapshot, callback);
    }

    /** Gets the Raft node's report. */
    void report(Callback<RaftNodeReport> callback) {
        submit(node::getReport, callback);
    }

    // ---- membership ----
    /** All members, voters and learners. */
    static Set<MemberId> members(RaftNodeReport report) {
        Set<MemberId> members =
                MemberEndpoint.identities(report.getCommittedMembers().getMembers());
        members.addAll(MemberEndpoint.identities(report.getCommittedMembers().getVotingMembers()));
        return members;
    }

    /**
     * The group as a leader sees it.
     *
     * @param report must be a leader's, see {@link #isLeader(RaftNodeReport)}
     * @param nonMembers connected nodes of the cluster that are not members
     * @param reachable connected members
     */
    static MembershipChange.GroupView groupView(
            RaftNodeReport report, Set<MemberId> nonMembers, Set<MemberId> reachable) {
        Set<MemberId> voters =
                MemberEndpoint.identities(report.getCommittedMembers().getVotingMembers());
        Set<MemberId> learners =
                MemberEndpoint.identities(report.getCommittedMembers().getMembers());
        learners.removeAll(voters);
        MemberId self = MemberEndpoint.of(report.getEndpoint());
        Set<MemberId> withSelf = new TreeSet<>(reachable);
        withSelf.add(self);
        Map<MemberId, Long> matchIndices = new HashMap<>();
        report.getLog()
                .getFollowerMatchIndices()
                .forEach((member, index) -> matchIndices.put(MemberEndpoint.of(member), index));
        return new MembershipChange.GroupView(
                self,
                voters,
                learners,
                nonMembers,
                withSelf,
                matchIndices,
                report.getLog().getLastLogOrSnapshotIndex(),
                report.getCommittedMembers().getLogIndex());
    }

    /** Executes one step of a membership change; this member must be the leader. */
    void changeMembership(MembershipChange.Step step, RaftNodeReport report, Callback<Object> callback) {
        if (step instanceof MembershipChange.Step.AddLearner add) {
            changeMember(add.member(), MembershipChangeMode.ADD_LEARNER, report, callback);
        } else if (step instanceof MembershipChange.Step.PromoteToVoter promote) {
            changeMember(promote.member(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, report, callback);
        } else if (step instanceof MembershipChange.Step.RemoveMember remove) {
            changeMember(remove.member(), MembershipChangeMode.REMOVE_MEMBER, report, callback);
        } else if (step instanceof MembershipChange.Step.TransferLeadership transfer) {
            submit(() -> node.transferLeadership(new MemberEndpoint(transfer.successor())), callback);
        }
    }

    private void changeMember(
            MemberId member, MembershipChangeMode mode, RaftNodeReport report, Callback<Object> callback) {
        long committedIndex = report.getCommittedMembers().getLogIndex();
        submit(() -> node.changeMembership(new MemberEndpoint(member), mode, committedIndex), callback::completed);
    }

    /** Whether the node that a report is of leads. */
    static boolean isLeader(RaftNodeReport report) {
        return report.getRole() == RaftRole.LEADER;
    }

    /**
     * The committed state recorded on this member's own disk: the state at start, before any other member is connected.
     */
    static ReplicatedState committedState(SegmentedLog log) throws IOException {
        ReplicatedState state = new ReplicatedState();
        List<byte[]> chunks = log.snapshotChunks();
        if (!chunks.isEmpty()) {
            SnapshotCodec.restore(state, chunks);
        }
        for (LogEntry entry : log.committedEntries().values()) {
            if (entry.getOperation() instanceof byte[] command) {
                state.apply(entry.getIndex(), CommandCodec.decode(command));
            }
        }
        return state;
    }
}
