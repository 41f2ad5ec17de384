package lupinvalve.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
    private static final DrainCommands HELD = new DrainCommands(Set.of("s-9"), Map.of("s-8", 77L));

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
    void logAsEver() {
        Log.to(System.err);
    }

    @Test
    void eachProcessReadsAndKeepsWhatTheOtherWrote() throws IOException {
        DrainCommandsFile one = process();
        DrainCommandsFile two = process();
        assertNull(one.readIfChanged(DrainCommands.NONE));
        DrainCommands first = one.update(DrainCommands.NONE, held -> held.with(true, "s-1", 5));
        assertNull(one.readIfChanged(first), "its own change is no news");
        // The second has not looked since: its change must not undo the first.
        DrainCommands both = two.update(DrainCommands.NONE, held -> held.with(true, "s-2", 6));
        assertEquals(Set.of("s-1", "s-2"), both.drained());
        assertEquals(both, one.readIfChanged(first));
        DrainCommands back = two.update(both, held -> held.with(false, "s-1", 7));
        assertEquals(new DrainCommands(Set.of("s-2"), Map.of("s-1", 7L)), back);
        assertEquals(back, one.readIfChanged(both));
        assertEquals(back, process().readIfChanged(DrainCommands.NONE), "one that starts reads it all");
    }

    @Test
    void aFileCutAnywhereIsReportedAndBringsNothingBack() throws IOException {
        DrainCommands whole = process().update(DrainCommands.NONE, held -> HELD.with(true, "s-1", 5));
        byte[] bytes = Files.readAllBytes(file());
        Log.to(new PrintStream(log, true));
        for (int length = 0; length < bytes.length; length++) {
            Files.write(file(), Arrays.copyOf(bytes, length));
            log.reset();
            DrainCommands read = process().readIfChanged(HELD);
            // An empty file is all that a process knows before it looks, so that one is no news.
            DrainCommands held = read == null ? HELD : read;
            assertTrue(held.drained().contains("s-9"), "cut at " + length);
            assertTrue(length == 0 || log.toString().contains("spoilt"), "cut at " + length);
            assertTrue(whole.drained().containsAll(held.drained()) || length < bytes.length, "cut at " + length);
        }
        Files.writeString(file(), "{\"out\":[\"s-1\"],\"back\":{}} more");
        assertEquals(Set.of("s-1", "s-9"), process().readIfChanged(HELD).drained());
        Files.write(file(), new byte[2 << 20]);
        assertEquals(HELD.drained(), process().readIfChanged(HELD).drained());
    }

    @Test
    void anOrderThatCantBeWrittenIsNotGiven() throws IOException {
        DrainCommandsFile lost =
                new DrainCommandsFile(folder.resolve("no such folder").resolve("p"));
        assertThrows(IOException.class, () -> lost.update(DrainCommands.NONE, held -> held.with(true, "s-1", 5)));
    }

    @Test
    void aNoteOfAProcessThatHasEndedOrCantBeReadNamesNobody() throws Exception {
        Path note = folder.resolve("p.serving");
        ProcessMarkers incumbent = new ProcessMarkers(folder.resolve("p"));
        assertFalse(incumbent.isSuperseded());
        incumbent.markServing();
        assertEquals(Long.toString(ProcessHandle.current().pid()), Files.readString(note));
        assertFalse(incumbent.isSuperseded(), "it is this process");
        Process other = new ProcessBuilder("sleep", "60").start();
        Files.writeString(note, Long.toString(other.pid()));
        assertTrue(incumbent.isSuperseded());
        other.destroyForcibly().waitFor();
        assertFalse(incumbent.isSuperseded());
        Log.to(new PrintStream(log, true));
        Files.writeString(note, "12x");
        assertFalse(incumbent.isSuperseded());
        assertTrue(log.toString().contains("can't be read"));
    }

    @Test
    void bothProcessesKnowOfEachOtherUntilOneHasEnded() throws Exception {
        Process old = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.serving"), Long.toString(old.pid()));
        ProcessMarkers next = new ProcessMarkers(folder.resolve("p"));
        assertTrue(next.isSuperseded());
        next.markStarting();
        next.markServing();
        assertTrue(!next.isSuperseded() && next.isAnotherRunning(), "the old one is on its way out");
        old.destroyForcibly().waitFor();
        assertFalse(next.isAnotherRunning());
        Process third = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.starting"), Long.toString(third.pid()));
        assertTrue(next.isAnotherRunning() && !next.isSuperseded(), "one that has not said yes takes nobody's place");
        third.destroyForcibly().waitFor();
        assertFalse(next.isAnotherRunning());
    }
}
