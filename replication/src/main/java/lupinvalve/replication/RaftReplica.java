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
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
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
 * One member's part in the group's history: the library's node, fed with messages and the disk, and the ledger that it
 * leads to. All on one schedule. It knows no wire: whoever made it carries the messages.
 */
final class RaftReplica {
    /** The group's name for the library; who is connected is of one cluster. */
    static final Object GROUP = "ledger";

    private static final int ENTRIES_AT_ONCE = 512, PENDING_MOST = 20_000;
    /** A bound on the library's own table only: history is cut by its bytes. */
    private static final int CHANGES_MOST = 100_000;
    /**
     * In the library's time, which runs faster by {@link AcceleratedExecutor#FACTOR}. A vote takes a force of the disk
     * and two ways, some 10 ms where 99 in 100 are met; votes that were split are asked for again after 15 times that.
     */
    private static final int HEARTBEAT_SECONDS = 1, SILENCE_SECONDS = 6, ELECTION_MILLIS = 1500;

    /** Why a member takes no part any more whose disk may become good again. */
    static final String DISK = "the disk fails";

    /** Carries messages to other members; what can't be carried is dropped. */
    interface MessageSender {
        void send(MemberId to, byte[] message);

        boolean reaches(MemberId who);
    }

    /** Hears what was accepted, in order. */
    interface StateListener {
        void applied(long index, Command change, ReplicatedState.Outcome outcome);

        /** The state is another one, without the changes that led to it. */
        void restored();

        /** This member takes no part any more. */
        void ended(String why);
    }

    /** What has become of something asked. */
    enum Completion {
        DONE,
        /** It has not happened, and may be asked of the leader, or again. */
        NOT_APPLIED,
        /** It has not happened, and can't. */
        REJECTED,
        /** It may have happened. */
        INDETERMINATE
    }

    /** Takes the completion, and what came of it where that is {@link Completion#DONE}. */
    interface Callback<T> {
        void completed(Completion completion, T result);
    }

    private final Scheduler schedule;
    private final AcceleratedExecutor pace;
    private final SegmentedLog log;
    private final MessageSender sender;
    private final StateListener listener;
    private final ReplicatedState ledger = new ReplicatedState();
    private final MemberId self;
    private final RaftNode node;
    private final MicroRaftWorkarounds mends;
    private boolean snapshotting, ended;
    private long keptBytes;

