package lupinvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decision module stays small enough to be read. */
class PolicyFileTest {
    @Test
    void moduleKeepsToItsSizeAndLineLength() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("daemon/src/main/java/lupinvalve/Router.java"));
        long counted = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(counted <= 950, "lines that are not blank: " + counted);
        lines.forEach(line -> assertTrue(line.length() <= 110, line));
    }
}
