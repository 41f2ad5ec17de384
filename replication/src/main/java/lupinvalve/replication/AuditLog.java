package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditJournal;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;

/**
 * A member's audit entries on its own disk, one file for each incarnation, each entry forced before what it tells of is
 * done; and those of them that the group does not hold yet, earlier incarnations' first. On the group's thread.
 */
final class AuditLog {
    /** What names of audit files begin with. */
    static final String FILE_PREFIX = "audit-";

    private static final int MAX_INCARNATIONS = 8;
    private static final int MAX_BATCH_ENTRIES = 100;
    /**
     * By how much a pooler's clock may be off: the platform's is read once at the start and advanced by the monotonic
     * one, and this is what the two may differ by after an hour.
     */
    private static final long CLOCK_ERROR_MICROS = 20_000;

    private final Disk disk;
    private final String fileName;
    private final AuditJournal journal;
    private final List<Command.AppendAudit> earlierIncarnations = new ArrayList<>();
    /** Which of this incarnation's files: nothing is appended behind a write that failed. */
    private int part;

    private Disk.AppendFile out;

    /** @param incarnationMicros when this process started, which names its file */
    AuditLog(Disk disk, String pooler, long incarnationMicros) throws IOException {
        this.disk = disk;
        fileName = String.format("%s%020d", FILE_PREFIX, incarnationMicros);
        List<String> files = disk.names().stream()
                .filter(file -> file.startsWith(FILE_PREFIX))
                .toList();
        for (int i = 0; i < files.size(); i++) {
            if (i < files.size() - MAX_INCARNATIONS) {
                disk.delete(files.get(i));
            } else {
                restore(files.get(i));
            }
        }
        journal = new AuditJournal(pooler, incarnationMicros, CLOCK_ERROR_MICROS);
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

    private void restore(String file) {
        try {
            List<AuditEntry> entries = read(disk, file);
            for (int from = 0; from < entries.size(); from += MAX_BATCH_ENTRIES) {
                int end = Math.min(entries.size(), from + MAX_BATCH_ENTRIES);
                earlierIncarnations.add(batch(entries.subList(from, end)));
            }
        } catch (IOException e) {
            Log.warn("store: %s", e.getMessage());
        }
    }

    private static Command.AppendAudit batch(List<AuditEntry> entries) {
        AuditEntry first = entries.get(0);
        return new Command.AppendAudit(
                first.pooler(),
                first.incarnation(),
                first.number(),
                entries.stream().map(AuditEntry::encode).toList());
    }

    /** Appends an entry and forces it; where that throws, what it tells of must not be done. */
    void append(AuditEntry.Event event, String version, long index, long nowMicros, String reason) throws IOException {
        List<AuditEntry> added = journal.add(event, version, index, nowMicros, reason);
        try {
            if (out == null) {
                out = disk.create(fileName + (part == 0 ? "" : "-" + part));
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
        Log.info(
                "store: audit: %s %s, change %s%s",
                event.text(), version, index, reason.isEmpty() ? "" : ": " + reason);
    }

    /** What is to be proposed to the group next, or null. */
    Command.AppendAudit nextBatch() {
        if (!earlierIncarnations.isEmpty()) {
            return earlierIncarnations.get(0);
        }
        List<AuditEntry> undelivered = journal.undelivered(MAX_BATCH_ENTRIES);
        // A summary breaks the numbers' sequence: what follows goes apart.
        for (int i = 1; i < undelivered.size(); i++) {
            if (undelivered.get(i).number() != undelivered.get(i - 1).number() + 1) {
                undelivered = undelivered.subList(0, i);
            }
        }
        return undelivered.isEmpty() ? null : batch(undelivered);
    }

    /** The group holds a batch. */
    void markDelivered(Command.AppendAudit batch) {
        if (!earlierIncarnations.remove(batch)) {
            journal.markDelivered(batch.firstNumber() + batch.entries().size() - 1);
        }
    }

    /** Closes the file; what was appended is on it. */
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
