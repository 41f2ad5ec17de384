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
        first.note(AuditEntry.Event.STARTED, "", 0, 10, "");
        first.note(AuditEntry.Event.ADOPTED, "1-a", 1, 20, "");
        first.delivered(first.due());
        assertNull(first.due());
        first.note(AuditEntry.Event.CUT_OFF, "1-a", 1, 30, "");
        disk.crash(new Random(1));
        AuditLog next = new AuditLog(disk, "p", 2);
        List<AuditEntry> left = entries(next.due());
        assertEquals(
                List.of(1L, 2L, 3L), left.stream().map(AuditEntry::number).toList(), "which came through is not known");
        assertNull(AuditJournal.chainBreak(left));
        next.delivered(next.due());
        next.note(AuditEntry.Event.STARTED, "", 1, 40, "");
        assertEquals(2, entries(next.due()).get(0).incarnation());
    }

    @Test
    void anEntryThatADiskDidNotTakeIsNotActedOnAndStillDelivered() throws IOException {
        AuditLog book = new AuditLog(disk, "p", 1);
        book.note(AuditEntry.Event.STARTED, "", 0, 10, "");
        disk.freeBytes = 30;
        assertThrows(IOException.class, () -> book.note(AuditEntry.Event.ADOPTED, "1-a", 1, 20, ""));
        disk.freeBytes = Long.MAX_VALUE;
        book.note(AuditEntry.Event.ADOPTED, "1-a", 1, 30, "");
        assertNull(AuditJournal.chainBreak(entries(book.due())));
        assertEquals(3, book.due().entries().size());
        // On the disk stands what it took, each file whole but for its end.
        List<AuditEntry> kept = new ArrayList<>();
        for (String file : disk.names()) {
            kept.addAll(AuditLog.read(disk, file));
        }
        assertEquals(List.of(1L, 3L), kept.stream().map(AuditEntry::number).toList());
    }
}
