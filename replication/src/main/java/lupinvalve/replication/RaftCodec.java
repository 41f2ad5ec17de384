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
import lupinvalve.statemachine.DecodingException;
import lupinvalve.statemachine.MemberId;

/** Encodes MicroRaft's messages and log entries as CBOR. Commands are already encoded and are copied as bytes. */
final class RaftCodec {
    static final RaftModelFactory FACTORY = new DefaultRaftModelFactory();
    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_CHUNKS = 10_000;
    /** Most endpoints accepted in a decoded list; during a membership change it may exceed the group's maximum. */
    private static final int MAX_ENDPOINTS = 4 * MemberId.MAX_MEMBERS;

    // Operation kinds; the numbers are sent and stored, so they must not change.
    private static final int COMMAND_OPERATION = 0;
    private static final int MEMBERSHIP_OPERATION = 1;

    // Message kinds; the numbers are sent, so they must not change.
    private static final int APPEND_ENTRIES = 1;
    private static final int APPEND_ENTRIES_SUCCESS = 2;
    private static final int APPEND_ENTRIES_FAILURE = 3;
    private static final int INSTALL_SNAPSHOT = 4;
    private static final int INSTALL_SNAPSHOT_RESPONSE = 5;
    private static final int PRE_VOTE = 6;
    private static final int PRE_VOTE_RESPONSE = 7;
    private static final int VOTE = 8;
    private static final int VOTE_RESPONSE = 9;
    private static final int TRIGGER_ELECTION = 10;
    private static final int MAX_KIND = 100;

    private RaftCodec() {}

    // ---- parts of messages and log entries ----
    private static Cbor.Writer endpoint(Cbor.Writer out, RaftEndpoint endpoint) {
        MemberId identity = MemberEndpoint.of(endpoint);
        return out.text(identity.name()).text(identity.diskId());
    }

    private static MemberEndpoint endpoint(Cbor.Reader in) throws IOException {
        return new MemberEndpoint(new MemberId(in.text(), in.text()));
    }

    static Cbor.Writer endpoints(Cbor.Writer out, Collection<RaftEndpoint> endpoints) {
        out.number(endpoints.size());
        endpoints.forEach(endpoint -> endpoint(out, endpoint));
        return out;
    }

    static List<RaftEndpoint> endpoints(Cbor.Reader in) throws IOException {
        List<RaftEndpoint> endpoints = new ArrayList<>();
        for (int remaining = in.count(MAX_ENDPOINTS); remaining > 0; remaining--) {
            endpoints.add(endpoint(in));
        }
        return endpoints;
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
        if (operation instanceof byte[] command) {
            out.number(COMMAND_OPERATION).bytes(command);
        } else if (operation instanceof UpdateRaftGroupMembersOp op) {
            endpoints(endpoints(out.number(MEMBERSHIP_OPERATION), op.getMembers()), op.getVotingMembers());
            endpoint(out, op.getEndpoint()).text(op.getMode().name());
        } else {
            throw new IllegalArgumentException("cannot encode a Raft operation of " + operation.getClass());
        }
    }

