package lupinvalve.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import lupinvalve.log.Log;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessMarkersTest {
    @TempDir
    private Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @AfterEach
    void restoreLog() {
        Log.setOutput(System.err);
    }

    @Test
    void markerIsIgnoredIfUnreadableOrItsProcessHasEnded() throws Exception {
        Path marker = folder.resolve("p.serving");
        ProcessMarkers markers = new ProcessMarkers(folder.resolve("p"));
        assertFalse(markers.isSuperseded());
        markers.markServing();
        assertEquals(Long.toString(ProcessHandle.current().pid()), Files.readString(marker));
        assertFalse(markers.isSuperseded(), "the marker names this process");
        Process other = new ProcessBuilder("sleep", "60").start();
        Files.writeString(marker, Long.toString(other.pid()));
        assertTrue(markers.isSuperseded());
        other.destroyForcibly().waitFor();
        assertFalse(markers.isSuperseded());
        Log.setOutput(new PrintStream(log, true));
        Files.writeString(marker, "12x");
        assertFalse(markers.isSuperseded());
        assertTrue(log.toString().contains("can't be read"));
    }

    @Test
    void processesDetectEachOtherUntilOneEnds() throws Exception {
        Process old = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.serving"), Long.toString(old.pid()));
        ProcessMarkers next = new ProcessMarkers(folder.resolve("p"));
        assertTrue(next.isSuperseded());
        next.markStarting();
        next.markServing();
        assertTrue(!next.isSuperseded() && next.isAnotherRunning(), "the old process is draining");
        old.destroyForcibly().waitFor();
        assertFalse(next.isAnotherRunning());
        Process third = new ProcessBuilder("sleep", "60").start();
        Files.writeString(folder.resolve("p.starting"), Long.toString(third.pid()));
        assertTrue(
                next.isAnotherRunning() && !next.isSuperseded(), "a process that does not serve yet supersedes none");
        third.destroyForcibly().waitFor();
        assertFalse(next.isAnotherRunning());
    }
}
