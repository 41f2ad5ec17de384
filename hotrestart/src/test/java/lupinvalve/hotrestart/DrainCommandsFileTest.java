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

    private DrainCommandsFile newFile() {
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
    void eachProcessReadsAndKeepsCommandsOfTheOther() throws IOException {
        DrainCommandsFile firstFile = newFile();
        DrainCommandsFile secondFile = newFile();
        assertNull(firstFile.readIfChanged(DrainCommands.NONE));
        DrainCommands first = firstFile.update(DrainCommands.NONE, commands -> commands.with(true, "s-1", 5));
        assertNull(firstFile.readIfChanged(first), "a process does not read its own change again");
        // The second process has not read the file since: its change must not undo the first.
        DrainCommands both = secondFile.update(DrainCommands.NONE, commands -> commands.with(true, "s-2", 6));
        assertEquals(Set.of("s-1", "s-2"), both.drained());
        assertEquals(both, firstFile.readIfChanged(first));
        DrainCommands back = secondFile.update(both, commands -> commands.with(false, "s-1", 7));
        assertEquals(new DrainCommands(Set.of("s-2"), Map.of("s-1", 7L)), back);
        assertEquals(back, firstFile.readIfChanged(both));
        assertEquals(back, newFile().readIfChanged(DrainCommands.NONE), "a new process reads all commands");
    }

    @Test
    void truncatedFileIsReportedAndRestoresNoDrainedNode() throws IOException {
        DrainCommands whole = newFile().update(DrainCommands.NONE, commands -> CURRENT.with(true, "s-1", 5));
        byte[] bytes = Files.readAllBytes(file());
        Log.setOutput(new PrintStream(log, true));
        for (int length = 0; length < bytes.length; length++) {
            Files.write(file(), Arrays.copyOf(bytes, length));
            log.reset();
            DrainCommands read = newFile().readIfChanged(CURRENT);
            // An empty file equals the initial content, so the process sees no change.
            DrainCommands known = read == null ? CURRENT : read;
            assertTrue(known.drained().contains("s-9"), "cut at " + length);
            assertTrue(length == 0 || log.toString().contains("corrupt"), "cut at " + length);
            assertTrue(whole.drained().containsAll(known.drained()) || length < bytes.length, "cut at " + length);
        }
        Files.writeString(file(), "{\"out\":[\"s-1\"],\"back\":{}} more");
        assertEquals(Set.of("s-1", "s-9"), newFile().readIfChanged(CURRENT).drained());
        Files.write(file(), new byte[2 << 20]);
        assertEquals(CURRENT.drained(), newFile().readIfChanged(CURRENT).drained());
    }

    @Test
    void commandThatCantBeWrittenIsRejected() throws IOException {
        DrainCommandsFile fileInMissingDirectory =
                new DrainCommandsFile(folder.resolve("no such folder").resolve("p"));
        assertThrows(
                IOException.class,
                () -> fileInMissingDirectory.update(DrainCommands.NONE, commands -> commands.with(true, "s-1", 5)));
    }
}
