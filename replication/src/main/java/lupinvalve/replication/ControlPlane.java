package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * A pooler's connection to the Raft group that replicates the configuration: either a member of the group or a
 * subscriber to members. Methods may be called from any thread unless stated otherwise.
 */
public interface ControlPlane {
    /**
     * The committed state recorded on this process's own disk, before contact with others.
     *
     * @param document the configuration; null if none was committed yet
     * @param nodes the last known list of db nodes
     * @param commits log positions of sessions' last commits
     */
    record InitialState(
            ReplicatedState.Document document, List<Command.KnownEndpoint> nodes, Command.SessionCommits commits) {}

    /** The pooler's side. Its methods are called one at a time, on the control plane's own thread. */
    interface Listener {
        /** Why this version of the program can't serve with a configuration, or null if it can. */
        String validationError(byte[] document);

        /**
         * Why a running pooler can't change from one configuration to another, or null if it can.
         *
         * @param current null if there is none yet
         */
        default String transitionError(byte[] current, byte[] next) {
            return null;
        }

        /** Runs {@code callback} on the pooler's own thread once all earlier notifications have been applied. */
        default void runAfterApplied(Runnable callback) {
            callback.run();
        }

        /** A committed configuration is to be applied. */
        void configurationAccepted(ReplicatedState.Document document);

        /** All drains by operators, as they now stand; called at the start, and whenever they may have changed. */
        void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> drains);

        /** Sessions' commits, published by any pooler, have been replicated to a majority. */
        void commitsAccepted(Command.SessionCommits commits);
    }

    /** The state that is known before {@link #start}. */
    InitialState initialState();

    /**
     * Starts; {@code listener} is notified first of the state that was committed before.
     *
     * @throws IOException if it can't listen or connect
     */
    void start(Listener listener) throws IOException;

    /** Whether the pooler may serve: it has a valid lease, or needs none. */
    boolean mayServe();

    /** Whether the pooler must stop serving when its lease ends. */
    boolean fencingEnabled();

    /** Whether this pooler's member leads; only the leader publishes the list of db nodes to all poolers. */
    boolean isLeader();

    /**
     * Publishes a session's commit.
     *
     * @param position the log position in Unix microseconds
     * @param onCommitted in a member, runs on the control plane's thread once a majority has the commit, which may be
     *     never; in a subscriber, which does not replicate it, runs at once on the caller's thread; null for none
     */
    void publishCommit(String session, long position, Runnable onCommitted);

    /** Publishes this pooler's list of db nodes to all poolers if its member leads; otherwise does nothing. */
    void publishEndpoints(List<Command.KnownEndpoint> nodes);

    /**
     * Reloads TLS keys and certificates from their files, for new connections; established ones keep theirs.
     *
     * @throws IOException if they can't be used; the earlier ones then stay in use
     */
    void reloadCertificates() throws IOException;

    /** Stops at once. From any thread but the control plane's own. */
    void stop();
}
