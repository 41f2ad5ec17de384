package lupinvalve.statemachine;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Shortened SHA-256 digests as text. */
public final class Digests {
    private Digests() {}

    /** The first {@code byteCount} bytes of the content's SHA-256, in hex. */
    public static String sha256Hex(byte[] content, int byteCount) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content), 0, byteCount);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
