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
    void theDiskIsMeasuredAndNoFileIsLeft() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(
                0,
                Lab.run(
                        new String[] {"disk", "--folder", folder.toString(), "--seconds", "1", "--json"},
                        new PrintStream(out),
                        System.err));
        assertTrue(out.toString().matches("\\{\"batch\":1,\"records_per_s\":\\d+,.*}\\R"), out.toString());
        try (var files = Files.list(folder)) {
            assertEquals(0, files.count());
        }
    }

    @Test
    void anUnknownCommandPrintsTheUsage() {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(2, Lab.run(new String[] {"dusk"}, System.out, new PrintStream(err)));
        assertTrue(err.toString().contains("usage: lab disk"));
    }

    /** Runs {@code lab scale} with invalid options; returns its one line of error output. */
    private static String scaleError(String... options) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        String[] args = new String[options.length + 1];
        args[0] = "scale";
        System.arraycopy(options, 0, args, 1, options.length);
        assertEquals(2, Lab.run(args, System.out, new PrintStream(err)));
        assertEquals(1, err.toString().lines().count(), err.toString());
        return err.toString();
    }

    @Test
    void invalidScaleOptionsAreReportedInOneLineWithOptionAndValue() {
        assertTrue(scaleError("--poolers", "many").contains("\"many\" is not a valid value for \"--poolers\""));
        assertTrue(scaleError("--poolers", "0").contains("--poolers is 0; 1 to 2000 are possible"));
        assertTrue(scaleError("--seconds", "4").contains("--seconds is 4"));
        assertTrue(scaleError("--daemons", "6").contains("--daemons is 6"));
        assertTrue(scaleError("--design", "mesh").contains("--design is mesh; members, subscriptions are possible"));
        assertTrue(scaleError("--load", "none").contains("--load is none"));
        assertTrue(scaleError("--change-factor", "-1").contains("--change-factor is -1.0"));
        assertTrue(scaleError("--sizes", "5,x").contains("--sizes is 5,x"));
        assertTrue(scaleError("--config", "no-such-file").contains("--config is no-such-file"));
    }
}
