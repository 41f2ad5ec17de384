package lupinvalve.replication;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.MemberId;

/** The library's messages and log entries as CBOR. Changes are bytes already and go in as they are. */
final class RaftCodec {
    static final RaftModelFactory FACTORY = new DefaultRaftModelFactory();
    private static final int ENTRIES_MOST = 100_000, PIECES_MOST = 10_000;

    private RaftCodec() {}

    // ---- parts ----
    private static Cbor.Writer endpoint(Cbor.Writer out, RaftEndpoint endpoint) {
        MemberId identity = MemberEndpoint.of(endpoint);
        return out.text(identity.name()).text(identity.diskId());
    }

    private static MemberEndpoint endpoint(Cbor.Reader in) throws IOException {
        return new MemberEndpoint(new MemberId(in.text(), in.text()));
    }

    static Cbor.Writer endpoints(Cbor.Writer out, Collection<RaftEndpoint> all) {
        out.number(all.size());
        all.forEach(one -> endpoint(out, one));
        return out;
    }

    static List<RaftEndpoint> endpoints(Cbor.Reader in) throws IOException {
        List<RaftEndpoint> all = new ArrayList<>();
        for (int left = in.count(4 * MemberId.MAX_MEMBERS); left > 0; left--) {
            all.add(endpoint(in));
        }
        return all;
    }

    static Cbor.Writer view(Cbor.Writer out, RaftGroupMembersView view) {
        return endpoints(endpoints(out.number(view.getLogIndex()), view.getMembers()), view.getVotingMembers());
    }

    static RaftGroupMembersView view(Cbor.Reader in) throws IOException {
        return FACTORY.createRaftGroupMembersViewBuilder()
                .setLogIndex(in.number())
                .setMembers(endpoints(in))
                .setVotingMembers(endpoints(in))
                .build();
    }

    private static void operation(Cbor.Writer out, Object operation) {
        if (operation instanceof byte[] change) {
            out.number(0).bytes(change);
        } else if (operation instanceof UpdateRaftGroupMembersOp op) {
            endpoints(endpoints(out.number(1), op.getMembers()), op.getVotingMembers());
            endpoint(out, op.getEndpoint()).text(op.getMode().name());
        } else {
            throw new IllegalArgumentException("an operation of " + operation.getClass());
        }
    }

    private static Object operation(Cbor.Reader in) throws IOException {
        if (in.count(1) == 0) {
            return in.bytes();
        }
        return FACTORY.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(endpoints(in))
                .setVotingMembers(endpoints(in))
                .setEndpoint(endpoint(in))
                .setMode(MembershipChangeMode.valueOf(in.text()))
                .build();
    }

    static Cbor.Writer entry(Cbor.Writer out, LogEntry entry) {
        operation(out.number(entry.getIndex()).number(entry.getTerm()), entry.getOperation());
        return out;
    }

    static LogEntry entry(Cbor.Reader in) throws IOException {
        return FACTORY.createLogEntryBuilder()
                .setIndex(in.number())
                .setTerm((int) in.number())
                .setOperation(operation(in))
                .build();
    }

    static Cbor.Writer chunk(Cbor.Writer out, SnapshotChunk chunk) {
        out.number(chunk.getIndex())
                .number(chunk.getTerm())
                .number(chunk.getSnapshotChunkIndex())
                .number(chunk.getSnapshotChunkCount());
        return view(out, chunk.getGroupMembersView()).bytes((byte[]) chunk.getOperation());
    }

    static SnapshotChunk chunk(Cbor.Reader in) throws IOException {
        return FACTORY.createSnapshotChunkBuilder()
                .setIndex(in.number())
                .setTerm((int) in.number())
                .setSnapshotChunkIndex(in.count(PIECES_MOST))
                .setSnapshotChunkCount(in.count(PIECES_MOST))
                .setGroupMembersView(view(in))
                .setOperation(in.bytes())
                .build();
    }

