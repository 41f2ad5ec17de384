package lupinvalve.simulator;

/** Input that the wire does not allow; the message names the message and field at fault. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message one plain line */
    public WireException(String message) {
        super(message);
    }
}
