package lupinvalve.core;

/** The wait of one answer to a write until its session token is durable. Core thread only. */
final class TokenWait {
    /** Why a wait ends. */
    enum End {
        /** The token is durable. */
        DURABLE("as a majority has the session's commit"),
        /** It lasted as long as the store waits at most. */
        LIMIT_REACHED("as the wait for a majority was as long as it is set"),
        /** The client, or the client of an answer behind this one, stops waiting soon. */
        CLIENT_DEADLINE("as the client's time ends"),
        /** The process ends soon. */
        SHUTDOWN("as this process shuts down"),
        /** The client has asked for the end of the request. */
        CANCELLED("as its client cancelled it");

        /** The reason in the log. */
        final String text;

        End(String text) {
            this.text = text;
        }
    }

    /** When the wait began, in Unix microseconds. */
    final long startedAtMicros;
    /** When the store's own limit is reached, in Unix microseconds. */
    final long limitAtMicros;
    /** Sends the answer. */
    final Runnable sendAnswer;

    TokenWait(long startedAtMicros, long limitAtMicros, Runnable sendAnswer) {
        this.startedAtMicros = startedAtMicros;
        this.limitAtMicros = limitAtMicros;
        this.sendAnswer = sendAnswer;
    }
}
