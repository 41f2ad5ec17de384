package lupinvalve.replication;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import lupinvalve.statemachine.Command;

/**
 * Proposes to the Raft group what the store of a version without replication has left at this member, once this member
 * leads. Does no I/O itself.
 */
final class LegacyStoreImport {
    /** The content of the earlier version's store. */
    interface Source {
        /** The configuration, or null if there is none. */
        byte[] document();

        /** The log position of each session's last commit, by session. */
        Map<String, Long> sessions();

        /** Marks the store as imported, so that it is not read again; returns whether that succeeded. */
        boolean markImported();
    }

    /** Null if there is nothing to import, or an import is in flight. */
    private Source source;

    /** @param source null if there is nothing to import */
    LegacyStoreImport(Source source) {
        this.source = source;
    }

    /**
     * Called repeatedly while this member leads. Proposes the stored configuration as the group's first one; if the
     * group has a configuration already, that one stays and the import ends.
     *
     * @param isValid whether a document is a valid configuration
     * @param commitSink receives the log position of each session's last commit
     */
    void propose(RaftReplica leader, Predicate<byte[]> isValid, BiConsumer<String, Long> commitSink) {
        Source current = source;
        source = null;
        if (current == null) {
            return;
        }
        current.sessions().forEach(commitSink);
        if (current.document() == null || !isValid.test(current.document())) {
            source = current.markImported() ? null : current;
            return;
        }
        Command.PutDocument firstDocument = new Command.PutDocument(0, current.document());
        leader.propose(firstDocument, (completion, outcome) -> {
            boolean imported = completion == RaftReplica.Completion.DONE && current.markImported();
            source = imported ? null : current;
        });
    }
}
