package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;

/** The file with a member's identity: cluster, name, disk id, and the phase of the Raft group's bootstrap. */
final class IdentityFile {
    /** The file's name in the member's folder. */
    static final String NAME = "identity";

    private static final int FORMAT_VERSION = 1;

    private IdentityFile() {}

    /**
     * Reads the file.
     *
     * @param cluster the expected cluster; null for any
     * @param member the expected member's name; null for any
     * @throws IOException if the file is damaged, belongs to another cluster or member, or has another format version
     */
    static ClusterBootstrap.Announcement read(Disk disk, String cluster, String member) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        RecordFrames.read(NAME, disk.read(NAME), false, contents);
        if (contents.size() != 1) {
            throw new RecordFrames.CorruptException(NAME + ": " + contents.size() + " records, expected 1");
        }
        Cbor.Reader in = new Cbor.Reader(contents.get(0));
        long formatVersion = in.number();
        if (formatVersion != FORMAT_VERSION) {
            throw new IOException(NAME + ": format version " + formatVersion
                    + " is not supported; this program reads version " + FORMAT_VERSION);
        }
        String fileCluster = in.text();
        ClusterBootstrap.Announcement announcement = ClusterBootstrap.Announcement.read(in);
        if (cluster != null && !fileCluster.equals(cluster)) {
            throw new IOException(NAME + ": the file belongs to cluster " + fileCluster + ", expected " + cluster);
        }
        String fileMember = announcement.member().name();
        if (member != null && !fileMember.equals(member)) {
            throw new IOException(NAME + ": the file belongs to member " + fileMember + ", expected " + member);
        }
        return announcement;
    }

    /** Replaces the file atomically and durably. */
    static void write(Disk disk, String cluster, ClusterBootstrap.Announcement announcement) throws IOException {
        Cbor.Writer out = new Cbor.Writer().number(FORMAT_VERSION).text(cluster);
        announcement.write(out);
        disk.replace(NAME, RecordFrames.frame(out.toByteArray()));
    }
}
