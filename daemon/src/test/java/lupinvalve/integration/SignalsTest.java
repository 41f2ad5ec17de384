package lupinvalve.integration;

import static lupinvalve.integration.PlatformTest.booking;
import static lupinvalve.integration.PlatformTest.newWorld;
import static lupinvalve.integration.PlatformTest.query;
import static lupinvalve.integration.PlatformTest.readMessages;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Signals to the program during its start and its shutdown. */
class SignalsTest {
    private static final Pattern PORT = Pattern.compile("listens on 127.0.0.1:(\\d+)");

    private static Process serve(Path file) throws Exception {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lupinvalve.cli.Main",
                        "serve",
                        "--config",
                        file.toString())
                .redirectErrorStream(true)
                .start();
    }

    private static void signal(String name, Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static String awaitLine(BufferedReader log, String text) throws Exception {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("log ended without: " + text);
    }

    @Test
    void sigtermBeforeReadinessEndsTheProgramAtOnce() throws Exception {
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = newWorld(new DbNode("s-1", true));
                ServerSocket silentDiscovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            // Discovery accepts the call and does not answer, so the endpoint list of the file is used.
            Files.writeString(file, world.config(silentDiscovery, 1024));
            int cleanExits = 0;
            // Until readiness the JVM starts, the core starts, the request path is warmed up, and the listener is
            // opened.
            for (int millis = 200; millis <= 1400; millis += 200) {
                Process process = serve(file);
                try {
                    process.waitFor(millis, TimeUnit.MILLISECONDS);
                    signal("TERM", process);
                    assertTrue(process.waitFor(10, TimeUnit.SECONDS), "SIGTERM after ms " + millis);
                    // Before the program has installed its shutdown hook, the signal itself ends the JVM with 143.
                    assertTrue(process.exitValue() == 0 || process.exitValue() == 143, "exit " + process.exitValue());
                    cleanExits += process.exitValue() == 0 ? 1 : 0;
                } finally {
                    process.destroyForcibly();
                }
            }
            assertTrue(cleanExits > 0);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    void furtherSignalsDuringShutdownDoNotAffectTheRequestInFlight() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = newWorld(primary)) {
            Files.writeString(file, world.config(world.discovery, 1024));
            Process process = serve(file);
            try (BufferedReader log = process.inputReader()) {
                Matcher port = PORT.matcher(awaitLine(log, "listens on"));
                assertTrue(port.find());
                try (Socket client = new Socket("127.0.0.1", Integer.parseInt(port.group(1)))) {
                    client.setSoTimeout(10_000);
                    client.getOutputStream()
                            .write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(StandardCharsets.ISO_8859_1));
                    readMessages(client, 'Z', 1);
                    client.getOutputStream().write(query(booking("out", 1500)));
                    World.await("request in flight", () -> primary.runs.containsKey("out"));
                    signal("TERM", process);
                    awaitLine(log, "shutting down: 1 open requests");
                    signal("TERM", process);
                    signal("HUP", process);
                    assertEquals(List.of("E58000", "Z"), readMessages(client, 'Z', 1));
                    assertEquals(List.of("end"), readMessages(client, 'Z', 1));
                }
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
                assertEquals(1, primary.seen.size());
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }
}
