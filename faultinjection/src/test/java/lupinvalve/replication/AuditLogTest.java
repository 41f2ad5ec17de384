package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditJournal;
import lupinvalve.statemachine.Command;
import org.junit.jupiter.api.Test;

class AuditLogTest {
    private final SimulatedDisk disk = new SimulatedDisk();

    private static List<AuditEntry> entries(Command.AppendAudit command) throws IOException {
        List<AuditEntry> all = new ArrayList<>();
        for (byte[] entry : command.entries()) {
            all.add(AuditEntry.decode(entry));
        }
        return all;
    }

    @Test
    void forcedEntriesSurviveACrashAndAreDeliveredAfterTheRestart() throws IOException {
        AuditLog first = new AuditLog(disk, "p", 1);
        first.append(AuditEntry.Event.STARTED, "", 0, 10, "");
        first.append(AuditEntry.Event.ADOPTED, "1-a", 1, 20, "");
        first.markDelivered(first.nextBatch());
        assertNull(first.nextBatch());
        first.append(AuditEntry.Event.CUT_OFF, "1-a", 1, 30, "");
        disk.crash(new Random(1));
        AuditLog second = new AuditLog(disk, "p", 2);
        List<AuditEntry> undelivered = entries(second.nextBatch());
        assertEquals(
                List.of(1L, 2L, 3L),
                undelivered.stream().map(AuditEntry::number).toList(),
                "deliveries before the crash are not recorded on disk");
        assertNull(AuditJournal.chainBreak(undelivered));
        second.markDelivered(second.nextBatch());
        second.append(AuditEntry.Event.STARTED, "", 1, 40, "");
        assertEquals(2, entries(second.nextBatch()).get(0).incarnation());
    }

    @Test
    void appendingToAFullDiskFailsAndTheEntryIsStillDelivered() throws IOException {
        AuditLog log = new AuditLog(disk, "p", 1);
        log.append(AuditEntry.Event.STARTED, "", 0, 10, "");
        disk.freeBytes = 30;
        assertThrows(IOException.class, () -> log.append(AuditEntry.Event.ADOPTED, "1-a", 1, 20, ""));
        disk.freeBytes = Long.MAX_VALUE;
        log.append(AuditEntry.Event.ADOPTED, "1-a", 1, 30, "");
        assertNull(AuditJournal.chainBreak(entries(log.nextBatch())));
        assertEquals(3, log.nextBatch().entries().size());
        // The disk has the entries whose writes succeeded; the torn record is the last of its file and is ignored.
        List<AuditEntry> storedEntries = new ArrayList<>();
        for (String file : disk.names()) {
            storedEntries.addAll(AuditLog.read(disk, file));
        }
        assertEquals(
                List.of(1L, 3L), storedEntries.stream().map(AuditEntry::number).toList());
    }
}
