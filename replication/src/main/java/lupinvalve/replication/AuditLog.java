package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditJournal;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;

/**
 * A member's entries on its own disk, one file for each life, each entry forced before it is acted on; and what of them
 * the group has not been told yet, those of earlier lives first. On the group's thread.
 */
final class AuditLog {
    static final String FILE = "audit-";
    private static final int LIVES_MOST = 8, AT_ONCE = 100;
    /**
     * The platform's clock is read once at the start and goes on by the monotonic one: what an hour of those may
     * differ.
     */
    private static final long CLOCK_ERROR = 20_000;

    private final Disk disk;
    private final String pooler, name;
    /** Of this life's files: behind a write that failed nothing more is appended. */
    private int part;

    private final AuditJournal journal;
    private final List<Command.AppendAudit> earlier = new ArrayList<>();
    private Disk.AppendFile out;

    /** @param lifeMicros when this process started, which names its file */
    AuditLog(Disk disk, String pooler, long lifeMicros) throws IOException {
        this.disk = disk;
        this.pooler = pooler;
        name = String.format("%s%020d", FILE, lifeMicros);
        List<String> files =
                disk.names().stream().filter(file -> file.startsWith(FILE)).toList();
        for (int i = 0; i < files.size(); i++) {
            if (i < files.size() - LIVES_MOST) {
                disk.delete(files.get(i));
            } else {
                left(files.get(i));
            }
        }
        journal = new AuditJournal(pooler, lifeMicros, CLOCK_ERROR);
    }

    /** All entries of a file; a torn end is left out. */
    static List<AuditEntry> read(Disk disk, String file) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        RecordFrames.read(file, disk.read(file), true, contents);
        List<AuditEntry> entries = new ArrayList<>();
        for (byte[] content : contents) {
            entries.add(AuditEntry.decode(content));
        }
        return entries;
    }

    private void left(String file) {
        try {
            List<AuditEntry> entries = read(disk, file);
            for (int from = 0; from < entries.size(); from += AT_ONCE) {
                earlier.add(noted(entries.subList(from, Math.min(entries.size(), from + AT_ONCE))));
            }
        } catch (IOException e) {
            Log.warn("store: %s", e.getMessage());
        }
    }

    private static Command.AppendAudit noted(List<AuditEntry> entries) {
        AuditEntry first = entries.get(0);
        return new Command.AppendAudit(
                first.pooler(),
                first.incarnation(),
                first.number(),
                entries.stream().map(AuditEntry::encode).toList());
    }

    /** Notes something and forces it; where that fails, it must not be acted on. */
    void note(AuditEntry.Event what, String version, long index, long nowMicros, String why) throws IOException {
        List<AuditEntry> added = journal.add(what, version, index, nowMicros, why);
        try {
            if (out == null) {
                out = disk.create(name + (part == 0 ? "" : "-" + part));
            }
            for (AuditEntry entry : added) {
                out.write(RecordFrames.frame(entry.encode()));
            }
            out.force();
        } catch (IOException e) {
            part++;
            close();
            out = null;
            throw e;
        }
        Log.info("store: audit: %s %s, change %s%s", what.text(), version, index, why.isEmpty() ? "" : ": " + why);
    }

    /** What the group is to be told next, or null. */
    Command.AppendAudit due() {
        if (!earlier.isEmpty()) {
            return earlier.get(0);
        }
        List<AuditEntry> due = journal.undelivered(AT_ONCE);
        // A summary breaks the numbers' sequence: what follows goes apart.
        for (int i = 1; i < due.size(); i++) {
            if (due.get(i).number() != due.get(i - 1).number() + 1) {
                due = due.subList(0, i);
            }
        }
        return due.isEmpty() ? null : noted(due);
    }

    /** The group holds it. */
    void delivered(Command.AppendAudit what) {
        if (!earlier.remove(what)) {
            journal.markDelivered(what.firstNumber() + what.entries().size() - 1);
        }
    }

    void close() {
        try {
            if (out != null) {
                out.close();
            }
        } catch (IOException e) {
            Log.warn("store: %s", e.getMessage());
        }
    }
}
