package lupinvalve.core;

/** A statement lacks a field that routing needs, or has one with an invalid value; the message names the field. */
public final class InvalidStatementException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param message what is wrong; the client gets it as the error text */
    public InvalidStatementException(String message) {
        super(message);
    }
}
