package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;

/** The file with a member's identity: cluster, name, disk id, and how far the group's bootstrap is. */
final class IdentityFile {
    /** The file's name in the member's folder. */
    static final String NAME = "identity";

    private static final int FORMAT_VERSION = 1;

    private IdentityFile() {}

    /**
     * Reads the file.
     *
     * @param cluster that it must be of; null for any
     * @param member that it must be of; null for any
     * @throws IOException if it is damaged, of another cluster or member, or of a later format
     */
    static ClusterBootstrap.Announcement read(Disk disk, String cluster, String member) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        RecordFrames.read(NAME, disk.read(NAME), false, contents);
        if (contents.size() != 1) {
            throw new RecordFrames.CorruptException(NAME + ": " + contents.size() + " records in place of one");
        }
        Cbor.Reader in = new Cbor.Reader(contents.get(0));
        long format = in.number();
        if (format != FORMAT_VERSION) {
            throw new IOException(NAME + ": format " + format + "; this program reads " + FORMAT_VERSION);
        }
        String fileCluster = in.text();
        ClusterBootstrap.Announcement announcement = ClusterBootstrap.Announcement.read(in);
        if (cluster != null && !fileCluster.equals(cluster)) {
            throw new IOException(NAME + ": of the cluster " + fileCluster + ", not of " + cluster);
        }
        String fileMember = announcement.member().name();
        if (member != null && !fileMember.equals(member)) {
            throw new IOException(NAME + ": of the member " + fileMember + ", not of " + member);
        }
        return announcement;
    }

    /** Replaces the file. */
    static void write(Disk disk, String cluster, ClusterBootstrap.Announcement announcement) throws IOException {
        Cbor.Writer out = new Cbor.Writer().number(FORMAT_VERSION).text(cluster);
        announcement.write(out);
        disk.replace(NAME, RecordFrames.frame(out.toByteArray()));
    }
}
