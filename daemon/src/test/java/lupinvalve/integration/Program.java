package lupinvalve.integration;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The program as it ships, in a process of its own that ends with the test. */
final class Program implements Closeable {
    private static final long SAYS_SECONDS = 20;
    private final Path config;
    private final Process process;
    private final BufferedReader log;
    private final List<String> lines = new ArrayList<>();

    private Program(Path config, Process process) {
        this.config = config;
        this.process = process;
        log = process.inputReader();
    }

    static Program serve(String configuration) throws IOException {
        return serve(configuration, Map.of());
    }

    /** @param environment is added to the test's own */
    static Program serve(String configuration, Map<String, String> environment) throws IOException {
        Path config = Files.createTempFile("lupinvalve", ".json");
        Files.writeString(config, configuration);
        ProcessBuilder command = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lupinvalve.cli.Main",
                        "serve",
                        "--config",
                        config.toString())
                .redirectErrorStream(true);
        command.environment().putAll(environment);
        return new Program(config, command.start());
    }

    /** The next line of the log that has these words; a program that does not say them in time is ended. */
    String until(String words) throws IOException {
        CompletableFuture<?> late = CompletableFuture.runAsync(
                process::destroyForcibly, CompletableFuture.delayedExecutor(SAYS_SECONDS, TimeUnit.SECONDS));
        try {
            return next(words);
        } finally {
            late.cancel(false);
        }
    }

    private String next(String words) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            lines.add(line);
            if (line.contains(words)) {
                return line;
            }
        }
        throw new AssertionError("ended without: " + words + " in " + lines);
    }

    /** The lines of the log that were read so far. */
    List<String> lines() {
        return List.copyOf(lines);
    }

    void signal(String which) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Its exit value, once it has ended. */
    int exit(long seconds) throws InterruptedException, TimeoutException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new TimeoutException("did not end in " + seconds + " s");
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.deleteIfExists(config);
    }
}
