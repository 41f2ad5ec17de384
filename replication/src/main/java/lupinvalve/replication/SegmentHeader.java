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
 * The state that each segment begins with, so that older segments can be deleted: the local member, the group's initial
 * members, term and vote, and the commit index. Parts that are not known yet are null.
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

    /** The term, 0 before the first. */
    int currentTerm() {
        return term == null ? 0 : term.getTerm();
    }

    /** The term and the vote in it, also before the first. */
    RaftTermPersistentState termOrInitial() {
        return term != null ? term : termAndVote(0, List.of());
    }

    /** The log index up to which entries are known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /** Raises the commit index; returns whether it was lower. */
    boolean advanceCommitIndex(long index) {
        if (index <= commitIndex) {
            return false;
        }
        commitIndex = index;
        return true;
    }

    // ---- records ----

    /** Gives all records of a new segment but the commit index to a sink. */
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
        RaftCodec.endpoints(out.number(RecordKind.SELF), List.of(localMember.getLocalEndpoint()))
                .flag(localMember.isVoting());
    }

    void readInitialMembers(Cbor.Reader in) throws IOException {
        initialMembers = RaftCodec.view(in);
    }

    void writeInitialMembers(Cbor.Writer out) {
        RaftCodec.view(out.number(RecordKind.FOUNDERS), initialMembers);
    }

    void readTerm(Cbor.Reader in) throws IOException {
        int number = (int) in.number();
        term = termAndVote(number, RaftCodec.endpoints(in));
    }

    void writeTerm(Cbor.Writer out) {
        List<RaftEndpoint> vote = term.getVotedFor() == null ? List.of() : List.of(term.getVotedFor());
        RaftCodec.endpoints(out.number(RecordKind.TERM).number(term.getTerm()), vote);
    }

    void writeCommitIndex(Cbor.Writer out) {
        out.number(RecordKind.COMMITTED).number(commitIndex);
    }

    private static RaftTermPersistentState termAndVote(int number, List<RaftEndpoint> vote) {
        return RaftCodec.FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(number)
                .setVotedFor(vote.isEmpty() ? null : vote.get(0))
                .build();
    }
}
