package lupinvalve.integration;

import static lupinvalve.integration.PlatformTest.booking;
import static lupinvalve.integration.PlatformTest.calm;
import static lupinvalve.integration.PlatformTest.messages;
import static lupinvalve.integration.PlatformTest.query;
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

/** The program as it ships, told to end at awkward moments. */
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

    private static void signal(String which, Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static String until(BufferedReader log, String words) throws Exception {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(words)) {
                return line;
            }
        }
        throw new AssertionError("ended without: " + words);
    }

    @Test
    void oneThatIsToldToEndBeforeItIsReadyEndsAtOnceAndWell() throws Exception {
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = calm(new DbNode("s-1", true));
                ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            // Discovery takes the call and says nothing, so the list is the one that it had.
            Files.writeString(file, world.config(mute, 1024));
            int heard = 0;
            // On the way to readiness the JVM starts, the path is warmed up, the core starts, and the port is opened.
            for (int millis = 200; millis <= 1400; millis += 200) {
                Process served = serve(file);
                try {
                    served.waitFor(millis, TimeUnit.MILLISECONDS);
                    signal("TERM", served);
                    assertTrue(served.waitFor(10, TimeUnit.SECONDS), "told to end after ms " + millis);
                    // Before the program could hear it, the signal itself ends the JVM.
                    assertTrue(served.exitValue() == 0 || served.exitValue() == 143, "exit " + served.exitValue());
                    heard += served.exitValue() == 0 ? 1 : 0;
                } finally {
                    served.destroyForcibly();
                }
            }
            assertTrue(heard > 0);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    void aSecondEndAndANewConfigurationDuringTheEndTakeNothingFromTheRequestThatIsOut() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.script.add(DbNode.Makes.HANG);
        Path file = Files.createTempFile("lupinvalve", ".json");
        try (World world = calm(primary)) {
            Files.writeString(file, world.config(world.discovery, 1024));
            Process served = serve(file);
            try (BufferedReader log = served.inputReader()) {
                Matcher port = PORT.matcher(until(log, "listens on"));
                assertTrue(port.find());
                try (Socket client = new Socket("127.0.0.1", Integer.parseInt(port.group(1)))) {
                    client.setSoTimeout(10_000);
                    client.getOutputStream()
                            .write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(StandardCharsets.ISO_8859_1));
                    messages(client, 'Z', 1);
                    client.getOutputStream().write(query(booking("out", 1500)));
                    World.await("out", () -> primary.runs.containsKey("out"));
                    signal("TERM", served);
                    until(log, "ending: 1 requests");
                    signal("TERM", served);
                    signal("HUP", served);
                    assertEquals(List.of("E58000", "Z"), messages(client, 'Z', 1));
                    assertEquals(List.of("end"), messages(client, 'Z', 1));
                }
                assertTrue(served.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, served.exitValue());
                assertEquals(1, primary.seen.size());
            } finally {
                served.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }
}
