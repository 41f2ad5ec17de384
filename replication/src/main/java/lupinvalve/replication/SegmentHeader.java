package lupinvalve.replication;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import lupinvalve.statemachine.Cbor;

/**
 * The state written at the beginning of each segment, so that older segments can be deleted: the local member, the Raft
 * group's initial members, the term with the vote in it, and the commit index. Parts that are not known yet are null.
 */
final class SegmentHeader {
    private RaftEndpointPersistentState localMember;
    private RaftGroupMembersView initialMembers;
    private RaftTermPersistentState term;
    private long commitIndex;

    RaftEndpointPersistentState localMember() {
        return localMember;
    }

    void setLocalMember(RaftEndpointPersistentState state) {
        localMember = state;
    }

    RaftGroupMembersView initialMembers() {
        return initialMembers;
    }

    void setInitialMembers(RaftGroupMembersView members) {
        initialMembers = members;
    }

    void setTerm(RaftTermPersistentState state) {
        term = state;
    }

    /** The current term, 0 before the first one. */
    int currentTerm() {
        return term == null ? 0 : term.getTerm();
    }

    /** The current term and the vote in it; before the first one, term 0 without a vote. */
    RaftTermPersistentState termOrInitial() {
        return term != null ? term : termAndVote(0, List.of());
    }

    /** The highest log index that is known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /** Raises the commit index; returns false if it is as high already. */
    boolean advanceCommitIndex(long index) {
        if (index <= commitIndex) {
            return false;
        }
        commitIndex = index;
        return true;
    }

    // ---- records ----

    /** Passes the header records of a new segment, all but the commit index, to a sink. */
    void writeTo(Consumer<Consumer<Cbor.Writer>> sink) {
        if (localMember != null) {
            sink.accept(this::writeLocalMember);
        }
        if (initialMembers != null) {
            sink.accept(this::writeInitialMembers);
        }
        if (term != null) {
            sink.accept(this::writeTerm);
        }
    }

    void readLocalMember(Cbor.Reader in) throws IOException {
        localMember = RaftCodec.FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(RaftCodec.endpoints(in).get(0))
                .setVoting(in.flag())
                .build();
    }

    void writeLocalMember(Cbor.Writer out) {
        RaftCodec.endpoints(out.number(RecordKind.LOCAL_MEMBER), List.of(localMember.getLocalEndpoint()))
                .flag(localMember.isVoting());
    }

    void readInitialMembers(Cbor.Reader in) throws IOException {
        initialMembers = RaftCodec.view(in);
    }

    void writeInitialMembers(Cbor.Writer out) {
        RaftCodec.view(out.number(RecordKind.INITIAL_MEMBERS), initialMembers);
    }

    void readTerm(Cbor.Reader in) throws IOException {
        int termNumber = (int) in.number();
        term = termAndVote(termNumber, RaftCodec.endpoints(in));
    }

    void writeTerm(Cbor.Writer out) {
        List<RaftEndpoint> vote = term.getVotedFor() == null ? List.of() : List.of(term.getVotedFor());
        RaftCodec.endpoints(out.number(RecordKind.TERM).number(term.getTerm()), vote);
    }

    void writeCommitIndex(Cbor.Writer out) {
        out.number(RecordKind.COMMIT_INDEX).number(commitIndex);
    }

    private static RaftTermPersistentState termAndVote(int termNumber, List<RaftEndpoint> vote) {
        return RaftCodec.FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(termNumber)
                .setVotedFor(vote.isEmpty() ? null : vote.get(0))
                .build();
    }
}
