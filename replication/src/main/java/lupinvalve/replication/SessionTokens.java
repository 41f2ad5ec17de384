package lupinvalve.replication;

import java.util.Map;
import lupinvalve.core.EventLoop;
import lupinvalve.core.SessionTokenStore;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.SessionTable;

/**
 * Sessions' last commits, for causal reads: this pooler's own at once, all others' once a majority holds them. The
 * response to a write may wait for that, within a bound: its session then reads its own writes at any pooler. On the
 * core thread.
 */
public final class SessionTokens implements SessionTokenStore {
    private final EventLoop loop;
    private final ControlPlane controlPlane;
    private final long waitMicros;
    private final SessionTable sessions = new SessionTable();

    /**
     * Session tokens that start from what was committed before.
     *
     * @param waitMicros how long a write's response may wait for a majority; 0 for not at all
     * @param known what was committed before this start
     */
    public SessionTokens(EventLoop loop, ControlPlane controlPlane, long waitMicros, Command.SessionCommits known) {
        this.loop = loop;
        this.controlPlane = controlPlane;
        this.waitMicros = waitMicros;
        sessions.apply(known.atMicros(), known.positions());
    }

    /** Commits that a majority holds; core thread. */
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
    public void committed(String session, long position, Runnable then) {
        if (waitMicros == 0) {
            committed(session, position);
            then.run();
            return;
        }
        sessions.apply(loop.now(), Map.of(session, position));
        // Whichever comes first: the second time changes nothing.
        controlPlane.publishCommit(session, position, () -> loop.post(then));
        loop.after(waitMicros, then);
    }
}
