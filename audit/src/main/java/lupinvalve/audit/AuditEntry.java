package lupinvalve.audit;

import java.io.IOException;
import java.util.Locale;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.DecodingException;
import lupinvalve.statemachine.Digests;

/**
 * One event that a pooler notes of itself. Each entry has the digest of the one before, so that a missing or changed
 * one shows.
 *
 * @param incarnation which of the pooler's processes: when it started, Unix time in microseconds
 * @param number from 1 in each incarnation
 * @param version the configuration that is acted on, in words; empty where none
 * @param index of the log entry up to which the pooler acts
 * @param atMicros by the pooler's own clock, Unix time
 * @param errorMicros by how much that clock may be off
 * @param previousDigest of the entry before in this incarnation; empty for the first
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
    /** What was noted. Stored and sent by ordinal: the order must not change. */
    public enum Event {
        /** The process started. */
        STARTED,
        /** The process ended. */
        ENDED,
        /** It has a version and may act on it from now on. */
        ADOPTED,
        /** All its decisions are under the version from now on, and none under the one before. */
        CEASED_OTHERS,
        /** It can't act on a version. */
        REFUSED,
        /** No quorum is in reach. */
        CUT_OFF,
        /** A quorum is in reach again. */
        BACK,
        /** Its lease has ended and it rejects all requests. */
        FENCED,
        /** It has a lease again. */
        RETURNED,
        /** Earlier entries were dropped; the reason tells how many and when they were. */
        DROPPED;

        /** The name in answers and logs. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final int MAX_REASON_CHARS = 300;
    private static final int DIGEST_BYTES = 16;

    /** Shortens the reason. */
    public AuditEntry {
        reason = reason.length() > MAX_REASON_CHARS ? reason.substring(0, MAX_REASON_CHARS) : reason;
    }

    /** The entry as it is stored and sent. */
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

    /** Decodes what {@link #encode} gave; throws {@link DecodingException} where the bytes are no entry. */
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
            throw new DecodingException("bytes after an audit entry");
        }
        return entry;
    }

    /** What the next entry has as {@link #previousDigest}. */
    public String digest() {
        return Digests.sha256Hex(encode(), DIGEST_BYTES);
    }
}
