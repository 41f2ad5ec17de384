package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;

/** The file that says whose folder it is, and how far the founding of the member's group is. */
final class IdentityFile {
    static final String NAME = "identity";
    private static final int FORMAT = 1;

    private IdentityFile() {}

    /** Reads it; fails where it is not that of this cluster and member. Either is not looked at where it is null. */
    static ClusterBootstrap.Announcement read(Disk disk, String cluster, String member) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        RecordFrames.read(NAME, disk.read(NAME), false, contents);
        if (contents.size() != 1) {
            throw new RecordFrames.CorruptException(NAME + ": " + contents.size() + " records in place of one");
        }
        Cbor.Reader in = new Cbor.Reader(contents.get(0));
        long format = in.number();
        if (format != FORMAT) {
            throw new IOException(NAME + ": format " + format + "; this program reads " + FORMAT);
        }
        String of = in.text();
        ClusterBootstrap.Announcement word = ClusterBootstrap.Announcement.read(in);
        if (cluster != null && !of.equals(cluster)) {
            throw new IOException(NAME + ": of the cluster " + of + ", not of " + cluster);
        }
        if (member != null && !word.member().name().equals(member)) {
            throw new IOException(NAME + ": of the member " + word.member().name() + ", not of " + member);
        }
        return word;
    }

    /** Puts it in the place of the one before. */
    static void write(Disk disk, String cluster, ClusterBootstrap.Announcement word) throws IOException {
        Cbor.Writer out = new Cbor.Writer().number(FORMAT).text(cluster);
        word.write(out);
        disk.replace(NAME, RecordFrames.frame(out.toByteArray()));
    }
}
