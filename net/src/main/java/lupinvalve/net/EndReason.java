package lupinvalve.net;

/** Why a client's connection has ended. The texts stand in log lines that operators and tools match. */
public enum EndReason {
    /** The connection was idle while the pooler was short of connections. */
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
    /** The connection was opened to cancel a request of another one, which has been handled. */
    CANCEL_REQUEST("its cancel request is taken"),
    /** An answer that had been partly sent could not be completed. */
    CUT("a long answer broke off"),
    /** The client did not read its answers. */
    READS_TOO_SLOWLY("it does not read"),
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

    /** Whether the client or its machine ended the connection. */
    boolean isByClient() {
        return this == CLIENT_LEFT || this == BROKE || this == GOODBYE || this == CANCEL_REQUEST;
    }

    /** The text used in log lines. */
    @Override
    public String toString() {
        return text;
    }
}
