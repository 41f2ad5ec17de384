package lupinvalve.statemachine;

import java.io.IOException;

/** Bytes from disk or the network that are not valid; the message has the fault and, if known, its position. */
public final class DecodingException extends IOException {
    private static final long serialVersionUID = 1;

    /** For a well-formed value that is not allowed at its place. */
    public DecodingException(String problem) {
        super(problem);
    }

    /**
     * For a value that is malformed, missing or of the wrong type.
     *
     * @param valueNumber position of the value in its sequence, from 1; as sequences are positional, it identifies the
     *     field
     * @param byteOffset of the end of the value
     */
    DecodingException(String problem, int valueNumber, long byteOffset) {
        super("CBOR value " + valueNumber + ", up to byte " + byteOffset + ": " + problem);
    }
}
