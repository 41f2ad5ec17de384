package lupinvalve.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command that writes the tables of the capacity pages. */
class CapacityCommandTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Lab.run(args, new PrintStream(out), new PrintStream(err));
    }

    @Test
    void aDifferingTableIsReportedByCheckAndOtherwiseWritten(@TempDir Path folder) throws IOException {
        Path page = folder.resolve("page.md");
        String modifiedPage = Files.readString(PAGE)
                .replace("| link of a control machine | 125 MB/s |", "| link of a control machine | 1 B/s |");
        Files.writeString(page, modifiedPage);
        assertEquals(1, run("capacity", "--page", page.toString(), "--check"));
        assertEquals(page + ": guesses differs\n", out.toString());
        assertEquals(modifiedPage, Files.readString(page), "a check changes nothing");
        Path places = Files.copy(Path.of("docs/capacity/places.md"), folder.resolve("places.md"));
        assertEquals(0, run("capacity", "--page", page.toString(), "--places", places.toString()));
        assertNotEquals(modifiedPage, Files.readString(page));
        assertEquals(Files.readString(PAGE), Files.readString(page));
    }

    @Test
    void badInputIsReportedInOneLineWithOptionAndValue(@TempDir Path folder) throws IOException {
        assertEquals(2, run("capacity", "--slopes", "no-such-file"));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().contains("--slopes no-such-file"), err.toString());
        err.reset();
        Path page = Files.writeString(folder.resolve("page.md"), "no marks");
        assertEquals(2, run("capacity", "--page", page.toString()));
        assertTrue(err.toString().contains("--page " + page) && err.toString().contains("no mark for"), err.toString());
    }
}
