package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditJournal;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;

/**
 * A member's audit entries on its own disk, in one file per process incarnation. Each entry is forced to disk before
 * the event that it records takes effect. Also holds the entries that the Raft group has not committed yet; those of
 * earlier incarnations are delivered first. On the group's thread.
 */
final class AuditLog {
    /** Prefix of the names of audit files; the start time of the incarnation follows, in Unix microseconds. */
    static final String FILE_PREFIX = "audit-";

    private static final int MAX_INCARNATIONS = 8;
    private static final int MAX_BATCH_ENTRIES = 100;
    /**
     * Assumed error of a pooler's clock. The system clock is read once at the start and advanced by the monotonic
     * clock; the two may differ by this much after an hour.
     */
    private static final long CLOCK_ERROR_MICROS = 20_000;

    private final Disk disk;
    private final String fileName;
    private final AuditJournal journal;
    private final List<Command.AppendAudit> earlierIncarnations = new ArrayList<>();
    /** Number of this incarnation's current file: after a failed write the next entry goes to a new file. */
    private int filePart;

    /** Null until the next entry creates it. */
    private Disk.AppendFile currentFile;

    /** @param incarnationMicros when this process started, in Unix microseconds; part of its files' names */
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

    /** Reads all entries of a file; a record at its end that a crash has torn is ignored. */
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
            Log.warn("store: audit entries of an earlier run can't be read and are not delivered: %s", e.getMessage());
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

    /** Appends an entry and forces it to disk; if this throws, the recorded event must not take effect. */
    void append(AuditEntry.Event event, String version, long index, long nowMicros, String reason) throws IOException {
        List<AuditEntry> added = journal.add(event, version, index, nowMicros, reason);
        try {
            if (currentFile == null) {
                currentFile = disk.create(fileName + (filePart == 0 ? "" : "-" + filePart));
            }
            for (AuditEntry entry : added) {
                currentFile.write(RecordFrames.frame(entry.encode()));
            }
            currentFile.force();
        } catch (IOException e) {
            filePart++;
            close();
            currentFile = null;
            throw e;
        }
        Log.info(
                "store: audit: %s %s, change %s%s",
                event.text(), version, index, reason.isEmpty() ? "" : ": " + reason);
    }

    /** The next batch of entries to propose to the Raft group, or null if there is none. */
    Command.AppendAudit nextBatch() {
        if (!earlierIncarnations.isEmpty()) {
            return earlierIncarnations.get(0);
        }
        List<AuditEntry> undelivered = journal.undelivered(MAX_BATCH_ENTRIES);
        // A batch carries only its first entry's number, so the numbers in it must be consecutive. Where a summary of
        // dropped entries breaks the sequence, the entries after the gap go into a later batch.
        for (int i = 1; i < undelivered.size(); i++) {
            if (undelivered.get(i).number() != undelivered.get(i - 1).number() + 1) {
                undelivered = undelivered.subList(0, i);
            }
        }
        return undelivered.isEmpty() ? null : batch(undelivered);
    }

    /** Marks a batch as committed by the Raft group. */
    void markDelivered(Command.AppendAudit batch) {
        if (!earlierIncarnations.remove(batch)) {
            journal.markDelivered(batch.firstNumber() + batch.entries().size() - 1);
        }
    }

    /** Closes the current file; all appended entries are already durable. */
    void close() {
        try {
            if (currentFile != null) {
                currentFile.close();
            }
        } catch (IOException e) {
            Log.warn("store: closing the audit file failed: %s", e.getMessage());
        }
    }
}
