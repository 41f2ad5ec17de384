package lupinvalve.replication;

import java.util.Map;
import lupinvalve.core.EventLoop;
import lupinvalve.core.SessionTokenStore;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.SessionTable;

/**
 * The log position of each session's last commit, for causal reads: commits at this pooler are known at once, those at
 * other poolers once a majority of members holds them. The answer to a write may wait until then, so that its session
 * reads its own writes at any pooler. Confined to the core thread.
 */
public final class SessionTokens implements SessionTokenStore {
    private final EventLoop loop;
    private final ControlPlane controlPlane;
    private final long waitMicros;
    private final SessionTable sessions = new SessionTable();

    /**
     * Starts from the commits that were replicated before.
     *
     * @param waitMicros how long the answer to a write may wait for a majority, in microseconds; 0 not to wait
     * @param known the sessions' commits known at this start
     */
    public SessionTokens(EventLoop loop, ControlPlane controlPlane, long waitMicros, Command.SessionCommits known) {
        this.loop = loop;
        this.controlPlane = controlPlane;
        this.waitMicros = waitMicros;
        sessions.apply(known.atMicros(), known.positions());
    }

    /** Applies commits, of any pooler, that a majority of members holds. */
    public void accepted(Command.SessionCommits commits) {
        sessions.apply(commits.atMicros(), commits.positions());
    }

    @Override
    public long lastCommit(String session) {
        return sessions.lastCommit(session);
    }

    @Override
    public void committed(String session, long position) {
        sessions.apply(loop.now(), Map.of(session, position));
        controlPlane.publishCommit(session, position, null);
    }

    @Override
    public long waitMicros() {
        return waitMicros;
    }

    @Override
    public void committed(String session, long position, Runnable onDurable) {
        sessions.apply(loop.now(), Map.of(session, position));
        controlPlane.publishCommit(session, position, () -> loop.post(onDurable));
    }
}
