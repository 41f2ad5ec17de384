package lupinvalve.subscription;

import java.io.IOException;
import java.util.Arrays;
import lupinvalve.ledger.Cbor;

/**
 * How one text of bytes comes from another: a common beginning, a common end, and what stands between them.
 *
 * @param prefix bytes of the old text that stay at the beginning
 * @param suffix bytes of the old text that stay at the end
 * @param middle what stands between them now
 */
public record DocumentDelta(int prefix, int suffix, byte[] middle) {
    /** What a difference takes on the wire beside its middle, at most. */
    private static final int FRAME = 16;

    /** The difference from one text to another. */
    public static DocumentDelta between(byte[] before, byte[] after) {
        int most = Math.min(before.length, after.length);
        int same = Arrays.mismatch(before, after);
        int prefix = same < 0 ? most : same;
        int suffix = 0;
        while (suffix < most - prefix && before[before.length - 1 - suffix] == after[after.length - 1 - suffix]) {
            suffix++;
        }
        return new DocumentDelta(prefix, suffix, Arrays.copyOfRange(after, prefix, after.length - suffix));
    }

    /** The new text. Throws where the old one is too short to be what this was made from. */
    public byte[] apply(byte[] before) throws IOException {
        if (prefix < 0 || suffix < 0 || (long) prefix + suffix > before.length) {
            throw new IOException("a difference that keeps " + prefix + " and " + suffix + " bytes of " + before.length);
        }
        byte[] after = new byte[prefix + middle.length + suffix];
        System.arraycopy(before, 0, after, 0, prefix);
        System.arraycopy(middle, 0, after, prefix, middle.length);
        System.arraycopy(before, before.length - suffix, after, prefix + middle.length, suffix);
        return after;
    }

    /** Bytes on the wire, about. */
    public int size() {
        return FRAME + middle.length;
    }

    void write(Cbor.Out out) {
        out.number(prefix).number(suffix).bytes(middle);
    }

    static DocumentDelta read(Cbor.In in) throws IOException {
        return new DocumentDelta(in.count(Integer.MAX_VALUE), in.count(Integer.MAX_VALUE), in.bytes());
    }
}
