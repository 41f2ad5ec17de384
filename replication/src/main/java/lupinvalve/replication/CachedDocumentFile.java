package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.SubscriberState;
import lupinvalve.subscription.WatchResponse;

/**
 * A subscriber's cache file: the last state that it received, used after a restart until a member responds. It is
 * replaced atomically; reading it fails unless its checksum, its cluster and the document's digest match.
 */
final class CachedDocumentFile {
    /** The file's name in the subscriber's folder. */
    static final String NAME = "followed";

    private static final int FORMAT_VERSION = 1;

    private CachedDocumentFile() {}

    /** Replaces the file atomically and durably. */
    static void write(Disk disk, String cluster, SubscriberState.Cached state) throws IOException {
        Cbor.Writer out = new Cbor.Writer().number(FORMAT_VERSION).text(cluster).number(state.index());
        WatchResponse.writeDrains(out, state.drains());
        ReplicatedState.Document document = state.document();
        out.flag(document != null);
        if (document != null) {
            out.number(document.revision())
                    .number(document.index())
                    .text(document.digest())
                    .bytes(document.content());
        }
        disk.replace(NAME, RecordFrames.frame(out.toByteArray()));
    }

    /**
     * Reads the cached state; {@link SubscriberState.Cached#EMPTY} if there is no file.
     *
     * @throws IOException if the file is damaged, or belongs to another cluster, or has another format version
     */
    static SubscriberState.Cached read(Disk disk, String cluster) throws IOException {
        if (!disk.names().contains(NAME)) {
            return SubscriberState.Cached.EMPTY;
        }
        List<byte[]> records = new ArrayList<>();
        RecordFrames.read(NAME, disk.read(NAME), false, records);
        if (records.size() != 1) {
            throw new IOException(NAME + ": " + records.size() + " records, expected 1");
        }
        Cbor.Reader in = new Cbor.Reader(records.get(0));
        long version = in.number();
        if (version != FORMAT_VERSION) {
            throw new IOException(NAME + ": format version " + version
                    + " is not supported; this program reads version " + FORMAT_VERSION);
        }
        String fileCluster = in.text();
        if (!fileCluster.equals(cluster)) {
            throw new IOException(NAME + ": the file belongs to cluster " + fileCluster + ", expected " + cluster);
        }
        long index = in.number();
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = WatchResponse.readDrains(in);
        ReplicatedState.Document document =
                in.flag() ? new ReplicatedState.Document(in.number(), in.number(), in.text(), in.bytes()) : null;
        if (document != null && !ReplicatedState.digest(document.content()).equals(document.digest())) {
            throw new IOException(NAME + ": the document's content does not match its digest");
        }
        return new SubscriberState.Cached(document, drains, index);
    }
}
