package lupinvalve.core;

/** Session tokens that outlive a client connection: each session's last commit. Called by the core thread. */
public interface SessionTokenStore {
    /** Remembers nothing: clients carry their tokens. */
    SessionTokenStore NONE = new SessionTokenStore() {
        @Override
        public long lastCommit(String session) {
            return 0;
        }

        @Override
        public void committed(String session, long position) {
            // Nothing to remember.
        }
    };

    /** Log position of the session's last commit known here, in Unix microseconds, or 0. */
    long lastCommit(String session);

    /** A write of the session was committed at this log position. */
    void committed(String session, long position);

    /** The same; {@code then} runs, on the core thread, once the token is as durable as it is to be. */
    default void committed(String session, long position, Runnable then) {
        committed(session, position);
        then.run();
    }
}
