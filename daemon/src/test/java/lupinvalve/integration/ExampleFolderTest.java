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

/** The steps of the README work with the files in the example folder. */
class ExampleFolderTest {
    @Test
    void toyServerIsReachableThroughThePooler() throws Exception {
        Process toyServer = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "example/ToyServer.java",
                        "0")
                .redirectErrorStream(true)
                .start();
        try (BufferedReader log = new BufferedReader(new InputStreamReader(toyServer.getInputStream()))) {
            String line = log.readLine();
            while (line != null && !line.startsWith("discovery on")) {
                line = log.readLine();
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
                World.await("endpoint list received", () -> {
                    try {
                        return "washed".equals(PlatformTest.queryOutcome(client, written));
                    } catch (SQLException e) {
                        throw new IllegalStateException(e);
                    }
                });
                long writtenAtMillis = System.currentTimeMillis();
                assertEquals(
                        "washed",
                        PlatformTest.queryOutcome(
                                client,
                                "SELECT blob FROM rows WHERE handle = 'k1' "
                                        + "/* id=2,c=own-order-view,t=acme,d=900,cluster=1,after=" + writtenAtMillis
                                        + " */"));
            } finally {
                daemon.stop();
            }
        } finally {
            toyServer.destroy();
        }
    }

    @Test
    void sigtermEndsTheProgramWithExitCode0() throws Exception {
        Path file = Files.createTempFile("example", ".json");
        // Nothing listens on port 1: the pooler must start and stop without discovery.
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
        try (BufferedReader log = new BufferedReader(new InputStreamReader(program.getInputStream()))) {
            String line = log.readLine();
            while (line != null && !line.contains("listens on")) {
                line = log.readLine();
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
    void operatorFilesAreValid() throws Exception {
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
        // Shared sections in one member's file have no effect.
        assertNull(example.accepted(null).mysql());
    }
}
