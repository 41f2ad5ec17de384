package lupinvalve.replication;

import java.io.IOException;

/** The peer of a connection is not the expected one, or violates the handshake. The connection is closed. */
final class HandshakeException extends IOException {
    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }

    HandshakeException(String message, Throwable cause) {
        super(message, cause);
    }
}
