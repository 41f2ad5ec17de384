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
 * @param leaseMicros for how long the subscriber's pooler may act, counted from when this was granted; 0 if no lease is
 *     granted
 * @param queuedMicros how long the request waited at the member before that, by the member's clock
 * @param leaseDenial why no lease is granted, or empty
 * @param completeIndex the log index up to which this response and all before it are complete; {@link #INCOMPLETE} if
 *     something is left out
 * @param retryAfterMillis when to send the next request; 0 for at once
 * @param event what to do with the document
 * @param drains all of the operators' drains if they differ from those that the subscriber has, or null
 */
public record WatchResponse(
        long leaseMicros,
        long queuedMicros,
        String leaseDenial,
        long completeIndex,
        int retryAfterMillis,
        Event event,
        Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
    /** The complete index of a response that leaves something out. */
    public static final long INCOMPLETE = 0;

    private static final int RETRY_AFTER_MAX_MILLIS = 60_000;

    /** Kinds of events on the wire. */
    private static final int KIND_UNCHANGED = 0;

    private static final int KIND_FULL_DOCUMENT = 1;
    private static final int KIND_DELTAS = 2;

    /** What happened to the document since the revision that the subscriber has. */
    public sealed interface Event {
        /** Nothing, or it can't be sent now. */
        record Unchanged() implements Event {}

        /** A new document. */
        record FullDocument(ReplicatedState.Document document) implements Event {}

        /**
         * Deltas from the subscriber's document to the new one, oldest first.
         *
         * @param digest of the document that must result
         */
        record Deltas(long revision, long index, String digest, List<DocumentDelta> deltas) implements Event {
            /** Takes an immutable copy of the list. */
            public Deltas {
                deltas = List.copyOf(deltas);
            }
        }
    }

    /** The bytes for the wire. */
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
        if (event instanceof Event.FullDocument full) {
            ReplicatedState.Document document = full.document();
            out.number(KIND_FULL_DOCUMENT)
                    .number(document.revision())
                    .number(document.index())
                    .text(document.digest())
                    .bytes(document.content());
        } else if (event instanceof Event.Deltas changed) {
            out.number(KIND_DELTAS)
                    .number(changed.revision())
                    .number(changed.index())
                    .text(changed.digest())
                    .number(changed.deltas().size());
            changed.deltas().forEach(delta -> delta.write(out));
        } else {
            out.number(KIND_UNCHANGED);
        }
    }

    /** Reads what {@link #write} wrote. */
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

    /** Writes operators' drains in the form of the wire and of a subscriber's cache file. */
    public static void writeDrains(Cbor.Writer out, Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        out.number(drains.size());
        new TreeMap<>(drains)
                .forEach((target, drain) -> out.number(target.kind().ordinal())
                        .text(target.name())
                        .text(drain.reason())
                        .number(drain.sinceMicros()));
    }

    /** Reads what {@link #writeDrains} wrote. */
    public static Map<Command.DrainTarget, ReplicatedState.Drain> readDrains(Cbor.Reader in) throws IOException {
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = new TreeMap<>();
        for (int count = in.count(ReplicatedState.MAX_DRAINS); count > 0; count--) {
            Command.TargetKind kind = Command.TargetKind.values()[in.count(Command.TargetKind.values().length - 1)];
            Command.DrainTarget target = new Command.DrainTarget(kind, in.text());
            drains.put(target, new ReplicatedState.Drain(in.text(), in.number()));
        }
        return drains;
    }

    /** The digest that stands for drains in a request. */
    public static String digest(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        Cbor.Writer out = new Cbor.Writer();
        writeDrains(out, drains);
        return ReplicatedState.digest(out.toByteArray());
    }
}
