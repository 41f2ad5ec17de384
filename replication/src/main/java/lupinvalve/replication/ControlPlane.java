package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
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
    record Known(
            ReplicatedState.Document document, List<Command.KnownEndpoint> nodes, Command.SessionCommits commits) {}

    /** Before {@link #start}. */
    Known known();

    /** Begins; {@code beside} hears first what was accepted before. */
    void start(Group.Pooler beside) throws IOException;

    /** Whether the pooler beside may act on what it knows; from any thread. */
    boolean mayAct();

    /** Whether the right to act can end here. */
    boolean fences();

    /** Whether this one tells the others of the list of db nodes; from any thread. */
    boolean leads();

    /** A session's commit here; {@code then}, if any, runs once it is held as firmly as it will be. From any thread. */
    void committed(String session, long position, Runnable then);

    /** The list of db nodes as this pooler has it. From any thread. */
    void listing(List<Command.KnownEndpoint> nodes);

    /** Keys and certificates as the files have them now; from any thread. Throws where they can't be used. */
    void reload() throws IOException;

    /** Ends at once. From any thread but its own. */
    void stop();
}
