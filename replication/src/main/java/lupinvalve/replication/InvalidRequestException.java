package lupinvalve.replication;

import java.io.IOException;

/** A request can't be served as it is, and a retry does not help. */
final class InvalidRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }

    InvalidRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
