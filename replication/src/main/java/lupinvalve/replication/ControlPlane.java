package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * What a pooler has beside it that tells it the agreed configuration: a member of the group, or one that follows
 * members.
 */
public interface ControlPlane {
    /**
     * What was accepted as far as this process knows by itself.
     *
     * @param document null where none was accepted yet
     */
    record InitialState(
            ReplicatedState.Document document, List<Command.KnownEndpoint> nodes, Command.SessionCommits commits) {}

    /** What the pooler beside is notified of. Called on the control plane's own thread, one call after another. */
    interface Listener {
        /** Why this version can't act on a configuration, or null. */
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
        void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds);

        /** Sessions' commits of any pooler that a majority now holds. */
        void commitsAccepted(Command.SessionCommits commits);
    }

    /** Before {@link #start}. */
    InitialState initialState();

    /** Begins; {@code listener} hears first what was accepted before. */
    void start(Listener listener) throws IOException;

    /** Whether the pooler beside may act on what it knows; from any thread. */
    boolean mayServe();

    /** Whether the right to act can end here. */
    boolean fencingEnabled();

    /** Whether this one tells the others of the list of db nodes; from any thread. */
    boolean isLeader();

    /** A session's commit here; {@code then}, if any, runs once it is held as firmly as it will be. From any thread. */
    void publishCommit(String session, long position, Runnable then);

    /** The list of db nodes as this pooler has it. From any thread. */
    void publishEndpoints(List<Command.KnownEndpoint> nodes);

    /** Keys and certificates as the files have them now; from any thread. Throws where they can't be used. */
    void reloadCertificates() throws IOException;

    /** Ends at once. From any thread but its own. */
    void stop();
}
