package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Counters are parsed from the formats of /proc. */
class ProcessCountersTest {
    @TempDir
    private Path folder;

    @Test
    void timesAreParsedAfterANameWithSpacesAndParentheses() {
        assertEquals(
                42_000_000_0L, ProcessCounters.cpuNanos("71 (a b) c) S 1 1 1 0 -1 4194560 9 0 0 0 30 12 0 0 20 0"));
        assertEquals(-1, ProcessCounters.cpuNanos(Long.MAX_VALUE));
    }

    @Test
    void countersOfThisProcessArePositive() {
        long pid = ProcessHandle.current().pid();
        assertTrue(ProcessCounters.cpuNanos(pid) > 0);
        assertTrue(ProcessCounters.residentBytes(pid) > 1 << 20);
    }

    @Test
    void fileSizesAreSummedByPrefix() throws Exception {
        Files.write(folder.resolve("history-1"), new byte[10]);
        Files.write(folder.resolve("history-2"), new byte[5]);
        Files.write(folder.resolve("snapshot-2"), new byte[7]);
        assertEquals(15, ProcessCounters.fileBytes(folder, "history-"));
    }
}
