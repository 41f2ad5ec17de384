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
 * What a leader's word is prepared with before the library (MicroRaft 0.7) hears it, as some of its handlers go wrong.
 * Each fault was found by a sweep of numbered points or a drill; docs/faults.md has them with the steps at which they
 * show.
 */
final class MicroRaftWorkarounds {
    private final RaftNodeImpl node;
    private final AcceleratedExecutor pace;
    private final BooleanSupplier ended;

    MicroRaftWorkarounds(RaftNodeImpl node, AcceleratedExecutor pace, BooleanSupplier ended) {
        this.node = node;
        this.pace = pace;
        this.ended = ended;
    }

    /** Hands a message to the library; what must be put right in its state is, right before it is heard. */
    void hand(RaftMessage message) {
        if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
            pace.execute(() -> {
                if (!ended.getAsBoolean()) {
                    endPreVote(message.getTerm());
                    if (message instanceof AppendEntriesRequest request) {
                        giveWay(request);
                    }
                }
            });
        }
        node.handle(message instanceof AppendEntriesRequest request ? within(request) : message);
    }

    /**
     * A pre-vote that began between this member's vote and the new leader's first word stays noted for good: that word
     * is of the same term and finds a follower, so its handler does not step down, and {@code PreVoteTask} ends without
     * a word where there is a leader. While one is noted, {@code HeartbeatTask} gives no leader up, however long it has
     * been silent. Stepping down within the term ends the note and keeps the vote.
     */
    private void endPreVote(int term) {
        RaftState state = node.state();
        if (term == state.term() && state.role() == RaftRole.FOLLOWER && state.preCandidateState() != null) {
            node.toFollower(term);
        }
    }

    /**
     * Where a restart found changes behind a snapshot that have lost their places to a later leader's, the library
     * looks for the change before those sent among its entries, does not find the one that the snapshot ends with, and
     * turns all down. Those that lost their places go first, as the library would have them go once it had looked; the
     * snapshot's end is then the last.
     */
    private void giveWay(AppendEntriesRequest word) {
        RaftState state = node.state();
        RaftLog kept = state.log();
        LogEntry first =
                word.getLogEntries().isEmpty() ? null : word.getLogEntries().get(0);
        if (first == null
                || word.getTerm() < state.term()
                || first.getIndex() != kept.snapshotIndex() + 1
                || first.getIndex() <= state.commitIndex()
                || !kept.containsLogEntry(first.getIndex())
                || kept.getLogEntry(first.getIndex()).getTerm() == first.getTerm()
                || word.getPreviousLogTerm() != kept.snapshotEntry().getTerm()) {
            return;
        }
        List<LogEntry> gone = kept.truncateEntriesFrom(first.getIndex());
        if (gone.stream().anyMatch(entry -> entry.getOperation() instanceof RaftGroupOp)) {
            state.revertGroupMembers();
        }
    }

    /**
     * What is accepted may be told up to the end of the entries sent, and the library takes that for its own new mark
     * even where it stands further already, as when a new leader feels its way back. With the mark told cut to those
     * entries it compares rightly; nothing else reads it.
     *
     * <p>And where the change before those sent is in a snapshot alone, while changes behind it are here already (after
     * a restart, or where the answer to a first word behind a snapshot was lost), the library looks for it among its
     * entries in vain (its {@code verifyLastLogEntry}) and turns all down for good. The first change sent that is here
     * as well takes its place: told that the rest comes behind that one, the library finds it.
     */
    private AppendEntriesRequest within(AppendEntriesRequest m) {
        long end = m.getPreviousLogIndex() + m.getLogEntries().size();
        int skipped = known(m);
        if (m.getCommitIndex() <= end && skipped == 0) {
            return m;
        }
        LogEntry last = skipped == 0 ? null : m.getLogEntries().get(skipped - 1);
        var cut = RaftCodec.FACTORY.createAppendEntriesRequestBuilder();
        cut.setGroupId(RaftReplica.GROUP).setSender(m.getSender()).setTerm(m.getTerm());
        return cut.setPreviousLogTerm(last == null ? m.getPreviousLogTerm() : last.getTerm())
                .setPreviousLogIndex(last == null ? m.getPreviousLogIndex() : last.getIndex())
                .setCommitIndex(Math.min(end, m.getCommitIndex()))
                .setLogEntries(
                        m.getLogEntries().subList(skipped, m.getLogEntries().size()))
                .setQuerySequenceNumber(m.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(m.getFlowControlSequenceNumber())
                .build();
    }

    /**
     * Up to which of the changes sent the first that is here as well comes, where the one before them is not to be
     * found.
     */
    private int known(AppendEntriesRequest m) {
        RaftLog kept = node.state().log();
        long before = m.getPreviousLogIndex();
        if (before < 1 || before == kept.lastLogOrSnapshotIndex() || kept.containsLogEntry(before)) {
            return 0;
        }
        for (int i = 0; i < m.getLogEntries().size(); i++) {
            LogEntry sent = m.getLogEntries().get(i);
            if (kept.containsLogEntry(sent.getIndex())) {
                return kept.getLogEntry(sent.getIndex()).getTerm() == sent.getTerm() ? i + 1 : 0;
            }
        }
        return 0;
    }
}
