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

/** A process of hollow poolers, from the side of who started it. Ends only what it started. */
final class HostProcess implements Closeable {
    private static final long REPORT_SECONDS = 20;
    private static final long END_SECONDS = 15;
    private final Process process;
    private final PrintStream commands;
    private final Consumer<HostEvent> events;
    private final LinkedBlockingQueue<HostReport> reports = new LinkedBlockingQueue<>();

    /**
     * Starts the process.
     *
     * @param errors a file for what it writes on standard error
     * @param events hears what its poolers tell
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
            // It has ended.
        }
    }

    void tell(HostCommand command) {
        synchronized (commands) {
            commands.println(Json.line(command));
        }
    }

    /** Its counters now. */
    HostReport report() throws IOException, InterruptedException {
        tell(HostCommand.report());
        HostReport report = reports.poll(REPORT_SECONDS, TimeUnit.SECONDS);
        if (report == null) {
            throw new IOException("a host of hollow poolers did not report in " + REPORT_SECONDS + " s"
                    + (process.isAlive() ? "" : ": it has ended with " + process.exitValue()));
        }
        return report;
    }

    @Override
    public void close() {
        tell(HostCommand.end());
        commands.close();
        try {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
