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
 * One member's part in the replicated log: the Raft library's node, fed with messages and the disk, and the replicated
 * state that the log leads to. All on one scheduler. It knows no connections: whoever made it carries the messages.
 */
final class RaftReplica {
    /** The group's name for the library; who is connected is of one cluster. */
    static final Object GROUP = "ledger";

    private static final int MAX_BATCH_ENTRIES = 512;
    private static final int MAX_PENDING_ENTRIES = 20_000;
    /** A bound on the library's own table only: compaction goes by the log's bytes. */
    private static final int MAX_ENTRIES_BETWEEN_SNAPSHOTS = 100_000;

    // In the library's time, which runs faster by AcceleratedExecutor.FACTOR. A vote takes a force of the disk and two
    // ways; the election timeout leaves a multiple of that.
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 6;
    private static final int ELECTION_TIMEOUT_MILLIS = 1500;
    private static final int REPORT_INTERVAL_SECONDS = 60;

    /** Carries messages to other members; what can't be carried is dropped. */
    interface MessageSender {
        void send(MemberId to, byte[] message);

        /** Whether a member is connected. */
        boolean reaches(MemberId member);
    }

    /** Is notified of what is committed, in order. */
    interface StateListener {
        void applied(long index, Command command, ReplicatedState.Outcome outcome);

        /** The state is a snapshot's, without the commands that led to it. */
        void restored();

        /** This member takes no part any more. */
        void terminated(Termination reason);
    }

    /** Why a member takes no part any more. */
    record Termination(Cause cause, String reason) {
        /** The disk may become good again. */
        static final Termination DISK_FAILURE = new Termination(Cause.DISK_FAILURE, "the disk fails");

        static final Termination STOPPED = new Termination(Cause.STOPPED, "stopped");

        /** Whether a member can go on later is a matter of the cause. */
        enum Cause {
            DISK_FAILURE,
            STOPPED,
            START_FAILED,
            /** The log has what only a later version can read. */
            UNSUPPORTED_VERSION
        }
    }

    /** How a proposal or a query came to its end. */
    enum Completion {
        DONE,
        /** It has not happened, and may be asked of the leader, or again. */
        NOT_APPLIED,
        /** It has not happened, and can't. */
        REJECTED,
        /** It may have happened. */
        INDETERMINATE
    }

    /** Takes the completion, and the result where that is {@link Completion#DONE}. */
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
    /** What the log took on the disk behind the last snapshot. */
    private long retainedBytes;

    /** @param founders of the group */
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
                .setTransport(new LibraryTransport())
                .setStateMachine(new LibraryStateMachine())
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

    /** Begins to take part. */
    void start() {
        node.start().whenComplete((ignored, failure) -> {
            if (failure != null) {
                String reason = "start: " + failure.getMessage();
                scheduler.post(() -> terminate(new Termination(Termination.Cause.START_FAILED, reason)));
            }
        });
        log.releaseRestored();
    }

    /** Takes no part any more; what was requested and not answered may have happened. */
    void terminate(Termination reason) {
        if (terminated) {
            return;
        }
        terminated = true;
        node.terminate();
        // The library's own last work is to fail what is in flight; it must not reach a disk that is closed.
        scheduler.post(executor::stop);
        listener.terminated(reason);
    }

    /** What the committed log led to, as far as it is applied here. */
    ReplicatedState state() {
        return state;
    }

    private final class LibraryTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            // Nothing is acknowledged, and no vote given, by a disk that fails.
            if (!terminated && !log.hasFailed()) {
                sender.send(MemberEndpoint.of(target), RaftCodec.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return sender.reaches(MemberEndpoint.of(endpoint));
        }
    }

    /** A query that reads nothing: its completion tells that the state is up to date. */
    private record ReadBarrier() {}