    /** @param founders of the group */
    RaftReplica(
            Scheduler schedule,
            SegmentedLog log,
            Set<MemberId> founders,
            MessageSender sender,
            Random random,
            StateListener listener) {
        this.schedule = schedule;
        this.log = log;
        this.sender = sender;
        this.listener = listener;
        self = log.announcement().member();
        pace = new AcceleratedExecutor(schedule);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP)
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(SILENCE_SECONDS)
                        .setLeaderElectionTimeoutMillis(ELECTION_MILLIS)
                        .setAppendEntriesRequestBatchSize(ENTRIES_AT_ONCE)
                        .setMaxPendingLogEntryCount(PENDING_MOST)
                        .setCommitCountToTakeSnapshot(CHANGES_MOST)
                        .setRaftNodeReportPublishPeriodSecs(60)
                        .build())
                .setTransport(new Carrier())
                .setStateMachine(new Machine())
                .setExecutor(pace)
                .setStore(log)
                .setModelFactory(RaftCodec.FACTORY)
                .setRandom(random)
                .setClock(pace);
        RestoredRaftState restored = log.restoredState();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(new MemberEndpoint(self)).setInitialGroupMembers(MemberEndpoint.all(founders));
        }
        node = builder.build();
        mends = new MicroRaftWorkarounds((RaftNodeImpl) node, pace, () -> ended);
        log.onFailure(() -> schedule.post(() -> end(DISK)));
    }

    void start() {
        node.start().whenComplete((ok, failure) -> {
            if (failure != null) {
                schedule.post(() -> end("start: " + failure.getMessage()));
            }
        });
        log.releaseRestored();
    }

    /** Takes no part any more; what was asked and not answered may have happened. */
    void end(String why) {
        if (ended) {
            return;
        }
        leave();
        listener.ended(why);
    }

    /** The same, without a word: another node goes on with the folder. */
    void leave() {
        ended = true;
        node.terminate();
        // The library's own last work is to fail what was asked; it must not reach a disk that is closed.
        schedule.post(pace::stop);
    }

    ReplicatedState ledger() {
        return ledger;
    }

    private final class Carrier implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            // Nothing is acknowledged, and no vote given, by a disk that fails.
            if (!ended && !log.hasFailed()) {
                sender.send(MemberEndpoint.of(target), RaftCodec.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return sender.reaches(MemberEndpoint.of(endpoint));
        }
    }

    /** A question to the ledger, in place of a change. */
    private record Question() {}

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof Question) {
                return null;
            }
            Command change;
            try {
                change = CommandCodec.decode((byte[]) operation);
            } catch (IOException e) {
                // To pass it over would be to hold another state than those who can read it.
                Log.error("store: change %s can't be read: %s", index, e.getMessage());
                schedule.post(() -> end("change " + index + " is of a later version"));
                throw new IllegalStateException(e);
            }
            ReplicatedState.Outcome outcome = ledger.apply(index, change);
            try {
                log.advanceCommitIndex(index);
                if (change instanceof Command.PutDocument) {
                    // It is acted on from now on, so that a restart without the others must know of it.
                    log.flush();
                }
            } catch (IOException e) {
                // The log has told of it, and ends this member.
                return outcome;
            }
            listener.applied(index, change, outcome);
            keptBytes = Math.min(keptBytes, log.logBytes());
            if (!snapshotting && CompactionPolicy.isDue(log.logBytes(), keptBytes, log.snapshotBytes())) {
                snapshotting = true;
                schedule.post(() -> node.takeSnapshot().whenComplete((report, failure) -> {
                    snapshotting = false;
                    keptBytes = log.logBytes();
                }));
            }
            return outcome;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> pieces) {
            SnapshotCodec.encode(ledger).forEach(pieces);
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            try {
                SnapshotCodec.restore(
                        ledger, pieces.stream().map(piece -> (byte[]) piece).toList());
                log.advanceCommitIndex(index);
            } catch (IOException e) {
                Log.error("store: the snapshot at %s can't be read: %s", index, e.getMessage());
                schedule.post(() -> end("the snapshot is of a later version"));
                throw new IllegalStateException(e);
            }
            listener.restored();
        }

        @Override
        public Object getNewTermOperation() {
            return CommandCodec.encode(new Command.NoOp());
        }
    }

    // ---- asked ----
    void handle(byte[] message) throws IOException {
        if (!ended) {
            mends.hand(RaftCodec.read(GROUP, message));
        }
    }

    boolean leads() {
        return !ended && leader() != null && leader().equals(self);
    }

    /** The leader as far as is known here, or null. */
    MemberId leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null || ended ? null : MemberEndpoint.of(leader);
    }

    int term() {
        return node.getTerm().getTerm();
    }

    private static Completion completion(Throwable failure) {
        Throwable cause = failure instanceof java.util.concurrent.CompletionException ? failure.getCause() : failure;
        if (cause instanceof NotLeaderException
                || cause instanceof CannotReplicateException
                || cause instanceof LaggingCommitIndexException) {
            return Completion.NOT_APPLIED;
        }
        return cause instanceof IllegalArgumentException
                        || cause instanceof IllegalStateException && !(cause instanceof IndeterminateStateException)
                        || cause instanceof MismatchingRaftGroupMembersCommitIndexException
                ? Completion.REJECTED
                : Completion.INDETERMINATE;
    }

    private <T> void answer(Supplier<CompletableFuture<Ordered<T>>> asked, Callback<T> then) {
        if (ended) {
            then.completed(Completion.NOT_APPLIED, null);
            return;
        }
        asked.get()
                .whenComplete((ordered, failure) -> schedule.post(() -> {
                    if (failure != null) {
                        Completion completion = completion(failure);
                        if (completion == Completion.REJECTED) {
                            Log.info("store: %s", failure.getMessage());
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

    void propose(Command change, Callback<ReplicatedState.Outcome> then) {
        answer(() -> node.replicate(CommandCodec.encode(change)), then);
    }

    /** Answers once the ledger here holds all that was accepted anywhere before the question. */
    void upToDate(Callback<Object> then) {
        answer(() -> node.query(new Question(), QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()), then);
    }

    void snapshot(Callback<RaftNodeReport> then) {
        answer(node::takeSnapshot, then);
    }

    void report(Callback<RaftNodeReport> then) {
        answer(node::getReport, then);
    }

    /** The group as this member sees it as its leader; whether it is must be asked apart. */
    static MembershipChange.GroupView view(RaftNodeReport report, Set<MemberId> strangers, Set<MemberId> inReach) {
        Set<MemberId> voting =
                MemberEndpoint.identities(report.getCommittedMembers().getVotingMembers());
        Set<MemberId> learning =
                MemberEndpoint.identities(report.getCommittedMembers().getMembers());
        learning.removeAll(voting);
        MemberId self = MemberEndpoint.of(report.getEndpoint());
        Set<MemberId> reached = new TreeSet<>(inReach);
        reached.add(self);
        Map<MemberId, Long> matching = new HashMap<>();
        report.getLog().getFollowerMatchIndices().forEach((one, index) -> matching.put(MemberEndpoint.of(one), index));
        return new MembershipChange.GroupView(
                self,
                voting,
                learning,
                strangers,
                reached,
                matching,
                report.getLog().getLastLogOrSnapshotIndex(),
                report.getCommittedMembers().getLogIndex());
    }

    /** Takes a step that membership decided on. */
    void step(MembershipChange.Step step, RaftNodeReport report, Callback<Object> then) {
        if (step instanceof MembershipChange.Step.AddLearner learn) {
            change(learn.member(), MembershipChangeMode.ADD_LEARNER, report, then);
        } else if (step instanceof MembershipChange.Step.PromoteToVoter promote) {
            change(promote.member(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, report, then);
        } else if (step instanceof MembershipChange.Step.RemoveMember remove) {
            change(remove.member(), MembershipChangeMode.REMOVE_MEMBER, report, then);
        } else if (step instanceof MembershipChange.Step.TransferLeadership over) {
            answer(() -> node.transferLeadership(new MemberEndpoint(over.successor())), then);
        }
    }

    private void change(MemberId who, MembershipChangeMode mode, RaftNodeReport report, Callback<Object> then) {
        answer(
                () -> node.changeMembership(
                        new MemberEndpoint(who),
                        mode,
                        report.getCommittedMembers().getLogIndex()),
                (completion, members) -> then.completed(completion, members));
    }

    static boolean leads(RaftNodeReport report) {
        return report.getRole() == RaftRole.LEADER;
    }

    /** What was accepted as far as this member's own disk tells: the state to start from before others are heard. */
    static ReplicatedState warm(SegmentedLog log) throws IOException {
        ReplicatedState ledger = new ReplicatedState();
        List<byte[]> pieces = log.snapshotChunks();
        if (!pieces.isEmpty()) {
            SnapshotCodec.restore(ledger, pieces);
        }
        Collection<LogEntry> accepted = log.committedEntries().values();
        for (LogEntry entry : accepted) {
            if (entry.getOperation() instanceof byte[] change) {
                ledger.apply(entry.getIndex(), CommandCodec.decode(change));
            }
        }
        return ledger;
    }
}
