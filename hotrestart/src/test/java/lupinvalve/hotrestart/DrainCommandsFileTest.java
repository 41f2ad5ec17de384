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
import lupinvalve.maintenance.DrainCommands;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DrainCommandsFileTest {
    private static final DrainCommands CURRENT = new DrainCommands(Set.of("s-9"), Map.of("s-8", 77L));

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
        Log.setOutput(System.err);
    }

    @Test
    void eachProcessReadsAndKeepsWhatTheOtherWrote() throws IOException {
        DrainCommandsFile one = process();
        DrainCommandsFile two = process();
        assertNull(one.readIfChanged(DrainCommands.NONE));
        DrainCommands first = one.update(DrainCommands.NONE, commands -> commands.with(true, "s-1", 5));
        assertNull(one.readIfChanged(first), "its own change is not read again");
        // The second has not looked since: its change must not undo the first.
        DrainCommands both = two.update(DrainCommands.NONE, commands -> commands.with(true, "s-2", 6));
        assertEquals(Set.of("s-1", "s-2"), both.drained());
        assertEquals(both, one.readIfChanged(first));
        DrainCommands back = two.update(both, commands -> commands.with(false, "s-1", 7));
        assertEquals(new DrainCommands(Set.of("s-2"), Map.of("s-1", 7L)), back);
        assertEquals(back, one.readIfChanged(both));
        assertEquals(back, process().readIfChanged(DrainCommands.NONE), "one that starts reads it all");
    }

    @Test
    void aTruncatedFileIsReportedAndReturnsNoDrainedNode() throws IOException {
        DrainCommands whole = process().update(DrainCommands.NONE, commands -> CURRENT.with(true, "s-1", 5));
        byte[] bytes = Files.readAllBytes(file());
        Log.setOutput(new PrintStream(log, true));
        for (int length = 0; length < bytes.length; length++) {
            Files.write(file(), Arrays.copyOf(bytes, length));
            log.reset();
            DrainCommands read = process().readIfChanged(CURRENT);
            // An empty file is all that a process knows before it looks, so that one is no change.
            DrainCommands known = read == null ? CURRENT : read;
            assertTrue(known.drained().contains("s-9"), "cut at " + length);
            assertTrue(length == 0 || log.toString().contains("corrupt"), "cut at " + length);
            assertTrue(whole.drained().containsAll(known.drained()) || length < bytes.length, "cut at " + length);
        }
        Files.writeString(file(), "{\"out\":[\"s-1\"],\"back\":{}} more");
        assertEquals(Set.of("s-1", "s-9"), process().readIfChanged(CURRENT).drained());
        Files.write(file(), new byte[2 << 20]);
        assertEquals(CURRENT.drained(), process().readIfChanged(CURRENT).drained());
    }

    @Test
    void aCommandThatCantBeWrittenIsRejected() throws IOException {
        DrainCommandsFile lost =
                new DrainCommandsFile(folder.resolve("no such folder").resolve("p"));
        assertThrows(
                IOException.class, () -> lost.update(DrainCommands.NONE, commands -> commands.with(true, "s-1", 5)));
    }
}
