package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures how usual clients with deadlines fare at one pooler, started by {@code deploy/run.sh}, while others flood it
 * with one kind of input.
 */
public final class FloodDrill implements Closeable {
    /** The limit on the pooler's memory. */
    public static final int MEMORY_MEGABYTES = RunScriptPooler.MEMORY_MEGABYTES;

    private static final int WARM_UP_MILLIS = 1_500;

    /**
     * Settings of a drill.
     *
     * @param floodClients clients that flood
     * @param usualClients clients with deadlines
     * @param seconds how long the flood lasts
     * @param core the one core that the pooler may use; empty for all
     */
    public record Setting(
            FloodKind kind, int floodClients, int usualClients, int seconds, long seed, String core, Path config) {}

    private final Setting setting;
    private final RunScriptPooler pooler;

    /** Starts the stand-ins and the pooler, and waits until it accepts clients. */
    public FloodDrill(Setting setting) throws IOException, InterruptedException {
        this.setting = setting;
        pooler = new RunScriptPooler(setting.config(), setting.core(), isMysqlFlooded());
    }

    private boolean isMysqlFlooded() {
        return setting.kind().front() == FloodKind.Front.MYSQL;
    }

    /** Runs usual clients, and the flood beside them, and returns how the usual clients fared. */
    public FloodResult play() throws IOException, InterruptedException {
        FloodResult.Recorder warmUp = new FloodResult.Recorder();
        DeadlineClients first = new DeadlineClients(pooler.pgPort(), warmUp, setting.seed() - 1);
        first.start(setting.usualClients());
        Thread.sleep(WARM_UP_MILLIS);
        first.stop();
        FloodResult.Recorder recorder = new FloodResult.Recorder();
        DeadlineClients usual = new DeadlineClients(pooler.pgPort(), recorder, setting.seed());
        AtomicLong bytes = new AtomicLong();
        AtomicLong connections = new AtomicLong();
        List<FloodClient> flood = new ArrayList<>();
        int port = isMysqlFlooded() ? pooler.mysqlPort() : pooler.pgPort();
        for (int i = 0; i < (setting.kind() == FloodKind.NONE ? 0 : setting.floodClients()); i++) {
            flood.add(new FloodClient(setting.kind(), port, bytes, connections));
        }
        usual.start(setting.usualClients());
        Thread.sleep(TimeUnit.SECONDS.toMillis(setting.seconds()));
        for (FloodClient client : flood) {
            client.stop();
        }
        usual.stop();
        boolean died = !pooler.isAlive();
        return recorder.result(setting.kind(), died ? 0 : pooler.peakMegabytes(), died, bytes.get(), connections.get());
    }

    /** The last lines of the pooler's log. */
    public List<String> lastLogLines(int count) throws IOException {
        return pooler.lastLogLines(count);
    }

    @Override
    public void close() throws IOException {
        pooler.close();
    }
}
