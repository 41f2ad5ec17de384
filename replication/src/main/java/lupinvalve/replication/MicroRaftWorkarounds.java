package lupinvalve.replication;

import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.log.RaftLog;
import io.microraft.impl.state.RaftState;
import io.microraft.model.groupop.RaftGroupOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Works around faults in MicroRaft 0.7's handlers of a leader's messages: adjusts the message, and the Raft state,
 * before MicroRaft handles it. docs/faults.md has each fault with the steps that reproduce it.
 */
final class MicroRaftWorkarounds {
    private final RaftNodeImpl node;
    private final AcceleratedExecutor executor;
    private final BooleanSupplier terminated;

    MicroRaftWorkarounds(RaftNodeImpl node, AcceleratedExecutor executor, BooleanSupplier terminated) {
        this.node = node;
        this.executor = executor;
        this.terminated = terminated;
    }

    /** Passes a message to MicroRaft, after any adjustment of its state that the message needs. */
    void handle(RaftMessage message) {
        if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
            executor.execute(() -> {
                if (!terminated.getAsBoolean()) {
                    endPreVote(message.getTerm());
                    if (message instanceof AppendEntriesRequest request) {
                        truncateConflictingEntries(request);
                    }
                }
            });
        }
        node.handle(message instanceof AppendEntriesRequest request ? repaired(request) : message);
    }

    /**
     * Ends a pre-vote that started between this member's vote and the new leader's first message. MicroRaft never ends
     * it: that message is of the same term and this member is a follower, so the handler does not step down, and
     * {@code PreVoteTask} returns without effect while there is a leader. And as long as the pre-vote is in the state,
     * {@code HeartbeatTask} never drops a leader, however long it has been silent. Stepping down within the term ends
     * the pre-vote and keeps the vote.
     */
    private void endPreVote(int term) {
        RaftState state = node.state();
        if (term == state.term() && state.role() == RaftRole.FOLLOWER && state.preCandidateState() != null) {
            node.toFollower(term);
        }
    }

    /**
     * Truncates entries after a snapshot that conflict with the leader's. After a restart that restored such entries,
     * MicroRaft looks for the entry before the sent ones only in its log, not in the snapshot that ends with it, and
     * rejects every request. MicroRaft would truncate the conflicting entries itself if that check passed. Once they
     * are truncated here, the end of the snapshot is the last entry, which the check finds.
     */
    private void truncateConflictingEntries(AppendEntriesRequest request) {
        RaftState state = node.state();
        RaftLog log = state.log();
        LogEntry first = request.getLogEntries().isEmpty()
                ? null
                : request.getLogEntries().get(0);
        if (first == null
                || request.getTerm() < state.term()
                || first.getIndex() != log.snapshotIndex() + 1
                || first.getIndex() <= state.commitIndex()
                || !log.containsLogEntry(first.getIndex())
                || log.getLogEntry(first.getIndex()).getTerm() == first.getTerm()
                || request.getPreviousLogTerm() != log.snapshotEntry().getTerm()) {
            return;
        }
        List<LogEntry> truncated = log.truncateEntriesFrom(first.getIndex());
        if (truncated.stream().anyMatch(entry -> entry.getOperation() instanceof RaftGroupOp)) {
            state.revertGroupMembers();
        }
    }

    /**
     * The request in a form that MicroRaft handles correctly. Its commit index is limited to the end of the sent
     * entries: MicroRaft sets its own commit index to the lesser of the two even if it is further already, as happens
     * while a new leader searches for the last common entry. Nothing else reads the request's commit index.
     *
     * <p>If the entry before the sent ones is only in a snapshot here, and some of the sent entries are in the log
     * already (after a restart, or if the response to the first request after a snapshot was lost), MicroRaft's
     * {@code verifyLastLogEntry} does not find that entry in the log and rejects every such request. The request then
     * starts after the first sent entry that is in the log, with that one as its previous entry.
     */
    private AppendEntriesRequest repaired(AppendEntriesRequest request) {
        List<LogEntry> sent = request.getLogEntries();
        long end = request.getPreviousLogIndex() + sent.size();
        int skipped = countEntriesToSkip(request);
        if (request.getCommitIndex() <= end && skipped == 0) {
            return request;
        }
        LogEntry previous = skipped == 0 ? null : sent.get(skipped - 1);
        var builder = RaftCodec.FACTORY.createAppendEntriesRequestBuilder();
        builder.setGroupId(RaftReplica.GROUP).setSender(request.getSender()).setTerm(request.getTerm());
        return builder.setPreviousLogTerm(previous == null ? request.getPreviousLogTerm() : previous.getTerm())
                .setPreviousLogIndex(previous == null ? request.getPreviousLogIndex() : previous.getIndex())
                .setCommitIndex(Math.min(end, request.getCommitIndex()))
                .setLogEntries(sent.subList(skipped, sent.size()))
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }

    /**
     * How many sent entries to skip: those up to the first that is in the log here too, if the entry before the sent
     * ones is not in the log; else 0.
     */
    private int countEntriesToSkip(AppendEntriesRequest request) {
        RaftLog log = node.state().log();
        long previous = request.getPreviousLogIndex();
        if (previous < 1 || previous == log.lastLogOrSnapshotIndex() || log.containsLogEntry(previous)) {
            return 0;
        }
        for (int i = 0; i < request.getLogEntries().size(); i++) {
            LogEntry sent = request.getLogEntries().get(i);
            if (log.containsLogEntry(sent.getIndex())) {
                return log.getLogEntry(sent.getIndex()).getTerm() == sent.getTerm() ? i + 1 : 0;
            }
        }
        return 0;
    }
}
