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
public record AuditEntry(
        String pooler,
        long incarnation,
        long number,
        Event event,
        String version,
        long index,
        long atMicros,
        long errorMicros,
        String reason,
        String previousDigest) {
    /** What was noted. */
    public enum Event {
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

    private static final int MAX_REASON_CHARS = 300;

    public AuditEntry {
        reason = reason.length() > MAX_REASON_CHARS ? reason.substring(0, MAX_REASON_CHARS) : reason;
    }

    public byte[] encode() {
        return new Cbor.Writer()
                .text(pooler)
                .number(incarnation)
                .number(number)
                .number(event.ordinal())
                .text(version)
                .number(index)
                .number(atMicros)
                .number(errorMicros)
                .text(reason)
                .text(previousDigest)
                .toByteArray();
    }

    public static AuditEntry decode(byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        AuditEntry entry = new AuditEntry(
                in.text(),
                in.number(),
                in.number(),
                Event.values()[in.count(Event.values().length - 1)],
                in.text(),
                in.number(),
                in.number(),
                in.number(),
                in.text(),
                in.text());
        if (!in.atEnd()) {
            throw new IOException("more than an entry");
        }
        return entry;
    }

    /** What the next entry holds of this one. */
    public String digest() {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(encode()), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
