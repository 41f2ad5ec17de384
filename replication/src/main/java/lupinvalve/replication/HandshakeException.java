package lupinvalve.replication;

import java.io.IOException;

/** The peer of a connection is not who it should be, or does not greet as it should: the connection ends. */
final class HandshakeException extends IOException {
    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }

    HandshakeException(String message, Throwable cause) {
        super(message, cause);
    }
}
