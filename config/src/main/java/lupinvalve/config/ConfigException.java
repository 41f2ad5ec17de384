package lupinvalve.config;

import java.io.IOException;

/** A configuration is valid JSON, but lacks a field or has a value out of range; the message names the field. */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }

    ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
