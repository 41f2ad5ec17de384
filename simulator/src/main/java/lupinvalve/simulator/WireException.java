package lupinvalve.simulator;

/** Thrown for input that violates the wire protocol; its text names the wire message and the field at fault. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message the text, on one line */
    public WireException(String message) {
        super(message);
    }
}
