package lupinvalve.integration;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Runs the program's serve subcommand in a separate process, which is killed on close. */
final class Program implements Closeable {
    private static final long LOG_TIMEOUT_SECONDS = 20;
    private final Path config;
    private final Process process;
    private final BufferedReader log;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    private Program(Path config, Process process) {
        this.config = config;
        this.process = process;
        log = process.inputReader();
    }

    static Program serve(String configuration) throws IOException {
        return serve(configuration, Map.of());
    }

    /** @param environment variables in addition to the test's environment */
    static Program serve(String configuration, Map<String, String> environment) throws IOException {
        return start("lupinvalve.cli.Main", configuration, environment);
    }

    /** Serves by another main class, which takes the arguments of the program's own. */
    static Program serveBy(Class<?> main, String configuration) throws IOException {
        return start(main.getName(), configuration, Map.of());
    }

    private static Program start(String mainClass, String configuration, Map<String, String> environment)
            throws IOException {
        Path config = Files.createTempFile("lupinvalve", ".json");
        Files.writeString(config, configuration);
        ProcessBuilder command = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        mainClass,
                        "serve",
                        "--config",
                        config.toString())
                .redirectErrorStream(true);
        command.environment().putAll(environment);
        return new Program(config, command.start());
    }

    /** Returns the next line of the log that contains the text; kills the process if it does not appear in time. */
    String until(String text) throws IOException {
        CompletableFuture<?> timeout = CompletableFuture.runAsync(
                process::destroyForcibly, CompletableFuture.delayedExecutor(LOG_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        try {
            return next(text);
        } finally {
            timeout.cancel(false);
        }
    }

    private String next(String text) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            lines.add(line);
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("log ended without: " + text + " in " + lines);
    }

    /** Starts to read the rest of the log, so that the program is not held up by it. */
    void readLog() {
        World.thread(() -> {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                lines.add(line);
            }
        });
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Writes a line to the program's standard input. */
    void sendLine(String line) throws IOException {
        process.outputWriter().write(line + "\n");
        process.outputWriter().flush();
    }

    /** The lines of the log that have been read so far. */
    List<String> lines() {
        return List.copyOf(lines);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the end of the process and returns its exit code. */
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
