package lupinvalve.replication;

import java.util.Map;
import lupinvalve.core.EventLoop;
import lupinvalve.core.SessionTokenStore;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.SessionTable;

/**
 * Sessions' last commits on the core thread: this pooler's own at once, all others' once a majority holds them. A
 * booking's answer may wait for that, within a bound: its session then reads its own writes at any pooler.
 */
public final class SessionTokens implements SessionTokenStore {
    private final EventLoop loop;
    private final ControlPlane group;
    private final long waitMicros;
    private final SessionTable sessions = new SessionTable();

    /** @param known what was accepted before this start */
    public SessionTokens(EventLoop loop, ControlPlane group, long waitMicros, Command.SessionCommits known) {
        this.loop = loop;
        this.group = group;
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
        group.publishCommit(session, position, null);
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
        group.publishCommit(session, position, () -> loop.post(then));
        loop.after(waitMicros, then);
    }
}
