package lupinvalve.integration;

import static lupinvalve.integration.PlatformTest.newWorld;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Changes the configuration files of a running program, with SIGHUP handled and with SIGHUP ignored from the start. */
class ReloadTest {
    private static final String MOVED = "discovery is at";
    private static final String STAYS = "the old one stays";
    private static final List<String> WATCHING = List.of("lupinvalve.cli.FileWatch", "lupinvalve.cli.SettledChange");
    private static final List<String> REREADING = List.of("lupinvalve.cli.RereadPauses");
    /** Resets SIGHUP to its default, whatever the build itself was started with, so that the program handles it. */
    private static final List<String> SIGHUP_HANDLED = List.of("env", "--default-signal=HUP");
    /** Ignores SIGHUP, as nohup does. */
    private static final List<String> SIGHUP_IGNORED = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    @TempDir
    private Path folder;

    /** Two discovery servers that accept calls and do not answer, and the program, which starts with the first. */
    private final class RunningProgram implements Closeable {
        final ServerSocket first = silentServer();
        final ServerSocket second = silentServer();
        final Path config = folder.resolve("config.json");
        final Path operator = folder.resolve("operator.json");
        private final World world = newWorld(new DbNode("s-1", true));
        private final Path log = folder.resolve("log");
        private final Path loaded = folder.resolve("loaded");
        private final Process process;

        RunningProgram(List<String> starter) throws Exception {
            Files.writeString(config, world.config(first, 1024));
            Files.writeString(operator, "{}");
            List<String> command = new ArrayList<>(starter);
            command.addAll(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xlog:class+load=info:file=" + loaded,
                    "-cp",
                    System.getProperty("java.class.path"),
                    "lupinvalve.cli.Main",
                    "serve",
                    "--config",
                    config.toString(),
                    "--operator",
                    operator.toString()));
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            try {
                awaitLines("listens on", 1);
                first.accept().close();
            } catch (IOException | InterruptedException | AssertionError e) {
                close();
                throw e;
            }
        }

        private static ServerSocket silentServer() throws IOException {
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            server.setSoTimeout(10_000);
            return server;
        }

        String configWithSecondDiscovery() throws IOException {
            return world.config(second, 1024);
        }

        String truncatedConfig() throws IOException {
            return configWithSecondDiscovery()
                    .substring(0, configWithSecondDiscovery().length() / 2);
        }

        void signal(String name) throws Exception {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                            .start()
                            .waitFor());
        }

        /** Number of log lines that contain the text. */
        long countLines(String text) {
            return lines(log).stream().filter(line -> line.contains(text)).count();
        }

        void awaitLines(String text, int times) throws InterruptedException {
            World.await(text + " in " + lines(log), () -> countLines(text) >= times);
        }

        List<String> loaded(List<String> names) {
            return names.stream()
                    .filter(name -> lines(loaded).stream().anyMatch(line -> line.contains(name + " ")))
                    .toList();
        }

        /** Shuts the program down and waits for its end; during these seconds all pending work completes. */
        void shutDown() throws Exception {
            signal("TERM");
            assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            world.close();
            first.close();
            second.close();
        }
    }

    private static List<String> lines(Path file) {
        try {
            return Files.exists(file) ? Files.readAllLines(file) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void ignoredSignalMakesTheProgramPollForStableChanges() throws Exception {
        try (RunningProgram program = new RunningProgram(SIGHUP_IGNORED)) {
            assertEquals(
                    1,
                    program.countLines("SIGHUP was set to be ignored before this process started: "
                            + "configuration files are polled every second"));
            Files.writeString(program.operator, "{\"nothing\": 1}");
            program.awaitLines(STAYS, 1);
            Files.writeString(program.operator, "{}");
            program.awaitLines(MOVED, 1);
            Files.writeString(program.config, program.configWithSecondDiscovery());
            program.second.accept().close();
            program.awaitLines(MOVED, 2);
            assertEquals(1, program.countLines(STAYS));
            assertEquals(WATCHING, program.loaded(WATCHING));
        }
    }

    @Test
    void handledSignalDisablesPollingAndUnusableFileIsReportedOnce() throws Exception {
        try (RunningProgram program = new RunningProgram(SIGHUP_HANDLED)) {
            Files.writeString(program.config, program.configWithSecondDiscovery());
            program.signal("HUP");
            program.second.accept().close();
            assertEquals(List.of(), program.loaded(REREADING));
            Files.writeString(program.config, program.truncatedConfig());
            program.signal("HUP");
            program.awaitLines(STAYS, 1);
            program.shutDown();
            assertEquals(REREADING, program.loaded(REREADING));
            assertEquals(1, program.countLines(STAYS));
            assertEquals(0, program.countLines("SIGHUP"));
            assertEquals(List.of(), program.loaded(WATCHING));
        }
    }

    @Test
    void fileThatWasTruncatedAtTheSignalIsAppliedOnceItIsComplete() throws Exception {
        try (RunningProgram program = new RunningProgram(SIGHUP_HANDLED)) {
            Files.writeString(program.config, program.truncatedConfig());
            program.signal("HUP");
            program.awaitLines(STAYS, 1);
            // The second signal retries in place of the first, so the file is applied once.
            program.signal("HUP");
            program.awaitLines(STAYS, 2);
            Files.writeString(program.config, program.configWithSecondDiscovery());
            program.second.accept().close();
            program.shutDown();
            assertEquals(1, program.countLines(MOVED));
            assertEquals(2, program.countLines(STAYS));
        }
    }
}
