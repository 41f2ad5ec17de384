package lupinvalve.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LabTest {
    @TempDir
    private Path folder;

    @Test
    void theDiskIsMeasuredAndNothingIsLeft() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, Lab.run(new String[] {"disk", "--folder", folder.toString(), "--seconds", "1", "--json"},
                new PrintStream(out), System.err));
        assertTrue(out.toString().matches("\\{\"batch\":1,\"records_per_s\":\\d+,.*}\\R"), out.toString());
        try (var left = Files.list(folder)) {
            assertEquals(0, left.count());
        }
    }

    @Test
    void whatItCantReadEndsWithTheUsage() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(2, Lab.run(new String[] {"dusk"}, System.out, new PrintStream(err)));
        assertTrue(err.toString().contains("usage: lab disk"));
    }
}
