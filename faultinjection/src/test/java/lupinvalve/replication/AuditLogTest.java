package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lupinvalve.audit.Entry;
import lupinvalve.audit.Journal;
import lupinvalve.statemachine.Change;
import org.junit.jupiter.api.Test;

class AuditLogTest {
    private final MemoryDisk disk = new MemoryDisk();

    private static List<Entry> entries(Change.Noted noted) throws IOException {
        List<Entry> all = new ArrayList<>();
        for (byte[] entry : noted.entries()) {
            all.add(Entry.read(entry));
        }
        return all;
    }

    @Test
    void whatWasForcedIsThereAfterACrashAndIsDeliveredLate() throws IOException {
        AuditLog first = new AuditLog(disk, "p", 1);
        first.note(Entry.What.STARTED, "", 0, 10, "");
        first.note(Entry.What.ADOPTED, "1-a", 1, 20, "");
        first.delivered(first.due());
        assertNull(first.due());
        first.note(Entry.What.CUT_OFF, "1-a", 1, 30, "");
        disk.crash(new Random(1));
        AuditLog next = new AuditLog(disk, "p", 2);
        List<Entry> left = entries(next.due());
        assertEquals(List.of(1L, 2L, 3L), left.stream().map(Entry::number).toList(), "which came through is not known");
        assertNull(Journal.broken(left));
        next.delivered(next.due());
        next.note(Entry.What.STARTED, "", 1, 40, "");
        assertEquals(2, entries(next.due()).get(0).life());
    }

    @Test
    void anEntryThatADiskDidNotTakeIsNotActedOnAndStillDelivered() throws IOException {
        AuditLog book = new AuditLog(disk, "p", 1);
        book.note(Entry.What.STARTED, "", 0, 10, "");
        disk.room = 30;
        assertThrows(IOException.class, () -> book.note(Entry.What.ADOPTED, "1-a", 1, 20, ""));
        disk.room = Long.MAX_VALUE;
        book.note(Entry.What.ADOPTED, "1-a", 1, 30, "");
        assertNull(Journal.broken(entries(book.due())));
        assertEquals(3, book.due().entries().size());
        // On the disk stands what it took, each file whole but for its end.
        List<Entry> kept = new ArrayList<>();
        for (String file : disk.names()) {
            kept.addAll(AuditLog.read(disk, file));
        }
        assertEquals(List.of(1L, 3L), kept.stream().map(Entry::number).toList());
    }
}
