package lupinvalve.statemachine;

import java.io.IOException;

/** Bytes from disk or from the network are not what they should be; the message says what, and where if known. */
public final class DecodingException extends IOException {
    private static final long serialVersionUID = 1;

    /** A value that can be read, but must not stand there. */
    public DecodingException(String problem) {
        super(problem);
    }

    /**
     * A value that can't be read.
     *
     * @param valueNumber of the value in its sequence, from 1: sequences are positional, so it names the field
     * @param byteOffset where the value ends
     */
    DecodingException(String problem, int valueNumber, long byteOffset) {
        super("CBOR value " + valueNumber + ", up to byte " + byteOffset + ": " + problem);
    }
}
