package lupinvalve.net;

import java.util.List;

/** Splits the input of one connection into complete messages. Used by one MINA thread at a time. */
public interface Framer {
    /** Input that violates the protocol; nothing after it can be interpreted. */
    final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        /** @param message what is wrong; logged, or sent to a client in an error response */
        public Malformed(String message) {
            super(message);
        }
    }

    /**
     * Moves complete messages from the front of {@code bytes[from..to)} to {@code out}; returns where the remainder
     * starts.
     */
    int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed;
}
