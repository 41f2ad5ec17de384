package lupinvalve.scale;

import com.sun.management.OperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;
import lupinvalve.net.Net;

/**
 * Process that runs many hollow poolers: reads commands from standard input, writes events to standard output, and
 * exits at the end of its input.
 */
public final class HollowHost {
    private static final int WORKER_THREADS = 16;
    private static final int MAX_OPEN_ATTEMPTS = 50;
    private static final long OPEN_RETRY_DELAY_MILLIS = 200;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long STOP_TIMEOUT_SECONDS = 10;
    private final Design design;
    private final String cluster;
    private final PrintStream out;
    private final Map<String, HollowPooler> poolers = new ConcurrentHashMap<>();
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKER_THREADS);
    private final ExecutorService reports = Executors.newSingleThreadExecutor();
    private long stoppedBytesOut;
    private long stoppedBytesIn;
    private long stoppedMessagesOut;
    private volatile boolean ended;

    HollowHost(Design design, String cluster, PrintStream out) {
        this.design = design;
        this.cluster = cluster;
        this.out = out;
    }

    /**
     * Arguments: the name of the design and the name of the cluster. The environment variable SCALE_LOG may set the log
     * level.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Log.setLevel(Log.Level.valueOf(System.getenv().getOrDefault("SCALE_LOG", "ERROR")));
        PrintStream out = new PrintStream(
                new java.io.FileOutputStream(java.io.FileDescriptor.out), false, StandardCharsets.UTF_8);
        HollowHost host = new HollowHost(Design.valueOf(args[0].toUpperCase(java.util.Locale.ROOT)), args[1], out);
        host.serve(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        System.exit(0);
    }

    private void serve(BufferedReader in) throws IOException, InterruptedException {
        Thread poller = new Thread(this::pollLeases, "looks");
        poller.setDaemon(true);
        poller.start();
        for (String line = in.readLine(); line != null && !ended; line = in.readLine()) {
            HostCommand command = Json.MAPPER.readValue(line, HostCommand.class);
            switch (command.what()) {
                case START -> workers.execute(() -> start(command));
                case STOP -> workers.execute(() -> stop(command.pooler()));
                case REPORT -> reports.execute(() -> send(HostEvent.report(report())));
                case END -> ended = true;
                default -> throw new IOException("not a command: " + line);
            }
        }
        ended = true;
        poolers.keySet().forEach(name -> workers.execute(() -> stop(name)));
        workers.shutdown();
        workers.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void start(HostCommand command) {
        try {
            HollowPooler pooler = new HollowPooler(command.pooler(), openWithRetry(command), this::send);
            pooler.start();
            poolers.put(command.pooler(), pooler);
        } catch (IOException | RuntimeException e) {
            send(HostEvent.failed(command.pooler(), String.valueOf(e)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Retries for up to 10 s, as a daemon's service manager does: the previous instance may still hold the lock on its
     * folder.
     */
    private OpenPlane openWithRetry(HostCommand command) throws IOException, InterruptedException {
        for (int i = 1; i < MAX_OPEN_ATTEMPTS; i++) {
            try {
                return design.open(command, cluster);
            } catch (IOException e) {
                Thread.sleep(OPEN_RETRY_DELAY_MILLIS);
            }
        }
        return design.open(command, cluster);
    }

    private void stop(String name) {
        HollowPooler pooler = poolers.remove(name);
        if (pooler != null) {
            pooler.stop();
            addStopped(pooler.traffic());
        }
    }

    private synchronized void addStopped(Net.Traffic traffic) {
        stoppedBytesOut += traffic.bytesOut();
        stoppedBytesIn += traffic.bytesIn();
        stoppedMessagesOut += traffic.messagesOut();
    }

    private void pollLeases() {
        try {
            while (!ended) {
                poolers.values().forEach(HollowPooler::pollLease);
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(HostEvent event) {
        String line = Json.line(event);
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }

    private synchronized HostReport report() {
        long bytesOut = stoppedBytesOut;
        long bytesIn = stoppedBytesIn;
        long messagesOut = stoppedMessagesOut;
        for (HollowPooler pooler : poolers.values()) {
            Net.Traffic traffic = pooler.traffic();
            bytesOut += traffic.bytesOut();
            bytesIn += traffic.bytesIn();
            messagesOut += traffic.messagesOut();
        }
        long cpuNanos = ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
        // Collects garbage after reading the processor time, because the collection is part of the measurement and not
        // of the load.
        System.gc();
        long heapBytes =
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        return new HostReport(cpuNanos, residentBytes(), heapBytes, poolers.size(), bytesOut, bytesIn, messagesOut);
    }

    private static long residentBytes() {
        try {
            return ProcessCounters.residentBytes(Path.of("/proc/self/status"));
        } catch (IOException e) {
            Log.error("scale: resident memory of the host process not readable: %s; reporting 0", e.getMessage());
            return 0;
        }
    }
}
