package lupinvalve.core;

/** Remembers sessions' last commits beyond one connection. Called by the core thread. */
public interface Marks {
    /** Remembers nothing: clients carry their tokens. */
    Marks NONE = new Marks() {
        @Override
        public long lastCommit(String session) {
            return 0;
        }

        @Override
        public void committed(String session, long position) {
            // Nothing to remember.
        }
    };

    /** Position of the session's last commit known here, in Unix microseconds, or 0. */
    long lastCommit(String session);

    /** A write of the session was committed at this position. */
    void committed(String session, long position);

    /** The same; {@code then} runs, on the core thread, once that is remembered as well as it is to be. */
    default void committed(String session, long position, Runnable then) {
        committed(session, position);
        then.run();
    }
}
