package lupinvalve.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import lupinvalve.log.Log;
import lupinvalve.maintenance.Maintenance.Orders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DrainCommandsFileTest {
    private static final Orders CURRENT = new Orders(Set.of("s-9"), Map.of("s-8", 77L));

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    private DrainCommandsFile process() {
        return new DrainCommandsFile(folder.resolve("p"));
    }

    private Path file() {
        return folder.resolve("p.orders.json");
    }

    @AfterEach
    void restoreLog() {
        Log.to(System.err);
    }

    @Test
    void eachProcessReadsAndKeepsWhatTheOtherWrote() throws IOException {
        DrainCommandsFile one = process();
        DrainCommandsFile two = process();
        assertNull(one.readIfChanged(Orders.NONE));
        Orders first = one.update(Orders.NONE, commands -> commands.with(true, "s-1", 5));
        assertNull(one.readIfChanged(first), "its own change is not read again");
        // The second has not looked since: its change must not undo the first.
        Orders both = two.update(Orders.NONE, commands -> commands.with(true, "s-2", 6));
        assertEquals(Set.of("s-1", "s-2"), both.out());
        assertEquals(both, one.readIfChanged(first));
        Orders back = two.update(both, commands -> commands.with(false, "s-1", 7));
        assertEquals(new Orders(Set.of("s-2"), Map.of("s-1", 7L)), back);
        assertEquals(back, one.readIfChanged(both));
        assertEquals(back, process().readIfChanged(Orders.NONE), "one that starts reads it all");
    }

    @Test
    void aTruncatedFileIsReportedAndReturnsNoDrainedNode() throws IOException {
        Orders whole = process().update(Orders.NONE, commands -> CURRENT.with(true, "s-1", 5));
        byte[] bytes = Files.readAllBytes(file());
        Log.to(new PrintStream(log, true));
        for (int length = 0; length < bytes.length; length++) {
            Files.write(file(), Arrays.copyOf(bytes, length));
            log.reset();
            Orders read = process().readIfChanged(CURRENT);
            // An empty file is all that a process knows before it looks, so that one is no change.
            Orders known = read == null ? CURRENT : read;
            assertTrue(known.out().contains("s-9"), "cut at " + length);
            assertTrue(length == 0 || log.toString().contains("corrupt"), "cut at " + length);
            assertTrue(whole.out().containsAll(known.out()) || length < bytes.length, "cut at " + length);
        }
        Files.writeString(file(), "{\"out\":[\"s-1\"],\"back\":{}} more");
        assertEquals(Set.of("s-1", "s-9"), process().readIfChanged(CURRENT).out());
        Files.write(file(), new byte[2 << 20]);
        assertEquals(CURRENT.out(), process().readIfChanged(CURRENT).out());
    }

    @Test
    void aCommandThatCantBeWrittenIsRejected() throws IOException {
        DrainCommandsFile lost =
                new DrainCommandsFile(folder.resolve("no such folder").resolve("p"));
        assertThrows(IOException.class, () -> lost.update(Orders.NONE, commands -> commands.with(true, "s-1", 5)));
    }
}
