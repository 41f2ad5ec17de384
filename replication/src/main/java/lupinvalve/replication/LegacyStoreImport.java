package lupinvalve.replication;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import lupinvalve.statemachine.Command;

/** Brings what an earlier store left at this member into the group once the member leads. Without I/O of its own. */
final class LegacyStoreImport {
    /** What was left. */
    interface Source {
        /** The configuration, or null. */
        byte[] document();

        /** Sessions' last commits. */
        Map<String, Long> sessions();

        /** It has been taken over and is not to be looked at again; whether that could be noted. */
        boolean done();
    }

    private Source left;

    /** @param left null where nothing was */
    LegacyStoreImport(Source left) {
        this.left = left;
    }

    /**
     * Called while this member leads: proposes what was left where the group has no configuration yet. Where it has
     * one, that one stays, and what was left is done with.
     *
     * @param fits whether a document can be a configuration
     */
    void lead(RaftReplica replica, Predicate<byte[]> fits, BiConsumer<String, Long> commits) {
        Source what = left;
        left = null;
        if (what == null) {
            return;
        }
        what.sessions().forEach(commits);
        if (what.document() == null || !fits.test(what.document())) {
            left = what.done() ? null : what;
            return;
        }
        replica.propose(
                new Command.PutDocument(0, what.document()),
                (fate, outcome) -> left = fate == RaftReplica.Completion.DONE && what.done() ? null : what);
    }
}
