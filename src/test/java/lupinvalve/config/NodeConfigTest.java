package lupinvalve.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What divides a fleet's shares must be right, or every pooler takes too much: nothing is guessed for it. */
class NodeConfigTest {
    @TempDir
    private Path folder;

    private Path changed(String from, String to) throws IOException {
        String text = Files.readString(Path.of("example/config.json"));
        String other = text.replaceFirst(from, to);
        assertTrue(!text.equals(other), from);
        return Files.writeString(folder.resolve("config.json"), other);
    }

    private void wrong(String from, String to, String... told) throws IOException {
        Path file = changed(from, to);
        String message = assertThrows(IOException.class, () -> NodeConfig.read(file, null)).getMessage();
        assertTrue(message.startsWith(file.toString()), message);
        for (String part : told) {
            assertTrue(message.contains(part), message);
        }
    }

    @Test
    void numberAndCountOfPoolersAreChecked() throws IOException {
        wrong("\"n_instances\": *[0-9]+", "\"n_instances\": 0", "n_instances", "0");
        wrong("\"n_instances\": *[0-9]+", "\"n_instances\": \"many\"", "n_instances");
        wrong("\"n_instances\": *[0-9]+,", "", "n_instances", "missing");
        wrong("\"me\": *[0-9]+", "\"me\": 7", "me 7");
        wrong("\"me\": *[0-9]+,", "", "me", "missing");
        wrong("\"cores\": *[0-9.]+", "\"cores\": 0", "limits.cores", "0");
    }

    @Test
    void expectedRateIsTheTenantsSharesOverThePoolers() throws IOException {
        Path file = changed("\"n_instances\": *[0-9]+", "\"n_instances\": 4");
        assertEquals(292 / 4.0, NodeConfig.read(file, null).site().ratePerSecond());
    }
}
