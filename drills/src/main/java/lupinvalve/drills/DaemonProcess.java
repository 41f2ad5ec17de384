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

/** One daemon across restarts: the shipped program in a process of its own. Signals only processes that it started. */
public final class DaemonProcess implements Closeable {
    private static final int END_SECONDS = 10;
    private static final int HALF_WRITTEN_MILLIS = 60;
    private static final int SIGNAL_INTERVAL_MILLIS = 150;
    public final String name;
    private final Path config;
    private final Path operator;
    private final Path logFile;
    private final Consumer<String> lineListener;
    /** Main class of the process, with its first arguments; the program's own class unless a launcher replaces it. */
    private final List<String> main = new ArrayList<>(List.of("lupinvalve.cli.Main"));

    private final Map<String, String> environment = new TreeMap<>();
    private int heapMegabytes = 64;
    /** The cores that the process may run on, in taskset's notation; null for all. */
    private String cores;

    private Process process;
    private boolean paused;
    private boolean isDebug;
    private volatile long startedAt;

    /** @param lineListener is called with each line of the log, on the thread that reads the process's output */
    public DaemonProcess(String name, Path folder, Consumer<String> lineListener) {
        this.name = name;
        this.lineListener = lineListener;
        config = folder.resolve(name + ".json");
        operator = folder.resolve(name + ".operator.json");
        logFile = folder.resolve(name + ".log");
    }

    /** Sets what the next starts run: a class, and arguments that precede those of the daemon. */
    public void main(List<String> command) {
        main.clear();
        main.addAll(command);
    }

    /** Limits the heap of the next starts. */
    public void heap(int megabytes) {
        heapMegabytes = megabytes;
    }

    /** Limits the next starts to this many cores, the first ones of the machine. */
    public void cores(int count) {
        cores = "0-" + (count - 1);
    }

    /** Adds variables to the environment of the next starts, which is otherwise that of this process. */
    public void environment(Map<String, String> more) {
        environment.putAll(more);
    }

    /** The process id. Called once the process was started. */
    public long pid() {
        return process.pid();
    }

    /** Makes the next starts log each attempt. */
    public void debug() {
        isDebug = true;
    }

    /** Writes the platform's and the operators' file that the daemon reads. */
    public void files(String platform, String operators) throws IOException {
        Files.writeString(config, platform);
        Files.writeString(operator, operators);
    }

    /** Writes half of the platform's file, as an editor may, then all of it, with a SIGHUP after each. */
    public void reload() throws IOException, InterruptedException {
        byte[] whole = Files.readAllBytes(config);
        Files.write(config, Arrays.copyOf(whole, whole.length / 2));
        signal("HUP");
        Thread.sleep(HALF_WRITTEN_MILLIS);
        Files.write(config, whole);
        signal("HUP");
    }

    private void signal(String signalName) throws IOException, InterruptedException {
        if (runs()) {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Starts the process and a thread that reads its log. */
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
        if (isDebug) {
            command.add("--debug");
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        Process started = process;
        Threads.start("log of " + name, () -> read(started));
    }

    private void read(Process from) throws IOException {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Files.writeString(logFile, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                lineListener.accept(line);
            }
        }
    }

    /** When the process was last started, by {@link System#nanoTime}. */
    public long startedAt() {
        return startedAt;
    }

    /** Whether the process was started and has not ended. */
    public boolean runs() {
        return process != null && process.isAlive();
    }

    /** Whether the process is stopped by {@link #pause}. */
    public boolean paused() {
        return paused;
    }

    /** Stops the process with SIGSTOP, or resumes it with SIGCONT. */
    public void pause(boolean now) throws IOException, InterruptedException {
        if (paused != now) {
            signal(now ? "STOP" : "CONT");
        }
        paused = now && runs();
    }

    /** Resumes a process that has stopped itself. */
    public void wake() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Sends SIGKILL and waits for the end. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        paused = false;
    }

    /** Sends SIGTERM and waits for the end; returns what was wrong with it, or null. */
    public String end() throws IOException, InterruptedException {
        if (!runs()) {
            return name + " does not run";
        }
        // Process.destroy would close the pipe that carries the log.
        signal("TERM");
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
            return name + " did not end in " + END_SECONDS + " s";
        }
        return process.exitValue() == 0 ? null : name + " ended with " + process.exitValue();
    }

    /**
     * Sends SIGHUP and SIGTERM, both again in quick succession and a last SIGHUP, then SIGKILL as early as the platform
     * may send it; returns what was wrong with the end, or null.
     *
     * @param killMillis time from the first SIGTERM to SIGKILL
     */
    public String endBySeries(long killMillis) throws IOException, InterruptedException {
        if (!runs()) {
            return name + " does not run";
        }
        signal("HUP");
        signal("TERM");
        long killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(killMillis);
        for (String next : List.of("HUP", "TERM", "HUP")) {
            Thread.sleep(SIGNAL_INTERVAL_MILLIS);
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
