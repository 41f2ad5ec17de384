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

    private static List<AuditEntry> entries(Command.AppendAudit noted) throws IOException {
        List<AuditEntry> all = new ArrayList<>();
        for (byte[] entry : noted.entries()) {
            all.add(AuditEntry.decode(entry));
        }
        return all;
    }

    @Test
    void whatWasForcedIsThereAfterACrashAndIsDeliveredLate() throws IOException {
        AuditLog first = new AuditLog(disk, "p", 1);
        first.append(AuditEntry.Event.STARTED, "", 0, 10, "");
        first.append(AuditEntry.Event.ADOPTED, "1-a", 1, 20, "");
        first.markDelivered(first.nextBatch());
        assertNull(first.nextBatch());
        first.append(AuditEntry.Event.CUT_OFF, "1-a", 1, 30, "");
        disk.crash(new Random(1));
        AuditLog next = new AuditLog(disk, "p", 2);
        List<AuditEntry> left = entries(next.nextBatch());
        assertEquals(
                List.of(1L, 2L, 3L), left.stream().map(AuditEntry::number).toList(), "which came through is not known");
        assertNull(AuditJournal.chainBreak(left));
        next.markDelivered(next.nextBatch());
        next.append(AuditEntry.Event.STARTED, "", 1, 40, "");
        assertEquals(2, entries(next.nextBatch()).get(0).incarnation());
    }

    @Test
    void anEntryThatADiskDidNotTakeIsNotActedOnAndStillDelivered() throws IOException {
        AuditLog log = new AuditLog(disk, "p", 1);
        log.append(AuditEntry.Event.STARTED, "", 0, 10, "");
        disk.freeBytes = 30;
        assertThrows(IOException.class, () -> log.append(AuditEntry.Event.ADOPTED, "1-a", 1, 20, ""));
        disk.freeBytes = Long.MAX_VALUE;
        log.append(AuditEntry.Event.ADOPTED, "1-a", 1, 30, "");
        assertNull(AuditJournal.chainBreak(entries(log.nextBatch())));
        assertEquals(3, log.nextBatch().entries().size());
        // On the disk stands what it took, each file whole but for its end.
        List<AuditEntry> kept = new ArrayList<>();
        for (String file : disk.names()) {
            kept.addAll(AuditLog.read(disk, file));
        }
        assertEquals(List.of(1L, 3L), kept.stream().map(AuditEntry::number).toList());
    }
}
