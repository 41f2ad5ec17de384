package lupinvalve.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/** Measures appends to the disk with one force per batch, as a baseline for the figures of the replicated log. */
public final class Disk implements Lab.Command {
    private static final int RECORD_BYTES = 120;
    private static final int MAX_BATCH_RECORDS = 100_000;
    private static final int MAX_BATCH_SECONDS = 60;

    @Option(name = "--folder", metaVar = "FOLDER", usage = "where to write; by default the system's temporary folder")
    private Path folder;

    @Option(name = "--seconds", usage = "duration of the measurement")
    private int seconds = 3;

    @Option(name = "--batch", usage = "records of 120 bytes per force")
    private int batch = 1;

    @Option(name = "--json", usage = "print one JSON object")
    private boolean json;

    @Override
    public int run(PrintStream out) throws IOException {
        if (seconds < 1 || batch < 1 || batch > MAX_BATCH_RECORDS) {
            throw new IllegalArgumentException("--seconds is " + seconds + ", from 1 is possible; --batch is " + batch
                    + ", 1 to " + MAX_BATCH_RECORDS + " is possible");
        }
        Path file = folder == null
                ? Files.createTempFile("lab-disk", ".log")
                : Files.createTempFile(folder, "lab-disk", ".log");
        Histogram batchNanos = new Histogram(TimeUnit.SECONDS.toNanos(MAX_BATCH_SECONDS), 3);
        ByteBuffer records = ByteBuffer.allocateDirect(RECORD_BYTES * batch);
        long startNanos = System.nanoTime();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            while (System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(seconds)) {
                long batchStartNanos = System.nanoTime();
                records.clear();
                while (records.hasRemaining()) {
                    channel.write(records);
                }
                channel.force(false);
                batchNanos.recordValue(System.nanoTime() - batchStartNanos);
            }
        } finally {
            Files.delete(file);
        }
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        double recordsPerSecond = batchNanos.getTotalCount() * (double) batch / elapsedSeconds;
        out.printf(
                json
                        ? "{\"batch\":%d,\"records_per_s\":%.0f,\"force_p50_ms\":%.3f,\"force_p99_ms\":%.3f}%n"
                        : "batches of %d: %.0f records a second, a batch takes %.3f ms (p50), %.3f ms (p99)%n",
                batch,
                recordsPerSecond,
                batchNanos.getValueAtPercentile(50) / 1e6,
                batchNanos.getValueAtPercentile(99) / 1e6);
        return 0;
    }
}
