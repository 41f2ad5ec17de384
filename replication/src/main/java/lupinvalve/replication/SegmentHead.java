package lupinvalve.replication;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.util.List;
import lupinvalve.statemachine.Cbor;

/**
 * What each segment begins with, so that older ones can go whole: the member itself, the group's first members, term
 * and vote, and up to which index changes are known to be accepted.
 */
final class SegmentHead {
    RaftEndpointPersistentState self;
    RaftGroupMembersView founders;
    RaftTermPersistentState term;
    long committed;

    /** The term, 0 before the first. */
    int termNumber() {
        return term == null ? 0 : term.getTerm();
    }

    /** The term and the vote in it, also before the first. */
    RaftTermPersistentState termOrNone() {
        return term != null ? term : termAndVote(0, List.of());
    }

    /** Reads a term and the vote in it. */
    static RaftTermPersistentState readTerm(Cbor.Reader in) throws IOException {
        int number = (int) in.number();
        return termAndVote(number, Models.endpoints(in));
    }

    private static RaftTermPersistentState termAndVote(int number, List<RaftEndpoint> voted) {
        return Models.FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(number)
                .setVotedFor(voted.isEmpty() ? null : voted.get(0))
                .build();
    }

    /** Writes the term and the vote as a record. */
    void writeTerm(Cbor.Writer out) {
        List<RaftEndpoint> voted = term.getVotedFor() == null ? List.of() : List.of(term.getVotedFor());
        Models.endpoints(out.number(RecordKind.TERM).number(term.getTerm()), voted);
    }

    /** Reads who the member itself is. */
    static RaftEndpointPersistentState readSelf(Cbor.Reader in) throws IOException {
        return Models.FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(Models.endpoints(in).get(0))
                .setVoting(in.flag())
                .build();
    }

    /** Writes who the member itself is, as a record. */
    void writeSelf(Cbor.Writer out) {
        Models.endpoints(out.number(RecordKind.SELF), List.of(self.getLocalEndpoint()))
                .flag(self.isVoting());
    }

    /** Writes the group's first members as a record. */
    void writeFounders(Cbor.Writer out) {
        Models.view(out.number(RecordKind.FOUNDERS), founders);
    }

    /** Writes up to which index changes are accepted, as a record. */
    void writeCommitted(Cbor.Writer out) {
        out.number(RecordKind.COMMITTED).number(committed);
    }
}
