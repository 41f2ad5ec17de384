package lupinvalve.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Parent's handle of a process that runs hollow poolers. Terminates only the process that it started. */
final class HostProcess implements Closeable {
    private static final long REPORT_TIMEOUT_SECONDS = 20;
    private static final long EXIT_TIMEOUT_SECONDS = 15;
    private final Process process;
    private final PrintStream commands;
    private final Consumer<HostEvent> events;
    private final LinkedBlockingQueue<HostReport> reports = new LinkedBlockingQueue<>();

    /**
     * Starts the process.
     *
     * @param errors file that receives the process's standard error
     * @param events receives the poolers' events, on the reader thread
     */
    HostProcess(Design design, String cluster, int heapMegabytes, Path errors, Consumer<HostEvent> events)
            throws IOException {
        this.events = events;
        process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx" + heapMegabytes + "m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        HollowHost.class.getName(),
                        design.word(),
                        cluster))
                .redirectError(errors.toFile())
                .start();
        commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "host " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                HostEvent event = Json.MAPPER.readValue(line, HostEvent.class);
                if (event.what() == HostEvent.What.REPORT) {
                    reports.add(event.report());
                } else {
                    events.accept(event);
                }
            }
        } catch (JsonProcessingException e) {
            events.accept(HostEvent.failed("host", "it told what is no event: " + e.getOriginalMessage()));
        } catch (IOException e) {
            // The process has exited.
        }
    }

    void send(HostCommand command) {
        synchronized (commands) {
            commands.println(Json.line(command));
        }
    }

    /** Requests and returns the process's current counters. */
    HostReport report() throws IOException, InterruptedException {
        send(HostCommand.report());
        HostReport report = reports.poll(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (report == null) {
            throw new IOException("a host of hollow poolers did not report in " + REPORT_TIMEOUT_SECONDS + " s"
                    + (process.isAlive() ? "" : ": it has ended with " + process.exitValue()));
        }
        return report;
    }

    @Override
    public void close() {
        send(HostCommand.end());
        commands.close();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
