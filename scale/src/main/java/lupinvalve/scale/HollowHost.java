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
 * A process of many hollow poolers: hears commands on its standard input, tells events on its output, ends with its
 * input.
 */
public final class HollowHost {
    private static final int WORKERS = 16;
    private static final int OPENINGS_MOST = 50;
    private static final long OPENING_MILLIS = 200;
    private static final long LOOK_MILLIS = 20;
    private static final long END_SECONDS = 10;
    private final Design design;
    private final String cluster;
    private final PrintStream out;
    private final Map<String, HollowPooler> poolers = new ConcurrentHashMap<>();
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS);
    private final ExecutorService reports = Executors.newSingleThreadExecutor();
    private long goneOut;
    private long goneIn;
    private long goneMessages;
    private volatile boolean over;

    HollowHost(Design design, String cluster, PrintStream out) {
        this.design = design;
        this.cluster = cluster;
        this.out = out;
    }

    /** Arguments: the design's word and the cluster's name; the variable SCALE_LOG may name a level of the log. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Log.setLevel(Log.Level.valueOf(System.getenv().getOrDefault("SCALE_LOG", "ERROR")));
        PrintStream out = new PrintStream(
                new java.io.FileOutputStream(java.io.FileDescriptor.out), false, StandardCharsets.UTF_8);
        HollowHost host = new HollowHost(Design.valueOf(args[0].toUpperCase(java.util.Locale.ROOT)), args[1], out);
        host.serve(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        System.exit(0);
    }

    private void serve(BufferedReader in) throws IOException, InterruptedException {
        Thread looks = new Thread(this::looks, "looks");
        looks.setDaemon(true);
        looks.start();
        for (String line = in.readLine(); line != null && !over; line = in.readLine()) {
            HostCommand command = Json.MAPPER.readValue(line, HostCommand.class);
            switch (command.what()) {
                case START -> workers.execute(() -> start(command));
                case STOP -> workers.execute(() -> stop(command.pooler()));
                case REPORT -> reports.execute(() -> tell(HostEvent.report(report())));
                case END -> over = true;
                default -> throw new IOException("not a command: " + line);
            }
        }
        over = true;
        poolers.keySet().forEach(name -> workers.execute(() -> stop(name)));
        workers.shutdown();
        workers.awaitTermination(END_SECONDS, TimeUnit.SECONDS);
    }

    private void start(HostCommand command) {
        try {
            HollowPooler pooler = new HollowPooler(command.pooler(), opened(command), this::tell);
            pooler.start();
            poolers.put(command.pooler(), pooler);
        } catch (IOException | RuntimeException e) {
            tell(HostEvent.failed(command.pooler(), String.valueOf(e)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tries again for a while, as who starts daemons does: the life before may not have let go of its folder yet. */
    private OpenPlane opened(HostCommand command) throws IOException, InterruptedException {
        for (int i = 1; i < OPENINGS_MOST; i++) {
            try {
                return design.open(command, cluster);
            } catch (IOException e) {
                Thread.sleep(OPENING_MILLIS);
            }
        }
        return design.open(command, cluster);
    }

    private void stop(String name) {
        HollowPooler pooler = poolers.remove(name);
        if (pooler != null) {
            pooler.stop();
            count(pooler.traffic());
        }
    }

    private synchronized void count(Net.Traffic traffic) {
        goneOut += traffic.bytesOut();
        goneIn += traffic.bytesIn();
        goneMessages += traffic.messagesOut();
    }

    private void looks() {
        try {
            while (!over) {
                poolers.values().forEach(HollowPooler::look);
                Thread.sleep(LOOK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tell(HostEvent event) {
        String line = Json.line(event);
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }

    private synchronized HostReport report() {
        long bytesOut = goneOut;
        long bytesIn = goneIn;
        long messages = goneMessages;
        for (HollowPooler pooler : poolers.values()) {
            Net.Traffic traffic = pooler.traffic();
            bytesOut += traffic.bytesOut();
            bytesIn += traffic.bytesIn();
            messages += traffic.messagesOut();
        }
        long cpu = ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
        // The collection comes after the processor's counter is read: it is the measurement's own.
        System.gc();
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        return new HostReport(cpu, resident(), heap, poolers.size(), bytesOut, bytesIn, messages);
    }

    private static long resident() {
        try {
            return ProcessCounters.residentBytes(Path.of("/proc/self/status"));
        } catch (IOException e) {
            Log.error("scale: %s", e.getMessage());
            return 0;
        }
    }
}
