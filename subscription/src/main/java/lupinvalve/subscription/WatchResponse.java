package lupinvalve.subscription;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * A member's response to a {@link WatchRequest}.
 *
 * @param leaseMicros duration of the lease granted to the subscriber's pooler, counted from the grant; 0 if no lease is
 *     granted
 * @param queuedMicros time that the request waited at the member before the grant, by the member's clock
 * @param leaseDenial why no lease is granted, or empty
 * @param completeIndex the log index up to which this response and all before it are complete; {@link #INCOMPLETE} if
 *     something is missing
 * @param retryAfterMillis delay before the next request; 0 for none
 * @param event change of the document
 * @param drains all of the operators' drains if they differ from the subscriber's, or null
 */
public record WatchResponse(
        long leaseMicros,
        long queuedMicros,
        String leaseDenial,
        long completeIndex,
        int retryAfterMillis,
        Event event,
        Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
    /** The complete index of a response in which something is missing. */
    public static final long INCOMPLETE = 0;

    private static final int RETRY_AFTER_MAX_MILLIS = 60_000;

    /** Kinds of events on the wire. */
    private static final int KIND_UNCHANGED = 0;

    private static final int KIND_FULL_DOCUMENT = 1;
    private static final int KIND_DELTAS = 2;

    /** Change of the document since the subscriber's revision. */
    public sealed interface Event {
        /** No change, or one that can't be sent now. */
        record Unchanged() implements Event {}

        /** A new document, sent in full. */
        record FullDocument(ReplicatedState.Document document) implements Event {}

        /**
         * Deltas from the subscriber's document to the new one, oldest first.
         *
         * @param digest expected digest of the resulting document
         */
        record Deltas(long revision, long index, String digest, List<DocumentDelta> deltas) implements Event {
            /** Takes an immutable copy of the list. */
            public Deltas {
                deltas = List.copyOf(deltas);
            }
        }
    }

    /** Encodes the response for the wire. */
    public byte[] write() {
        Cbor.Writer out = new Cbor.Writer()
                .number(leaseMicros)
                .number(queuedMicros)
                .text(leaseDenial)
                .number(completeIndex)
                .number(retryAfterMillis);
        writeEvent(out);
        out.flag(drains != null);
        if (drains != null) {
            writeDrains(out, drains);
        }
        return out.toByteArray();
    }

    private void writeEvent(Cbor.Writer out) {
        if (event instanceof Event.FullDocument fullDocument) {
            ReplicatedState.Document document = fullDocument.document();
            out.number(KIND_FULL_DOCUMENT)
                    .number(document.revision())
                    .number(document.index())
                    .text(document.digest())
                    .bytes(document.content());
        } else if (event instanceof Event.Deltas deltas) {
            out.number(KIND_DELTAS)
                    .number(deltas.revision())
                    .number(deltas.index())
                    .text(deltas.digest())
                    .number(deltas.deltas().size());
            deltas.deltas().forEach(delta -> delta.write(out));
        } else {
            out.number(KIND_UNCHANGED);
        }
    }

    /** Decodes a response that {@link #write} has encoded. */
    public static WatchResponse read(byte[] bytes) throws IOException {
        Cbor.Reader in = new Cbor.Reader(bytes);
        long leaseMicros = in.number();
        long queuedMicros = in.number();
        String leaseDenial = in.text();
        long completeIndex = in.number();
        int retryAfterMillis = in.count(RETRY_AFTER_MAX_MILLIS);
        Event event = readEvent(in);
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = in.flag() ? readDrains(in) : null;
        return new WatchResponse(
                leaseMicros, queuedMicros, leaseDenial, completeIndex, retryAfterMillis, event, drains);
    }

    private static Event readEvent(Cbor.Reader in) throws IOException {
        int kind = in.count(KIND_DELTAS);
        if (kind == KIND_UNCHANGED) {
            return new Event.Unchanged();
        }
        long revision = in.number();
        long index = in.number();
        String digest = in.text();
        if (kind == KIND_FULL_DOCUMENT) {
            return new Event.FullDocument(new ReplicatedState.Document(revision, index, digest, in.bytes()));
        }
        List<DocumentDelta> deltas = new ArrayList<>();
        for (int count = in.count(RevisionHistory.DELTAS_MAX_COUNT); count > 0; count--) {
            deltas.add(DocumentDelta.read(in));
        }
        return new Event.Deltas(revision, index, digest, deltas);
    }

    /** Writes operators' drains in the encoding used on the wire and in a subscriber's cache file. */
    public static void writeDrains(Cbor.Writer out, Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        out.number(drains.size());
        new TreeMap<>(drains)
                .forEach((target, drain) -> out.number(target.kind().ordinal())
                        .text(target.name())
                        .text(drain.reason())
                        .number(drain.sinceMicros()));
    }

    /** Reads drains that {@link #writeDrains} has written. */
    public static Map<Command.DrainTarget, ReplicatedState.Drain> readDrains(Cbor.Reader in) throws IOException {
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = new TreeMap<>();
        for (int count = in.count(ReplicatedState.MAX_DRAINS); count > 0; count--) {
            Command.TargetKind kind = Command.TargetKind.values()[in.count(Command.TargetKind.values().length - 1)];
            Command.DrainTarget target = new Command.DrainTarget(kind, in.text());
            drains.put(target, new ReplicatedState.Drain(in.text(), in.number()));
        }
        return drains;
    }

    /** The digest of drains, as sent in a {@link WatchRequest}. */
    public static String digest(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        Cbor.Writer out = new Cbor.Writer();
        writeDrains(out, drains);
        return ReplicatedState.digest(out.toByteArray());
    }
}
