package lupinvalve.replication;

import java.io.IOException;

/** A request is invalid; a retry would fail as well. */
final class InvalidRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }

    InvalidRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
