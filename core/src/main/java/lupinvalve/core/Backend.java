package lupinvalve.core;

/** Carries attempts and probes to db nodes over one protocol. Called by the core thread. */
public interface Backend {
    /** Where an answer that is passed on in pieces comes from. */
    interface Source {
        /** Whether reading it waits; the core thread may call it with either, any number of times. */
        void hold(boolean wait);
    }

    /**
     * Starts an attempt; its end comes through {@link Pooler#ended}.
     *
     * @param statement what the protocol's front made of the request
     * @param waitMicros how long the pooler will wait
     * @param wantedMicros for how long the db node may begin it, which it is told
     */
    void send(long attempt, String node, String address, Object statement, long waitMicros, long wantedMicros);

    /** Stops waiting for an attempt and closes its connection; true where its request may have left. */
    boolean abandon(long attempt);

    /** Whether the attempt waits for its connection: nothing of it has been handed to a socket. */
    boolean waits(long attempt);

    /** Asks a db node for its report; the end comes through {@link Pooler#probed}. */
    void probe(String node, String address);

    /** Closes idle connections to a db node. */
    void closeIdle(String node);
}
