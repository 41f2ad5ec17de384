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

class OrdersFileTest {
    private static final DrainCommands HELD = new DrainCommands(Set.of("s-9"), Map.of("s-8", 77L));

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    private OrdersFile process() {
        return new OrdersFile(folder.resolve("p"));
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
        OrdersFile one = process();
        OrdersFile two = process();
        assertNull(one.changed(DrainCommands.NONE));
        DrainCommands first = one.change(DrainCommands.NONE, held -> held.with(true, "s-1", 5));
        assertNull(one.changed(first), "its own change is no news");
        // The second has not looked since: its change must not undo the first.
        DrainCommands both = two.change(DrainCommands.NONE, held -> held.with(true, "s-2", 6));
        assertEquals(Set.of("s-1", "s-2"), both.drained());
        assertEquals(both, one.changed(first));
        DrainCommands back = two.change(both, held -> held.with(false, "s-1", 7));
        assertEquals(new DrainCommands(Set.of("s-2"), Map.of("s-1", 7L)), back);
        assertEquals(back, one.changed(both));
        assertEquals(back, process().changed(DrainCommands.NONE), "one that starts reads it all");
    }

    @Test
    void aFileCutAnywhereIsReportedAndBringsNothingBack() throws IOException {
        DrainCommands whole = process().change(DrainCommands.NONE, held -> HELD.with(true, "s-1", 5));
        byte[] bytes = Files.readAllBytes(file());
        Log.to(new PrintStream(log, true));
        for (int length = 0; length < bytes.length; length++) {
            Files.write(file(), Arrays.copyOf(bytes, length));
            log.reset();
            DrainCommands read = process().changed(HELD);
            // An empty file is all that a process knows before it looks, so that one is no news.
            DrainCommands held = read == null ? HELD : read;
            assertTrue(held.drained().contains("s-9"), "cut at " + length);
            assertTrue(length == 0 || log.toString().contains("spoilt"), "cut at " + length);
            assertTrue(whole.drained().containsAll(held.drained()) || length < bytes.length, "cut at " + length);
        }
        Files.writeString(file(), "{\"out\":[\"s-1\"],\"back\":{}} more");
        assertEquals(Set.of("s-1", "s-9"), process().changed(HELD).drained());
        Files.write(file(), new byte[2 << 20]);
        assertEquals(HELD.drained(), process().changed(HELD).drained());
    }

    @Test
    void anOrderThatCantBeWrittenIsNotGiven() throws IOException {
        OrdersFile lost = new OrdersFile(folder.resolve("no such folder").resolve("p"));
        assertThrows(IOException.class, () -> lost.change(DrainCommands.NONE, held -> held.with(true, "s-1", 5)));
    }

    @Test
    void aNoteOfAProcessThatHasEndedOrCantBeReadNamesNobody() throws Exception {
        Path note = folder.resolve("p.serving");
        Incumbent incumbent = new Incumbent(folder.resolve("p"));
        assertFalse(incumbent.another());
        incumbent.serves();
        assertEquals(Long.toString(ProcessHandle.current().pid()), Files.readString(note));
        assertFalse(incumbent.another(), "it is this process");
        Process other = new ProcessBuilder("sleep", "60").start();
        Files.writeString(note, Long.toString(other.pid()));
        assertTrue(incumbent.another());
        other.destroyForcibly().waitFor();
        assertFalse(incumbent.another());
        Log.to(new PrintStream(log, true));
        Files.writeString(note, "12x");
        assertFalse(incumbent.another());
        assertTrue(log.toString().contains("can't be read"));
    }

    @Test
    void bothProcessesKnowOfEachOtherUntilOneHasEnded() throws Exception {
        Process old = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.serving"), Long.toString(old.pid()));
        Incumbent next = new Incumbent(folder.resolve("p"));
        assertTrue(next.another());
        next.starts();
        next.serves();
        assertTrue(!next.another() && next.accompanied(), "the old one is on its way out");
        old.destroyForcibly().waitFor();
        assertFalse(next.accompanied());
        Process third = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.starting"), Long.toString(third.pid()));
        assertTrue(next.accompanied() && !next.another(), "one that has not said yes takes nobody's place");
        third.destroyForcibly().waitFor();
        assertFalse(next.accompanied());
    }
}
