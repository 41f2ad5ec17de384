package lupinvalve.replication;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import lupinvalve.statemachine.Command;

/**
 * Brings what the store of an earlier version left at this member into the group once the member leads. Without I/O of
 * its own.
 */
final class LegacyStoreImport {
    /** What the earlier version left. */
    interface Source {
        /** The configuration, or null. */
        byte[] document();

        /** Sessions' last commits. */
        Map<String, Long> sessions();

        /** Notes that all is imported and is not to be read again; whether that could be noted. */
        boolean markImported();
    }

    /** Null where there is nothing to import, or an import is under way. */
    private Source source;

    /** @param source null where nothing was left */
    LegacyStoreImport(Source source) {
        this.source = source;
    }

    /**
     * Called while this member leads: proposes what was left where the group has no configuration yet. Where it has
     * one, that one stays, and the import is over.
     *
     * @param valid whether a document can be a configuration
     * @param commits gets each session's last commit
     */
    void propose(RaftReplica leader, Predicate<byte[]> valid, BiConsumer<String, Long> commits) {
        Source current = source;
        source = null;
        if (current == null) {
            return;
        }
        current.sessions().forEach(commits);
        if (current.document() == null || !valid.test(current.document())) {
            source = current.markImported() ? null : current;
            return;
        }
        Command.PutDocument first = new Command.PutDocument(0, current.document());
        leader.propose(first, (completion, outcome) -> {
            boolean imported = completion == RaftReplica.Completion.DONE && current.markImported();
            source = imported ? null : current;
        });
    }
}
