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
 * Prepares a leader's messages, and the state that meets them, before the library (MicroRaft 0.7) handles them, as some
 * of its handlers go wrong. docs/faults.md has each fault with the steps at which it shows.
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

    /** Hands a message to the library; its state is repaired first where the message needs that. */
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
     * A pre-vote that began between this member's vote and the new leader's first message stays in the state for good:
     * that message is of the same term and finds a follower, so its handler does not step down, and {@code PreVoteTask}
     * ends silently where there is a leader. While there is one, {@code HeartbeatTask} gives no leader up, however long
     * it has been silent. Stepping down within the term ends the pre-vote and keeps the vote.
     */
    private void endPreVote(int term) {
        RaftState state = node.state();
        if (term == state.term() && state.role() == RaftRole.FOLLOWER && state.preCandidateState() != null) {
            node.toFollower(term);
        }
    }

    /**
     * Where a restart found entries behind a snapshot that a later leader replaces, the library looks for the entry
     * before those sent among its entries, does not find the one that the snapshot ends with, and rejects all. The
     * replaced ones are truncated first, as the library would do once it had looked; the snapshot's end is then the
     * last entry.
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
     * A request as the library can handle it. Its commit index is cut to the end of the entries sent: the library takes
     * the least of both for its own new commit index even where it stands further already, as when a new leader looks
     * for the last common entry; nothing else reads it.
     *
     * <p>And where the entry before those sent is in a snapshot alone, while entries behind it are here already (after
     * a restart, or where the response to a first request behind a snapshot was lost), the library looks for it among
     * its entries in vain (its {@code verifyLastLogEntry}) and rejects all for good. The first entry sent that is here
     * as well takes its place.
     */
    private AppendEntriesRequest repaired(AppendEntriesRequest request) {
        List<LogEntry> sent = request.getLogEntries();
        long end = request.getPreviousLogIndex() + sent.size();
        int skipped = countKnownEntries(request);
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

    /** How many of the entries sent go up to the first that is here as well, where the one before them is not here. */
    private int countKnownEntries(AppendEntriesRequest request) {
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
