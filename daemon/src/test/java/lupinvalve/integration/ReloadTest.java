package lupinvalve.integration;

import static lupinvalve.integration.PlatformTest.calm;
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

/**
 * The program as it ships, its files changed while it runs: with SIGHUP heard, and with SIGHUP ignored from the start.
 */
class ReloadTest {
    private static final String MOVED = "discovery is at";
    private static final String STAYS = "the old one stays";
    private static final List<String> WATCHING = List.of("lupinvalve.cli.FileWatch", "lupinvalve.cli.SettledChange");
    private static final List<String> REREADING = List.of("lupinvalve.cli.RereadPauses");
    /** Whatever the build itself was started with: the signal is heard. */
    private static final List<String> HEARD = List.of("env", "--default-signal=HUP");
    /** As nohup leaves it. */
    private static final List<String> IGNORED = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    @TempDir
    private Path folder;

    /** Two discoveries that take calls and say nothing, and the program, which starts with the first. */
    private final class Running implements Closeable {
        final ServerSocket first = mute();
        final ServerSocket second = mute();
        final Path config = folder.resolve("config.json");
        final Path operator = folder.resolve("operator.json");
        private final World world = calm(new DbNode("s-1", true));
        private final Path log = folder.resolve("log");
        private final Path loaded = folder.resolve("loaded");
        private final Process process;

        Running(List<String> starter) throws Exception {
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
                says("listens on", 1);
                first.accept().close();
            } catch (IOException | InterruptedException | AssertionError e) {
                close();
                throw e;
            }
        }

        private static ServerSocket mute() throws IOException {
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            server.setSoTimeout(10_000);
            return server;
        }

        String moved() throws IOException {
            return world.config(second, 1024);
        }

        String half() throws IOException {
            return moved().substring(0, moved().length() / 2);
        }

        void signal(String which) throws Exception {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                            .start()
                            .waitFor());
        }

        /** How many lines of the log have these words. */
        long said(String words) {
            return lines(log).stream().filter(line -> line.contains(words)).count();
        }

        void says(String words, int times) throws InterruptedException {
            World.await(words + " in " + lines(log), () -> said(words) >= times);
        }

        List<String> loaded(List<String> names) {
            return names.stream()
                    .filter(name -> lines(loaded).stream().anyMatch(line -> line.contains(name + " ")))
                    .toList();
        }

        /** Lets it serve to its end, which takes seconds, in which everything that is still due comes. */
        void ends() throws Exception {
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
    void whereTheSignalIsIgnoredChangedFilesAreTakenOverOnceTheyStandStill() throws Exception {
        try (Running running = new Running(IGNORED)) {
            assertEquals(
                    1,
                    running.said("SIGHUP is ignored by whoever started this process: "
                            + "configuration files are looked at every second"));
            Files.writeString(running.operator, "{\"nothing\": 1}");
            running.says(STAYS, 1);
            Files.writeString(running.operator, "{}");
            running.says(MOVED, 1);
            Files.writeString(running.config, running.moved());
            running.second.accept().close();
            running.says(MOVED, 2);
            assertEquals(1, running.said(STAYS));
            assertEquals(WATCHING, running.loaded(WATCHING));
        }
    }

    @Test
    void whereTheSignalIsHeardNothingWatchesAndAFileThatStaysUnusableIsReportedOnce() throws Exception {
        try (Running running = new Running(HEARD)) {
            Files.writeString(running.config, running.moved());
            running.signal("HUP");
            running.second.accept().close();
            assertEquals(List.of(), running.loaded(REREADING));
            Files.writeString(running.config, running.half());
            running.signal("HUP");
            running.says(STAYS, 1);
            running.ends();
            assertEquals(REREADING, running.loaded(REREADING));
            assertEquals(1, running.said(STAYS));
            assertEquals(0, running.said("SIGHUP"));
            assertEquals(List.of(), running.loaded(WATCHING));
        }
    }

    @Test
    void aFileThatWasHalfWrittenAsTheSignalCameIsTakenOverOnceItIsWhole() throws Exception {
        try (Running running = new Running(HEARD)) {
            Files.writeString(running.config, running.half());
            running.signal("HUP");
            running.says(STAYS, 1);
            // The second signal goes on in place of the first, so the file is taken over once.
            running.signal("HUP");
            running.says(STAYS, 2);
            Files.writeString(running.config, running.moved());
            running.second.accept().close();
            running.ends();
            assertEquals(1, running.said(MOVED));
            assertEquals(2, running.said(STAYS));
        }
    }
}
