package lupinvalve.drills;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One daemon through all its lives: the program as it ships, in a process of its own. Ends only what it started. */
public final class DaemonProcess implements Closeable {
    private static final int END_SECONDS = 10, TORN_MILLIS = 60, SERIES_MILLIS = 150;
    public final String name;
    private final Path config, operator, said;
    private final Consumer<String> lines;
    /** The class that is started; the program's own unless a launcher stands before it. */
    private final List<String> main = new ArrayList<>(List.of("lupinvalve.cli.Main"));

    private final Map<String, String> environment = new TreeMap<>();
    private int heapMegabytes = 64;
    /** The cores that it is held to, as taskset names them; null for all. */
    private String cores;

    private Process process;
    private boolean paused;
    private boolean debugs;
    private volatile long startedAt;

    /** @param lines hears each line of the log */
    public DaemonProcess(String name, Path folder, Consumer<String> lines) {
        this.name = name;
        this.lines = lines;
        config = folder.resolve(name + ".json");
        operator = folder.resolve(name + ".operator.json");
        said = folder.resolve(name + ".log");
    }

    /** What its next starts run: a class and its arguments before those of the daemon. */
    public void main(List<String> command) {
        main.clear();
        main.addAll(command);
    }

    /** How much heap its next starts may take. */
    public void heap(int megabytes) {
        heapMegabytes = megabytes;
    }

    /** Holds its next starts to the first so many cores of this machine. */
    public void cores(int count) {
        cores = "0-" + (count - 1);
    }

    /** What the environment of its next starts holds besides this process's own. */
    public void environment(Map<String, String> more) {
        environment.putAll(more);
    }

    /** The process's id; once it was started. */
    public long pid() {
        return process.pid();
    }

    /** Has its next starts log each attempt. */
    public void debug() {
        debugs = true;
    }

    /** Writes the files that it starts from. */
    public void files(String platform, String operators) throws IOException {
        Files.writeString(config, platform);
        Files.writeString(operator, operators);
    }

    /** Leaves a file half written for a moment, as an editor may, and has the daemon read it anew both times. */
    public void reload() throws IOException, InterruptedException {
        byte[] whole = Files.readAllBytes(config);
        Files.write(config, Arrays.copyOf(whole, whole.length / 2));
        signal("HUP");
        Thread.sleep(TORN_MILLIS);
        Files.write(config, whole);
        signal("HUP");
    }

    private void signal(String which) throws IOException, InterruptedException {
        if (runs()) {
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    public void start() throws IOException {
        startedAt = System.nanoTime();
        List<String> command = new ArrayList<>(cores == null ? List.of() : List.of("taskset", "-c", cores));
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(main);
        command.addAll(List.of("serve", "--config", config.toString(), "--operator", operator.toString()));
        if (debugs) {
            command.add("--debug");
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        Process mine = process;
        Threads.start("log of " + name, () -> read(mine));
    }

    private void read(Process from) throws IOException {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Files.writeString(said, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                lines.accept(line);
            }
        }
    }

    /** When its last life began, by {@link System#nanoTime}. */
    public long startedAt() {
        return startedAt;
    }

    public boolean runs() {
        return process != null && process.isAlive();
    }

    public boolean paused() {
        return paused;
    }

    /** Stops the process where it stands, or lets it go on. */
    public void pause(boolean now) throws IOException, InterruptedException {
        if (paused != now) {
            signal(now ? "STOP" : "CONT");
        }
        paused = now && runs();
    }

    /** Lets a process go on that has stopped itself. */
    public void wake() throws IOException, InterruptedException {
        signal("CONT");
    }

    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        paused = false;
    }

    /** SIGTERM; what was wrong with its end, or null. */
    public String end() throws IOException, InterruptedException {
        if (!runs()) {
            return name + " does not run";
        }
        // Process.destroy would close the pipe that its log comes by.
        signal("TERM");
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
            return name + " did not end in " + END_SECONDS + " s";
        }
        return process.exitValue() == 0 ? null : name + " ended with " + process.exitValue();
    }

    /**
     * SIGHUP, SIGTERM and both once more in series, then SIGKILL as early as the platform may send it; what was wrong
     * with its end, or null.
     *
     * @param killMillis from the first SIGTERM to SIGKILL
     */
    public String endBySeries(long killMillis) throws IOException, InterruptedException {
        if (!runs()) {
            return name + " does not run";
        }
        signal("HUP");
        signal("TERM");
        long killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(killMillis);
        for (String next : List.of("HUP", "TERM", "HUP")) {
            Thread.sleep(SERIES_MILLIS);
            signal(next);
        }
        if (process.waitFor(killAt - System.nanoTime(), TimeUnit.NANOSECONDS)) {
            return process.exitValue() == 0 ? null : name + " ended with " + process.exitValue();
        }
        kill();
        return name + " had not ended when SIGKILL came after " + killMillis + " ms";
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
