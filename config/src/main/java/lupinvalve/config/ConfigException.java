package lupinvalve.config;

import java.io.IOException;

/** A configuration that can be read lacks a field, or has a value that is not possible; the message names it. */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }

    ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
