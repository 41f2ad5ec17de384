package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Notifies a pooler of the configuration that the group has committed: a member of the group, or a subscriber to
 * members. Methods may be called from any thread unless they say otherwise.
 */
public interface ControlPlane {
    /**
     * What was committed as far as this process knows by itself.
     *
     * @param document the configuration; null where none was committed yet
     * @param nodes the db nodes that were known last
     * @param commits sessions' last commits
     */
    record InitialState(
            ReplicatedState.Document document, List<Command.KnownEndpoint> nodes, Command.SessionCommits commits) {}

    /** What a pooler is notified of and asked. Called on the control plane's own thread, one call after another. */
    interface Listener {
        /** Why this version can't serve on a configuration, or null. */
        String validationError(byte[] document);

        /** Why running poolers could not go from one configuration (null for none yet) to another, or null. */
        default String transitionError(byte[] current, byte[] next) {
            return null;
        }

        /** Runs work, on the pooler's own thread, once all that it was notified of so far is applied. */
        default void runAfterApplied(Runnable then) {
            then.run();
        }

        /** A configuration that a majority has accepted is to be applied. */
        void configurationAccepted(ReplicatedState.Document document);

        /** Operators' drains as they now stand. */
        void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> drains);

        /** Sessions' commits of any pooler that a majority now holds. */
        void commitsAccepted(Command.SessionCommits commits);
    }

    /** What is known before {@link #start}. */
    InitialState initialState();

    /**
     * Begins; {@code listener} is notified first of what was committed before.
     *
     * @throws IOException where it can't listen or connect
     */
    void start(Listener listener) throws IOException;

    /** Whether the pooler may serve: it holds a lease, or needs none. */
    boolean mayServe();

    /** Whether a pooler whose lease has ended must not serve. */
    boolean fencingEnabled();

    /** Whether this one leads, and so publishes the list of db nodes to all. */
    boolean isLeader();

    /**
     * Publishes a session's commit.
     *
     * @param position the log position in Unix microseconds
     * @param onCommitted runs, on the control plane's thread, once the commit is held as firmly as it will be; or null
     */
    void publishCommit(String session, long position, Runnable onCommitted);

    /** Publishes the list of db nodes as this pooler has it; only the leader's goes to all. */
    void publishEndpoints(List<Command.KnownEndpoint> nodes);

    /**
     * Takes keys and certificates as the files have them now; connections that are up keep theirs.
     *
     * @throws IOException where they can't be used; then nothing changes
     */
    void reloadCertificates() throws IOException;

    /** Ends at once. From any thread but the control plane's own. */
    void stop();
}
