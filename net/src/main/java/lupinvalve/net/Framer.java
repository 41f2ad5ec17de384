package lupinvalve.net;

import java.util.List;

/** Cuts one connection's bytes into whole messages. Used by one MINA thread at a time. */
public interface Framer {
    /** Input that the protocol does not allow; the connection is of no further use. */
    final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        public Malformed(String message) {
            super(message);
        }
    }

    /** Cuts whole messages off the front of {@code bytes[from..to)} into {@code out}; gives where the rest starts. */
    int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed;
}
