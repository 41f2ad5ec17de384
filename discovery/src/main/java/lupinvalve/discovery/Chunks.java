package lupinvalve.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Takes HTTP's chunked coding off, however the bytes come. */
final class Chunks {
    private enum At {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_END,
        TRAILER,
        ENDED
    }

    private At at = At.SIZE;
    private long left;
    private int trailer;

    byte[] take(byte[] bytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length);
        int i = 0;
        while (i < bytes.length && at != At.ENDED) {
            byte b = bytes[i];
            switch (at) {
                case SIZE, EXTENSION -> {
                    if (b == '\r') {
                        at = At.SIZE_END;
                    } else if (at == At.SIZE && b == ';') {
                        at = At.EXTENSION;
                    } else if (at == At.SIZE) {
                        int digit = Character.digit(b, 16);
                        if (digit < 0 || left > 1 << 26) {
                            throw new IOException("chunk size");
                        }
                        left = left * 16 + digit;
                    }
                }
                case SIZE_END -> at = left > 0 ? At.DATA : At.TRAILER;
                case DATA -> {
                    int part = (int) Math.min(left, bytes.length - i);
                    out.write(bytes, i, part);
                    left -= part;
                    i += part - 1;
                    if (left == 0) {
                        at = At.DATA_END;
                    }
                }
                case DATA_END -> {
                    if (b == '\n') {
                        at = At.SIZE;
                    }
                }
                case TRAILER -> {
                    if (b == '\n') {
                        at = trailer == 0 ? At.ENDED : At.TRAILER;
                        trailer = 0;
                    } else if (b != '\r') {
                        trailer++;
                    }
                }
                default -> {}
            }
            i++;
        }
        return out.toByteArray();
    }

    /** Whether what has come so far ends with a whole chunk, but perhaps for the end of its line. */
    boolean between() {
        return at == At.SIZE && left == 0 || at == At.DATA_END;
    }

    boolean ended() {
        return at == At.ENDED;
    }
}
