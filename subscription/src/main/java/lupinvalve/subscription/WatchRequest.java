package lupinvalve.subscription;

import java.io.IOException;
import lupinvalve.statemachine.Cbor;

/**
 * A subscriber's watch request, with the document and drains that it has and the log index that it has applied. It is
 * also the subscriber's heartbeat, its acknowledgement of the last response and its request for a lease.
 *
 * @param version of the protocol
 * @param appliedIndex the log index up to which its pooler has applied all changes
 * @param revision of its document, from which deltas may start; 0 for none
 * @param digest that document's digest
 * @param drainsDigest the digest of the operators' drains that it has, empty for none yet
 * @param wantsLease whether it requests a lease
 * @param wantsFullDocument whether deltas resulted in a wrong digest, so that the full document is needed
 * @param objection why it can't apply the document that it has received, or empty
 */
public record WatchRequest(
        int version,
        long appliedIndex,
        long revision,
        String digest,
        String drainsDigest,
        boolean wantsLease,
        boolean wantsFullDocument,
        String objection) {
    /** The protocol version that this program supports. */
    public static final int VERSION = 1;

    private static final int OBJECTION_MAX_CHARS = 500;

    /** Truncates an objection that is too long. */
    public WatchRequest {
        if (objection.length() > OBJECTION_MAX_CHARS) {
            objection = objection.substring(0, OBJECTION_MAX_CHARS);
        }
    }

    /** Encodes the request for the wire; the version is the first field in all protocol versions. */
    public byte[] write() {
        return new Cbor.Writer()
                .number(version)
                .number(appliedIndex)
                .number(revision)
                .text(digest)
                .text(drainsDigest)
                .flag(wantsLease)
                .flag(wantsFullDocument)
                .text(objection)
                .toByteArray();
    }

    /**
     * Decodes a request that {@link #write} has encoded.
     *
     * @throws UnsupportedVersionException if the request has a version that this program does not support
     */
    public static WatchRequest read(byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        int version = in.count(Integer.MAX_VALUE);
        if (version != VERSION) {
            throw new UnsupportedVersionException(version);
        }
        return new WatchRequest(
                version, in.number(), in.number(), in.text(), in.text(), in.flag(), in.flag(), in.text());
    }

    /** A request of a protocol version that this program does not support. */
    public static final class UnsupportedVersionException extends IOException {
        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(int version) {
            super("version " + version + " of following is asked for; this member speaks " + VERSION);
        }
    }
}