    private static Object operation(Cbor.Reader in) throws IOException {
        if (in.count(MEMBERSHIP_OPERATION) == COMMAND_OPERATION) {
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
                .setSnapshotChunkIndex(in.count(MAX_CHUNKS))
                .setSnapshotChunkCount(in.count(MAX_CHUNKS))
                .setGroupMembersView(view(in))
                .setOperation(in.bytes())
                .build();
    }

    // ---- messages ----

    /** Encodes a message without its group id: connections are accepted only from the same cluster. */
    static byte[] write(RaftMessage message) {
        Cbor.Writer out = new Cbor.Writer();
        if (message instanceof AppendEntriesRequest request) {
            writeAppendEntries(out, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            header(out, APPEND_ENTRIES_SUCCESS, response)
                    .number(response.getLastLogIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            header(out, APPEND_ENTRIES_FAILURE, response)
                    .number(response.getExpectedNextIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            writeInstallSnapshot(out, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            header(out, INSTALL_SNAPSHOT_RESPONSE, response)
                    .number(response.getSnapshotIndex())
                    .number(response.getRequestedSnapshotChunkIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else {
            writeElection(out, message);
        }
        return out.toByteArray();
    }

    private static void writeElection(Cbor.Writer out, RaftMessage message) {
        if (message instanceof PreVoteRequest request) {
            header(out, PRE_VOTE, request).number(request.getLastLogTerm()).number(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            header(out, PRE_VOTE_RESPONSE, response).flag(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            header(out, VOTE, request)
                    .number(request.getLastLogTerm())
                    .number(request.getLastLogIndex())
                    .flag(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            header(out, VOTE_RESPONSE, response).flag(response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            header(out, TRIGGER_ELECTION, request)
                    .number(request.getLastLogTerm())
                    .number(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("cannot encode a Raft message of " + message.getClass());
        }
    }

    private static void writeAppendEntries(Cbor.Writer out, AppendEntriesRequest request) {
        header(out, APPEND_ENTRIES, request)
                .number(request.getPreviousLogTerm())
                .number(request.getPreviousLogIndex())
                .number(request.getCommitIndex())
                .number(request.getQuerySequenceNumber())
                .number(request.getFlowControlSequenceNumber())
                .number(request.getLogEntries().size());
        request.getLogEntries().forEach(entry -> entry(out, entry));
    }

    private static void writeInstallSnapshot(Cbor.Writer out, InstallSnapshotRequest request) {
        header(out, INSTALL_SNAPSHOT, request)
                .flag(request.isSenderLeader())
                .number(request.getSnapshotTerm())
                .number(request.getSnapshotIndex())
                .number(request.getTotalSnapshotChunkCount())
                .flag(request.getSnapshotChunk() != null);
        if (request.getSnapshotChunk() != null) {
            chunk(out, request.getSnapshotChunk());
        }
        view(endpoints(out, request.getSnapshottedMembers()), request.getGroupMembersView())
                .number(request.getQuerySequenceNumber())
                .number(request.getFlowControlSequenceNumber());
    }

    private static Cbor.Writer header(Cbor.Writer out, int kind, RaftMessage message) {
        return endpoint(out.number(kind), message.getSender()).number(message.getTerm());
    }

    /** The fields that follow the kind in each message, with the group id, which is not encoded. */
    private record Header(Object group, RaftEndpoint sender, int term) {}

    static RaftMessage read(Object group, byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        int kind = in.count(MAX_KIND);
        Header header = new Header(group, endpoint(in), (int) in.number());
        return switch (kind) {
            case APPEND_ENTRIES -> readAppendEntries(in, header);
            case APPEND_ENTRIES_SUCCESS -> readAppendEntriesSuccess(in, header);
            case APPEND_ENTRIES_FAILURE -> readAppendEntriesFailure(in, header);
            case INSTALL_SNAPSHOT -> readInstallSnapshot(in, header);
            case INSTALL_SNAPSHOT_RESPONSE -> readInstallSnapshotResponse(in, header);
            case PRE_VOTE -> readPreVote(in, header);
            case PRE_VOTE_RESPONSE -> readPreVoteResponse(in, header);
            case VOTE -> readVote(in, header);
            case VOTE_RESPONSE -> readVoteResponse(in, header);
            case TRIGGER_ELECTION -> readTriggerElection(in, header);
            default -> throw new DecodingException("unknown Raft message kind " + kind);
        };
    }

    private static RaftMessage readAppendEntries(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createAppendEntriesRequestBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        builder.setPreviousLogTerm((int) in.number())
                .setPreviousLogIndex(in.number())
                .setCommitIndex(in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number());
        List<LogEntry> entries = new ArrayList<>();
        for (int remaining = in.count(MAX_ENTRIES); remaining > 0; remaining--) {
            entries.add(entry(in));
        }
        return builder.setLogEntries(entries).build();
    }

    private static RaftMessage readAppendEntriesSuccess(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createAppendEntriesSuccessResponseBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setLastLogIndex(in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static RaftMessage readAppendEntriesFailure(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createAppendEntriesFailureResponseBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setExpectedNextIndex(in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static RaftMessage readInstallSnapshot(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createInstallSnapshotRequestBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        builder.setSenderLeader(in.flag())
                .setSnapshotTerm((int) in.number())
                .setSnapshotIndex(in.number())
                .setTotalSnapshotChunkCount(in.count(MAX_CHUNKS))
                .setSnapshotChunk(in.flag() ? chunk(in) : null);
        return builder.setSnapshottedMembers(endpoints(in))
                .setGroupMembersView(view(in))
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static RaftMessage readInstallSnapshotResponse(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createInstallSnapshotResponseBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setSnapshotIndex(in.number())
                .setRequestedSnapshotChunkIndex((int) in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static RaftMessage readPreVote(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createPreVoteRequestBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setLastLogTerm((int) in.number())
                .setLastLogIndex(in.number())
                .build();
    }

    private static RaftMessage readPreVoteResponse(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createPreVoteResponseBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setGranted(in.flag()).build();
    }

    private static RaftMessage readVote(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createVoteRequestBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setLastLogTerm((int) in.number())
                .setLastLogIndex(in.number())
                .setSticky(in.flag())
                .build();
    }

    private static RaftMessage readVoteResponse(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createVoteResponseBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setGranted(in.flag()).build();
    }

    private static RaftMessage readTriggerElection(Cbor.Reader in, Header header) throws IOException {
        var builder = FACTORY.createTriggerLeaderElectionRequestBuilder();
        builder.setGroupId(header.group()).setSender(header.sender()).setTerm(header.term());
        return builder.setLastLogTerm((int) in.number())
                .setLastLogIndex(in.number())
                .build();
    }
}
