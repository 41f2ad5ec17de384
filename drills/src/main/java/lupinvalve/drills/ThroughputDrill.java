package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Measures what one pooler, started by {@code deploy/run.sh}, serves without a flood, and what its start costs. */
public final class ThroughputDrill implements Closeable {
    private static final int PIPELINED_STATEMENTS = 32;
    private static final int CONNECTIONS = 50;
    private static final int WARM_UP_SECONDS = 2;
    private static final int SILENCE_MILLIS = 10_000;
    private static final long MAX_MICROS = 60_000_000;
    private static final int JOIN_MILLIS = 20_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final RunScriptPooler pooler;
    private final int seconds;
    private final AtomicLong lastId = new AtomicLong();

    /**
     * What was measured.
     *
     * @param pipelinedPerSecond requests a second of one connection that keeps 32 pipelined
     * @param requestsPerSecond requests a second of 50 connections with one at a time
     * @param p99Millis of the latter
     * @param startSeconds processor time of the start
     */
    public record Result(
            double pipelinedPerSecond, double requestsPerSecond, double p99Millis, double startSeconds, long failed) {
        /** One line of JSON. */
        public String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"pipelined_per_s\":%.0f,\"requests_per_s\":%.0f,\"p99_ms\":%.2f,\"start_cpu_s\":%.2f,\"failed\":%d}",
                    pipelinedPerSecond,
                    requestsPerSecond,
                    p99Millis,
                    startSeconds,
                    failed);
        }
    }

    /** Starts the pooler; the parameters are those of a {@link FloodDrill.Setting}. */
    public ThroughputDrill(Path config, String core, int seconds) throws IOException, InterruptedException {
        pooler = new RunScriptPooler(config, core, false);
        this.seconds = seconds;
    }

    /** Runs both loads one after the other. */
    public Result play() throws InterruptedException {
        AtomicLong failed = new AtomicLong();
        run(CONNECTIONS, 1, WARM_UP_SECONDS, new ConcurrentHistogram(MAX_MICROS, 3), failed);
        Histogram pipelined = new ConcurrentHistogram(MAX_MICROS, 3);
        run(1, PIPELINED_STATEMENTS, seconds, pipelined, failed);
        Histogram single = new ConcurrentHistogram(MAX_MICROS, 3);
        run(CONNECTIONS, 1, seconds, single, failed);
        return new Result(
                (double) pipelined.getTotalCount() * PIPELINED_STATEMENTS / seconds,
                (double) single.getTotalCount() / seconds,
                single.getValueAtPercentile(99) / MICROS_PER_MILLI,
                pooler.startSeconds(),
                failed.get());
    }

    private void run(int connections, int atOnce, int runSeconds, Histogram micros, AtomicLong failed)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(runSeconds);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            threads.add(Threads.start("load", () -> {
                try (SqlConnection connection = new SqlConnection(pooler.pgPort(), SILENCE_MILLIS, false)) {
                    while (System.nanoTime() < endNanos) {
                        ask(connection, atOnce, micros, failed);
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(JOIN_MILLIS);
        }
    }

    private void ask(SqlConnection connection, int atOnce, Histogram micros, AtomicLong failed) throws IOException {
        List<String> statements = new ArrayList<>();
        for (int i = 0; i < atOnce; i++) {
            long id = lastId.incrementAndGet();
            statements.add("SELECT blob FROM rows WHERE handle = 't" + id + "' /* id=t" + id
                    + ",c=own-order-view,t=almaty-branch,d=1200,cluster=" + id % RunScriptPooler.GROUPS + " */");
        }
        long startNanos = System.nanoTime();
        connection.send(statements);
        for (int i = 0; i < atOnce; i++) {
            if (connection.readAnswer().code() != null) {
                failed.incrementAndGet();
            }
        }
        micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
    }

    @Override
    public void close() throws IOException {
        pooler.close();
    }
}
