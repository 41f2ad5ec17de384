package lupinvalve.core;

/** A statement lacks a field that a decision needs, or has one with an impossible value; the message says which. */
public final class InvalidStatementException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param message what is wrong, as the client is answered */
    public InvalidStatementException(String message) {
        super(message);
    }
}
