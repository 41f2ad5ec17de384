package lupinvalve.net;

/** Why a client's connection has ended. The texts stand in log lines that operators and tools match. */
public enum EndReason {
    /** Places for client connections were short, and the connection was idle or had sent no command yet. */
    MADE_ROOM("to make room"),
    /** The client sent no complete command in time. */
    SILENT("it said nothing"),
    /** The client connected while the limit on client connections was reached. */
    PAST_BOUND("too many clients"),
    /** The pooler is closing client connections for a drain, or is shutting down. */
    SENT_AWAY("clients are sent away"),
    /** The client's input is malformed or not supported. */
    UNREADABLE("what it sent can't be read"),
    /** The client's login failed. */
    NOT_LET_IN("its login failed"),
    /** The client sent its protocol's message for the end of a connection. */
    GOODBYE("it said goodbye"),
    /** The connection was opened only to send a cancel request for another one, and that has been received. */
    CANCEL_REQUEST("its cancel request is taken"),
    /** An answer that had been partly sent could not be completed. */
    CUT("a long answer broke off"),
    /** The client did not read its answers. */
    READS_TOO_SLOWLY("it does not read"),
    /** The client sent many more commands ahead than are served, while memory for commands was exhausted. */
    SENDS_TOO_FAR_AHEAD("it sends too far ahead"),
    /** The program failed while it handled the connection. */
    FAULT("a fault of the program"),
    /** The client closed the connection. */
    CLIENT_LEFT("by the client"),
    /** The connection was reset by the client or ended by an I/O error. */
    BROKE("it broke");

    private final String text;

    EndReason(String text) {
        this.text = text;
    }

    /**
     * Whether the end was the choice of the client or of its machine, also where the pooler closes the connection at
     * the client's request. Such an end alone is no sign of a fault of the pooler.
     */
    boolean isByClient() {
        return this == CLIENT_LEFT || this == BROKE || this == GOODBYE || this == CANCEL_REQUEST;
    }

    /** The text used in log lines. */
    @Override
    public String toString() {
        return text;
    }
}
