package lupinvalve.replication;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.statemachine.ReplicatedState;

/** Verifies a stopped member's folder for operators, by reading all of its files. Thread-safe. */
public final class FolderVerification {
    private FolderVerification() {}

    /**
     * Verifies a member's log and snapshot; returns a JSON summary of their content.
     *
     * @param withSecrets whether secrets in the configuration are shown rather than masked
     * @throws IOException if the folder is damaged; the message is one line and names the damage
     */
    public static String verify(Path folder, boolean withSecrets) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": no such folder");
        }
        try (Disk disk = new FolderDisk(folder, true)) {
            SegmentedLog log = SegmentedLog.inspect(disk);
            ReplicatedState state = RaftReplica.committedState(log);
            ReplicatedState.Document document = state.document();
            List<String> files = new ArrayList<>(disk.names());
            return Json.object(out -> {
                out.writeStringField("member", log.announcement().member().toString());
                out.writeStringField("phase", log.announcement().phase().statusName());
                out.writeNumberField("term", log.currentTerm());
                out.writeNumberField("last_change", log.lastIndex());
                out.writeNumberField("accepted_change", state.appliedIndex());
                out.writeNumberField("revision", state.revision());
                out.writeStringField("digest", document == null ? "" : document.digest());
                out.writeNumberField("sessions", state.sessionCount());
                out.writeNumberField("holds", state.drains().size());
                out.writeNumberField("files", files.size());
                if (document != null) {
                    out.writeFieldName("document");
                    out.writeRawValue(withSecrets ? Json.text(document.content()) : Json.masked(document.content()));
                }
            });
        }
    }

    /**
     * Verifies a member's audit entries, those of each incarnation separately; returns a JSON summary of them that says
     * whether each incarnation's entries form one unbroken hash chain.
     *
     * @throws IOException if a file is damaged; the message is one line and names the damage
     */
    public static String verifyAudit(Path folder) throws IOException {
        List<AuditEntry> entries = new ArrayList<>();
        try (Disk disk = new FolderDisk(folder, false)) {
            for (String file : disk.names()) {
                if (file.startsWith(AuditLog.FILE_PREFIX)) {
                    entries.addAll(AuditLog.read(disk, file));
                }
            }
        }
        return AuditQueries.verified(entries);
    }
}
