package lupinvalve.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Decodes HTTP's chunked transfer coding incrementally: a read may end at any byte. Not thread-safe. */
final class ChunkedDecoder {
    private enum State {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_END,
        TRAILER,
        ENDED
    }

    private static final int HEX_RADIX = 16;

    /** A chunk size is rejected if its value without the last hexadecimal digit exceeds this. */
    private static final int MAX_SIZE_PREFIX = 1 << 26;

    private State state = State.SIZE;
    private long remainingBytes;
    private int trailerLineBytes;

    /**
     * Decodes the next bytes of the stream and returns the data that they contain.
     *
     * @throws IOException if a chunk's size is malformed or too large
     */
    byte[] decode(byte[] bytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length);
        int position = 0;
        while (position < bytes.length && state != State.ENDED) {
            byte next = bytes[position];
            switch (state) {
                case SIZE, EXTENSION -> {
                    if (next == '\r') {
                        state = State.SIZE_END;
                    } else if (state == State.SIZE && next == ';') {
                        state = State.EXTENSION;
                    } else if (state == State.SIZE) {
                        int digit = Character.digit(next, HEX_RADIX);
                        if (digit < 0 || remainingBytes > MAX_SIZE_PREFIX) {
                            throw new IOException("malformed or too large chunk size");
                        }
                        remainingBytes = remainingBytes * HEX_RADIX + digit;
                    }
                }
                case SIZE_END -> state = remainingBytes > 0 ? State.DATA : State.TRAILER;
                case DATA -> {
                    int part = (int) Math.min(remainingBytes, bytes.length - position);
                    out.write(bytes, position, part);
                    remainingBytes -= part;
                    position += part - 1;
                    if (remainingBytes == 0) {
                        state = State.DATA_END;
                    }
                }
                case DATA_END -> {
                    if (next == '\n') {
                        state = State.SIZE;
                    }
                }
                case TRAILER -> {
                    if (next == '\n') {
                        state = trailerLineBytes == 0 ? State.ENDED : State.TRAILER;
                        trailerLineBytes = 0;
                    } else if (next != '\r') {
                        trailerLineBytes++;
                    }
                }
                default -> {}
            }
            position++;
        }
        return out.toByteArray();
    }

    /** Whether the bytes decoded so far end with a complete chunk; the line end behind its data may be missing. */
    boolean isBetweenChunks() {
        return state == State.SIZE && remainingBytes == 0 || state == State.DATA_END;
    }

    /** Whether the last chunk and its trailer have been decoded. */
    boolean hasEnded() {
        return state == State.ENDED;
    }
}
