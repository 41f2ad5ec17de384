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
    void operatorsAddressIsCheckedAndTheVariableGoesBeforeTheFile() throws IOException {
        for (String value : new String[] {"\"nowhere\"", "\"127.0.0.1\"", "\"127.0.0.1:\"", "\"127.0.0.1:70000\"",
                "\"ops.example:9600\"", "\"\"", "9600", "{}"}) {
            wrong("\\{", "{\"operator\": " + value + ",", "operator", value.replace("\"", "").replace("{}", ""));
        }
        NodeConfig plain = NodeConfig.read(changed("\"n0\"", "\"n9\""), null);
        assertEquals(null, plain.operator());
        assertEquals(null, plain.withOperator("NODE_OPERATOR", "").operator());
        NodeConfig file = NodeConfig.read(changed("\\{", "{\"operator\": \"127.0.0.1:9600\","), null);
        assertEquals(9600, file.operator().getPort());
        assertEquals(9600, file.withOperator("NODE_OPERATOR", null).operator().getPort());
        assertEquals(9601, file.withOperator("NODE_OPERATOR", "127.0.0.2:9601").operator().getPort());
        String message = assertThrows(IOException.class, () -> file.withOperator("NODE_OPERATOR", "there")).getMessage();
        assertEquals("NODE_OPERATOR: there is no address and port", message);
    }

    @Test
    void expectedRateIsTheTenantsSharesOverThePoolers() throws IOException {
        Path file = changed("\"n_instances\": *[0-9]+", "\"n_instances\": 4");
        assertEquals(292 / 4.0, NodeConfig.read(file, null).site().ratePerSecond());
    }
}