    private final class LibraryStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof ReadBarrier) {
                return null;
            }
            Command command = decode(index, (byte[]) operation);
            ReplicatedState.Outcome outcome = state.apply(index, command);
            try {
                log.advanceCommitIndex(index);
                if (command instanceof Command.PutDocument) {
                    // It is served on from now on, so that a restart without the others must know of it.
                    log.flush();
                }
            } catch (IOException e) {
                // The log has told of it, and ends this member.
                return outcome;
            }
            listener.applied(index, command, outcome);
            compactIfDue();
            return outcome;
        }

        private Command decode(long index, byte[] operation) {
            try {
                return CommandCodec.decode(operation);
            } catch (IOException e) {
                // To pass it over would be to hold another state than those who can read it.
                Log.error("store: the command at index %s can't be decoded: %s", index, e.getMessage());
                terminateSoon("change " + index + " is of a later version");
                throw new IllegalStateException(e);
            }
        }

        private void compactIfDue() {
            retainedBytes = Math.min(retainedBytes, log.logBytes());
            if (!snapshotting && CompactionPolicy.isDue(log.logBytes(), retainedBytes, log.snapshotBytes())) {
                snapshotting = true;
                scheduler.post(() -> node.takeSnapshot().whenComplete((report, failure) -> {
                    snapshotting = false;
                    retainedBytes = log.logBytes();
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
                Log.error("store: the snapshot at index %s can't be decoded: %s", index, e.getMessage());
                terminateSoon("the snapshot is of a later version");
                throw new IllegalStateException(e);
            }
            listener.restored();
        }

        private void terminateSoon(String reason) {
            scheduler.post(() -> terminate(new Termination(Termination.Cause.UNSUPPORTED_VERSION, reason)));
        }

        @Override
        public Object getNewTermOperation() {
            return CommandCodec.encode(new Command.NoOp());
        }
    }

    // ---- messages, proposals and queries ----
    /** Handles a message of another member. */
    void handle(byte[] message) throws IOException {
        if (!terminated) {
            workarounds.handle(RaftCodec.read(GROUP, message));
        }
    }

    /** Whether this member leads, as far as it knows. */
    boolean isLeader() {
        return !terminated && leader() != null && leader().equals(self);
    }

    /** The leader as far as is known here, or null. */
    MemberId leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null || terminated ? null : MemberEndpoint.of(leader);
    }

    /** The term that this member is in. */
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

    private <T> void submit(Supplier<CompletableFuture<Ordered<T>>> operation, Callback<T> then) {
        if (terminated) {
            then.completed(Completion.NOT_APPLIED, null);
            return;
        }
        operation
                .get()
                .whenComplete((ordered, failure) -> scheduler.post(() -> {
                    if (failure != null) {
                        Completion completion = completionOf(failure);
                        if (completion == Completion.REJECTED) {
                            Log.info("store: rejected: %s", failure.getMessage());
                        }
                        then.completed(completion, null);
                    } else if (log.hasFailed()) {
                        // A majority may hold it all the same, but this disk does not, and answers for nothing.
                        then.completed(Completion.INDETERMINATE, null);
                    } else {
                        then.completed(Completion.DONE, ordered.getResult());
                    }
                }));
    }

    /** Proposes a command; this member must lead. */
    void propose(Command command, Callback<ReplicatedState.Outcome> then) {
        submit(() -> node.replicate(CommandCodec.encode(command)), then);
    }

    /** Completes once the state here has all that was committed anywhere before the call (a linearizable read). */
    void readBarrier(Callback<Object> then) {
        submit(() -> node.query(new ReadBarrier(), QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()), then);
    }

    /** Takes a snapshot now. */
    void snapshot(Callback<RaftNodeReport> then) {
        submit(node::takeSnapshot, then);
    }

    /** Gives the node's own report. */
    void report(Callback<RaftNodeReport> then) {
        submit(node::getReport, then);
    }

    // ---- membership ----
    /** All members, voters and learners. */
    static Set<MemberId> members(RaftNodeReport report) {
        Set<MemberId> members =
                MemberEndpoint.identities(report.getCommittedMembers().getMembers());
        members.addAll(MemberEndpoint.identities(report.getCommittedMembers().getVotingMembers()));
        return members;
    }

    /** The group as this member sees it as its leader; whether it is must be asked apart. */
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

    /** Takes one step of a membership change; this member must lead. */
    void changeMembership(MembershipChange.Step step, RaftNodeReport report, Callback<Object> then) {
        if (step instanceof MembershipChange.Step.AddLearner add) {
            changeMember(add.member(), MembershipChangeMode.ADD_LEARNER, report, then);
        } else if (step instanceof MembershipChange.Step.PromoteToVoter promote) {
            changeMember(promote.member(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, report, then);
        } else if (step instanceof MembershipChange.Step.RemoveMember remove) {
            changeMember(remove.member(), MembershipChangeMode.REMOVE_MEMBER, report, then);
        } else if (step instanceof MembershipChange.Step.TransferLeadership transfer) {
            submit(() -> node.transferLeadership(new MemberEndpoint(transfer.successor())), then);
        }
    }

    private void changeMember(
            MemberId member, MembershipChangeMode mode, RaftNodeReport report, Callback<Object> then) {
        long committedIndex = report.getCommittedMembers().getLogIndex();
        submit(() -> node.changeMembership(new MemberEndpoint(member), mode, committedIndex), then::completed);
    }

    /** Whether a report is of a leader. */
    static boolean isLeader(RaftNodeReport report) {
        return report.getRole() == RaftRole.LEADER;
    }

    /** What was committed as far as this member's own disk tells: the state to start from before others are heard. */
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
