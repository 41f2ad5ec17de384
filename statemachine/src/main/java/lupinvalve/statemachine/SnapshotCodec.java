package lupinvalve.statemachine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec for snapshots of {@link ReplicatedState} as chunks of bytes. The first chunk begins with the format version and
 * has everything but audit entries and sessions; chunks of audit entries follow, then chunks of sessions.
 */
public final class SnapshotCodec {
    /** Keeps a chunk well below the maximum message size of the wire protocol. */
    private static final int MAX_ITEMS_PER_CHUNK = 4000;

    private static final int FORMAT = 1;
    /** Written only if there are audit entries, so that older versions can read all other snapshots. */
    private static final int FORMAT_WITH_AUDIT = 2;

    private SnapshotCodec() {}

    /** Encodes the whole state. */
    public static List<byte[]> encode(ReplicatedState state) {
        List<byte[]> auditChunks = auditChunks(state);
        List<byte[]> chunks = new ArrayList<>();
        chunks.add(headerChunk(state, auditChunks.size()));
        chunks.addAll(auditChunks);
        addSessionChunks(state, chunks);
        return chunks;
    }

    private static byte[] headerChunk(ReplicatedState state, int auditChunkCount) {
        Cbor.Writer out = new Cbor.Writer()
                .number(auditChunkCount == 0 ? FORMAT : FORMAT_WITH_AUDIT)
                .number(state.appliedIndex())
                .number(state.sessions().latestMicros());
        ReplicatedState.Document document = state.document();
        out.flag(document != null);
        if (document != null) {
            out.number(document.revision()).number(document.index()).bytes(document.content());
        }
        out.number(state.drains().size());
        state.drains().forEach((target, drain) -> {
            CommandCodec.writeTarget(out, target);
            out.text(drain.reason()).number(drain.sinceMicros());
        });
        out.number(state.memberAddresses().size());
        state.memberAddresses().forEach((member, address) -> out.text(member).text(address));
        CommandCodec.writeEndpointList(out, state.endpointList());
        if (auditChunkCount > 0) {
            out.number(auditChunkCount);
        }
        return out.toByteArray();
    }

    private static List<byte[]> auditChunks(ReplicatedState state) {
        List<byte[]> chunks = new ArrayList<>();
        List<Map.Entry<String, byte[]>> entries =
                List.copyOf(state.auditEntries().entrySet());
        for (int from = 0; from < entries.size(); from += MAX_ITEMS_PER_CHUNK) {
            List<Map.Entry<String, byte[]>> items =
                    entries.subList(from, Math.min(entries.size(), from + MAX_ITEMS_PER_CHUNK));
            Cbor.Writer out = new Cbor.Writer().number(items.size());
            items.forEach(entry -> out.text(entry.getKey()).bytes(entry.getValue()));
            chunks.add(out.toByteArray());
        }
        return chunks;
    }

    private static void addSessionChunks(ReplicatedState state, List<byte[]> chunks) {
        Map<String, Long> items = new LinkedHashMap<>();
        state.sessions().forEachOldestFirst((session, position) -> {
            items.put(session, position);
            if (items.size() == MAX_ITEMS_PER_CHUNK) {
                chunks.add(sessionChunk(items));
                items.clear();
            }
        });
        if (!items.isEmpty()) {
            chunks.add(sessionChunk(items));
        }
    }

    private static byte[] sessionChunk(Map<String, Long> positions) {
        Cbor.Writer out = new Cbor.Writer();
        CommandCodec.writePositions(out, positions);
        return out.toByteArray();
    }

    /** Replaces a state by that of a snapshot; throws {@link DecodingException} if the chunks are not one. */
    public static void restore(ReplicatedState state, List<byte[]> chunks) throws IOException {
        Cbor.Reader in = new Cbor.Reader(chunks.get(0));
        long format = in.number();
        if (format != FORMAT && format != FORMAT_WITH_AUDIT) {
            throw new DecodingException(
                    "a snapshot of format " + format + "; this program reads " + FORMAT + " and " + FORMAT_WITH_AUDIT);
        }
        long index = in.number();
        long latestMicros = in.number();
        ReplicatedState.Document document = in.flag() ? readDocument(in) : null;
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = readDrains(in);
        Map<String, String> memberAddresses = readMemberAddresses(in);
        Command.EndpointList endpointList = CommandCodec.readEndpointList(in);
        int auditChunkCount = format == FORMAT_WITH_AUDIT ? in.count(chunks.size() - 1) : 0;
        Map<String, byte[]> auditEntries = readAuditChunks(chunks.subList(1, 1 + auditChunkCount));
        state.restore(
                new ReplicatedState.Contents(index, document, drains, memberAddresses, endpointList, auditEntries));
        for (byte[] chunk : chunks.subList(1 + auditChunkCount, chunks.size())) {
            state.sessions().apply(latestMicros, CommandCodec.readPositions(new Cbor.Reader(chunk)));
        }
    }

    private static ReplicatedState.Document readDocument(Cbor.Reader in) throws IOException {
        long revision = in.number();
        long index = in.number();
        byte[] content = in.bytes();
        return new ReplicatedState.Document(revision, index, ReplicatedState.digest(content), content);
    }

    private static Map<Command.DrainTarget, ReplicatedState.Drain> readDrains(Cbor.Reader in) throws IOException {
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = new HashMap<>();
        for (int remaining = in.count(ReplicatedState.MAX_DRAINS); remaining > 0; remaining--) {
            drains.put(CommandCodec.readTarget(in), new ReplicatedState.Drain(in.text(), in.number()));
        }
        return drains;
    }

    private static Map<String, String> readMemberAddresses(Cbor.Reader in) throws IOException {
        Map<String, String> addresses = new HashMap<>();
        for (int remaining = in.count(ReplicatedState.MAX_MEMBER_ADDRESSES); remaining > 0; remaining--) {
            addresses.put(in.text(), in.text());
        }
        return addresses;
    }

    private static Map<String, byte[]> readAuditChunks(List<byte[]> chunks) throws IOException {
        Map<String, byte[]> entries = new LinkedHashMap<>();
        for (byte[] chunk : chunks) {
            Cbor.Reader in = new Cbor.Reader(chunk);
            for (int remaining = in.count(MAX_ITEMS_PER_CHUNK); remaining > 0; remaining--) {
                entries.put(in.text(), in.bytes());
            }
        }
        return entries;
    }
}
