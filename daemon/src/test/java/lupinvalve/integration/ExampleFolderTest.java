package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinvalve.cli.Daemon;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** What the README tells a newcomer to do works. */
class ExampleFolderTest {
    @Test
    void the_toy_server_is_served_through_the_pooler() throws Exception {
        Process toy = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "example/ToyServer.java",
                        "0")
                .redirectErrorStream(true)
                .start();
        try (BufferedReader said = new BufferedReader(new InputStreamReader(toy.getInputStream()))) {
            String line = said.readLine();
            while (line != null && !line.startsWith("discovery on")) {
                line = said.readLine();
            }
            assertNotNull(line);
            Matcher address = Pattern.compile("127\\.0\\.0\\.1:\\d+").matcher(line);
            assertTrue(address.find());
            Path file = Files.createTempFile("example", ".json");
            Files.writeString(
                    file,
                    Files.readString(Path.of("example/config.json"))
                            .replace("127.0.0.1:5432", "127.0.0.1:0")
                            .replace("127.0.0.1:8500", address.group()));
            Daemon daemon = new Daemon(NodeConfig.read(file, null), OperatorConfig.NONE);
            Files.delete(file);
            daemon.start();
            try (Connection client = DriverManager.getConnection("jdbc:postgresql://127.0.0.1:"
                    + daemon.address().getPort() + "/ledger?user=api&preferQueryMode=simple&sslmode=disable"
                    + "&assumeMinServerVersion=9.0")) {
                String written = "INSERT INTO rows (handle, blob) VALUES ('k1', 'washed') RETURNING blob "
                        + "/* id=1,c=pickup-booking,t=acme,d=2000,cluster=1 */";
                World.await("the list is told", () -> {
                    try {
                        return "washed".equals(PlatformTest.end(client, written));
                    } catch (SQLException e) {
                        throw new IllegalStateException(e);
                    }
                });
                long after = System.currentTimeMillis();
                assertEquals(
                        "washed",
                        PlatformTest.end(
                                client,
                                "SELECT blob FROM rows WHERE handle = 'k1' "
                                        + "/* id=2,c=own-order-view,t=acme,d=900,cluster=1,after=" + after + " */"));
            } finally {
                daemon.stop();
            }
        } finally {
            toy.destroy();
        }
    }

    @Test
    void told_to_stop_the_program_ends_with_0() throws Exception {
        Path file = Files.createTempFile("example", ".json");
        // Nothing answers at port 1: a pooler starts without its discovery, and stops without it.
        Files.writeString(
                file,
                Files.readString(Path.of("example/config.json"))
                        .replace("127.0.0.1:5432", "127.0.0.1:0")
                        .replace("127.0.0.1:8500", "127.0.0.1:1"));
        Process program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lupinvalve.cli.Main",
                        "serve",
                        "--config",
                        file.toString())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader said = new BufferedReader(new InputStreamReader(program.getInputStream()))) {
            String line = said.readLine();
            while (line != null && !line.contains("listens on")) {
                line = said.readLine();
            }
            assertNotNull(line);
            program.destroy();
            assertTrue(program.waitFor(10, TimeUnit.SECONDS));
            assertEquals(0, program.exitValue());
        } finally {
            program.destroyForcibly();
            Files.delete(file);
        }
    }

    @Test
    void the_operators_files_can_be_read() throws Exception {
        OperatorConfig deployed = OperatorConfig.read(Files.readAllBytes(Path.of("deploy/operator.json")));
        assertNotNull(deployed.dnsSd());
        OperatorConfig follows = OperatorConfig.read(Files.readAllBytes(Path.of("deploy/operator-subscriber.json")));
        assertEquals(OperatorConfig.Role.SUBSCRIBER, follows.store().role());
        assertNull(follows.store().listen());
        OperatorConfig example = OperatorConfig.read(Files.readAllBytes(Path.of("example/operator.json")));
        assertEquals(1, example.store().members().size());
        OperatorConfig accepted = example.accepted(Files.readAllBytes(Path.of("example/shared.json")));
        assertEquals("portal", accepted.mysql().user());
        assertEquals(example.mysql().listen(), accepted.mysql().listen());
        assertEquals(example.store(), accepted.store());
        // What only one member's file says is not acted on.
        assertNull(example.accepted(null).mysql());
    }
}
