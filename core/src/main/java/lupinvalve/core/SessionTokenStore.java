package lupinvalve.core;

/** Keeps session tokens, each session's last commit, beyond client connections. Called on the core thread. */
public interface SessionTokenStore {
    /** Keeps no tokens: clients send theirs with each request. */
    SessionTokenStore NONE = new SessionTokenStore() {
        @Override
        public long lastCommit(String session) {
            return 0;
        }

        @Override
        public void committed(String session, long position) {
            // Tokens are not kept.
        }
    };

    /** Log position of the session's last known commit, in Unix microseconds, or 0 if none is known. */
    long lastCommit(String session);

    /** Records that a write of the session was committed at this log position. */
    void committed(String session, long position);

    /**
     * How long the answer to a write is to wait until its session token is durable, in microseconds, where its client
     * waits as long; 0 for no wait.
     */
    default long waitMicros() {
        return 0;
    }

    /**
     * Records a commit. The caller bounds its wait for the callback itself.
     *
     * @param onDurable runs on the core thread once the token is as durable as the store makes it, which may be never.
     *     The store may keep it for long, so it must not keep the answer
     */
    default void committed(String session, long position, Runnable onDurable) {
        committed(session, position);
        onDurable.run();
    }
}
