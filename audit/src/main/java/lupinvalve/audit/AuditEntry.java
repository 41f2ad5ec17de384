package lupinvalve.audit;

import java.io.IOException;
import java.util.Locale;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.DecodingException;
import lupinvalve.statemachine.Digests;

/**
 * One event that a pooler records about itself. Each entry has the digest of the previous one, so that a missing or
 * modified entry is detected.
 *
 * @param incarnation identifies the pooler's process: its start, Unix time in microseconds
 * @param number consecutive, from 1 in each incarnation
 * @param version name of the configuration that the event is about; empty if there is none
 * @param index log index up to which the pooler acts on committed changes
 * @param atMicros time of the event by the pooler's own clock, Unix time
 * @param errorMicros maximum error of that clock
 * @param previousDigest digest of the previous entry in this incarnation; empty for the first
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
    /** The kind of event. Stored and sent by ordinal: the order must not change. */
    public enum Event {
        /** The process started. */
        STARTED,
        /** The process ended. */
        ENDED,
        /** The pooler has a version and may act on it from now on. */
        ADOPTED,
        /** From now on, all decisions of the pooler use the version and none uses an earlier one. */
        CEASED_OTHERS,
        /** The pooler can't use a version. */
        REFUSED,
        /** No quorum is reachable. */
        CUT_OFF,
        /** A quorum is reachable again. */
        BACK,
        /** The lease of the pooler has ended and it rejects all requests. */
        FENCED,
        /** The pooler has a lease again. */
        RETURNED,
        /** Earlier entries were dropped; the reason has their number and times. */
        DROPPED;

        /** The name in answers and logs. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final int MAX_REASON_CHARS = 300;
    private static final int DIGEST_BYTES = 16;

    /** Truncates a reason that is too long. */
    public AuditEntry {
        reason = reason.length() > MAX_REASON_CHARS ? reason.substring(0, MAX_REASON_CHARS) : reason;
    }

    /** Encodes the entry as it is stored and sent. */
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

    /** Decodes an entry; throws {@link DecodingException} if the bytes are not exactly one. */
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

    /** Digest of this entry, which is the next entry's {@link #previousDigest}. */
    public String digest() {
        return Digests.sha256Hex(encode(), DIGEST_BYTES);
    }
}
