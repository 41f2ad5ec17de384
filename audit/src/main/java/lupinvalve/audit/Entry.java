package lupinvalve.audit;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import lupinvalve.statemachine.Cbor;

/**
 * One thing that a pooler notes of itself. Each holds the digest of the one before, so that one that is missing or was
 * changed shows.
 *
 * @param life which of the pooler's processes, by the time it started
 * @param number from 1 in each life
 * @param version what was acted on, in words; empty where none
 * @param index the change of the agreed history up to which it acts
 * @param atMicros by the pooler's own clock, Unix time
 * @param errorMicros by how much that clock may be off
 * @param before digest of the entry before it in this life; empty for the first
 */
public record Entry(
        String pooler,
        long life,
        long number,
        What what,
        String version,
        long index,
        long atMicros,
        long errorMicros,
        String why,
        String before) {
    /** What was noted. */
    public enum What {
        STARTED,
        ENDED,
        /** It holds a version and may act on it from now on. */
        ADOPTED,
        /** All its decisions are under the version from now on, and none under the one before. */
        CEASED_OTHERS,
        /** It can't act on a version. */
        REFUSED,
        /** No majority is in touch, or is again. */
        CUT_OFF,
        BACK,
        /** Its lease has ended and it refuses all; or it acts again. */
        FENCED,
        RETURNED,
        /** Earlier entries were dropped; why tells how many and when they were. */
        DROPPED
    }

    private static final int TEXT_MOST = 300;

    public Entry {
        why = why.length() > TEXT_MOST ? why.substring(0, TEXT_MOST) : why;
    }

    public byte[] write() {
        return new Cbor.Out()
                .text(pooler)
                .number(life)
                .number(number)
                .number(what.ordinal())
                .text(version)
                .number(index)
                .number(atMicros)
                .number(errorMicros)
                .text(why)
                .text(before)
                .done();
    }

    public static Entry read(byte[] bytes) throws IOException {
        Cbor.In in = new Cbor.In(bytes);
        Entry entry = new Entry(
                in.text(),
                in.number(),
                in.number(),
                What.values()[in.count(What.values().length - 1)],
                in.text(),
                in.number(),
                in.number(),
                in.number(),
                in.text(),
                in.text());
        if (!in.ended()) {
            throw new IOException("more than an entry");
        }
        return entry;
    }

    /** What the next entry holds of this one. */
    public String digest() {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(write()), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
