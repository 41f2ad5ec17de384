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
     * Records a commit. {@code then} runs on the core thread once the token is as durable as the store makes it or the
     * store's limit on that wait is reached; it may run more than once.
     */
    default void committed(String session, long position, Runnable then) {
        committed(session, position);
        then.run();
    }
}