    // ---- messages ----
    /** The group's name is not sent: who is connected is of the same cluster. */
    static byte[] write(RaftMessage message) {
        Cbor.Writer out = new Cbor.Writer();
        if (message instanceof AppendEntriesRequest m) {
            begin(out, 1, m)
                    .number(m.getPreviousLogTerm())
                    .number(m.getPreviousLogIndex())
                    .number(m.getCommitIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber())
                    .number(m.getLogEntries().size());
            m.getLogEntries().forEach(entry -> entry(out, entry));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            begin(out, 2, m)
                    .number(m.getLastLogIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            begin(out, 3, m)
                    .number(m.getExpectedNextIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            begin(out, 4, m)
                    .flag(m.isSenderLeader())
                    .number(m.getSnapshotTerm())
                    .number(m.getSnapshotIndex())
                    .number(m.getTotalSnapshotChunkCount())
                    .flag(m.getSnapshotChunk() != null);
            if (m.getSnapshotChunk() != null) {
                chunk(out, m.getSnapshotChunk());
            }
            view(endpoints(out, m.getSnapshottedMembers()), m.getGroupMembersView())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse m) {
            begin(out, 5, m)
                    .number(m.getSnapshotIndex())
                    .number(m.getRequestedSnapshotChunkIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            begin(out, 6, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            begin(out, 7, m).flag(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            begin(out, 8, m)
                    .number(m.getLastLogTerm())
                    .number(m.getLastLogIndex())
                    .flag(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            begin(out, 9, m).flag(m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            begin(out, 10, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("a message of " + message.getClass());
        }
        return out.toByteArray();
    }

    private static Cbor.Writer begin(Cbor.Writer out, int kind, RaftMessage message) {
        return endpoint(out.number(kind), message.getSender()).number(message.getTerm());
    }

    static RaftMessage read(Object group, byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        int kind = in.count(100);
        RaftEndpoint sender = endpoint(in);
        int term = (int) in.number();
        return switch (kind) {
            case 1 -> {
                var m = FACTORY.createAppendEntriesRequestBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                m.setPreviousLogTerm((int) in.number())
                        .setPreviousLogIndex(in.number())
                        .setCommitIndex(in.number())
                        .setQuerySequenceNumber(in.number())
                        .setFlowControlSequenceNumber(in.number());
                List<LogEntry> entries = new ArrayList<>();
                for (int left = in.count(ENTRIES_MOST); left > 0; left--) {
                    entries.add(entry(in));
                }
                yield m.setLogEntries(entries).build();
            }
            case 2 -> {
                var m = FACTORY.createAppendEntriesSuccessResponseBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setLastLogIndex(in.number())
                        .setQuerySequenceNumber(in.number())
                        .setFlowControlSequenceNumber(in.number())
                        .build();
            }
            case 3 -> {
                var m = FACTORY.createAppendEntriesFailureResponseBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setExpectedNextIndex(in.number())
                        .setQuerySequenceNumber(in.number())
                        .setFlowControlSequenceNumber(in.number())
                        .build();
            }
            case 4 -> {
                var m = FACTORY.createInstallSnapshotRequestBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                m.setSenderLeader(in.flag())
                        .setSnapshotTerm((int) in.number())
                        .setSnapshotIndex(in.number())
                        .setTotalSnapshotChunkCount(in.count(PIECES_MOST))
                        .setSnapshotChunk(in.flag() ? chunk(in) : null);
                yield m.setSnapshottedMembers(endpoints(in))
                        .setGroupMembersView(view(in))
                        .setQuerySequenceNumber(in.number())
                        .setFlowControlSequenceNumber(in.number())
                        .build();
            }
            case 5 -> {
                var m = FACTORY.createInstallSnapshotResponseBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setSnapshotIndex(in.number())
                        .setRequestedSnapshotChunkIndex((int) in.number())
                        .setQuerySequenceNumber(in.number())
                        .setFlowControlSequenceNumber(in.number())
                        .build();
            }
            case 6 -> {
                var m = FACTORY.createPreVoteRequestBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setLastLogTerm((int) in.number())
                        .setLastLogIndex(in.number())
                        .build();
            }
            case 7 -> {
                var m = FACTORY.createPreVoteResponseBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setGranted(in.flag()).build();
            }
            case 8 -> {
                var m = FACTORY.createVoteRequestBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setLastLogTerm((int) in.number())
                        .setLastLogIndex(in.number())
                        .setSticky(in.flag())
                        .build();
            }
            case 9 -> {
                var m = FACTORY.createVoteResponseBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setGranted(in.flag()).build();
            }
            case 10 -> {
                var m = FACTORY.createTriggerLeaderElectionRequestBuilder();
                m.setGroupId(group).setSender(sender).setTerm(term);
                yield m.setLastLogTerm((int) in.number())
                        .setLastLogIndex(in.number())
                        .build();
            }
            default -> throw new IOException("a message of the unknown kind " + kind);
        };
    }
}
