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

/** What the disk itself can do: appended records with a force behind each batch. Figures of a log stand beside it. */
public final class Disk implements Lab.Command {
    @Option(name = "--folder", metaVar = "FOLDER", usage = "where to write; else the system's folder for such files")
    private Path folder;

    @Option(name = "--seconds", usage = "how long")
    private int seconds = 3;

    @Option(name = "--batch", usage = "records of 120 bytes to a force")
    private int batch = 1;

    @Option(name = "--json", usage = "one JSON object")
    private boolean json;

    @Override
    public int run(PrintStream out) throws IOException {
        if (seconds < 1 || batch < 1 || batch > 100_000) {
            throw new IllegalArgumentException("--seconds from 1, --batch from 1 to 100000");
        }
        Path file = folder == null
                ? Files.createTempFile("lab-disk", ".log")
                : Files.createTempFile(folder, "lab-disk", ".log");
        Histogram forces = new Histogram(TimeUnit.SECONDS.toNanos(60), 3);
        ByteBuffer records = ByteBuffer.allocateDirect(120 * batch);
        long start = System.nanoTime();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(seconds)) {
                long begin = System.nanoTime();
                records.clear();
                while (records.hasRemaining()) {
                    channel.write(records);
                }
                channel.force(false);
                forces.recordValue(System.nanoTime() - begin);
            }
        } finally {
            Files.delete(file);
        }
        double took = (System.nanoTime() - start) / 1e9;
        double rate = forces.getTotalCount() * (double) batch / took;
        out.printf(
                json
                        ? "{\"batch\":%d,\"records_per_s\":%.0f,\"force_p50_ms\":%.3f,\"force_p99_ms\":%.3f}%n"
                        : "batches of %d: %.0f records a second, a batch takes %.3f ms (p50), %.3f ms (p99)%n",
                batch,
                rate,
                forces.getValueAtPercentile(50) / 1e6,
                forces.getValueAtPercentile(99) / 1e6);
        return 0;
    }
}
