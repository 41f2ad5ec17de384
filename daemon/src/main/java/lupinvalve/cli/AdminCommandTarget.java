package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import lupinvalve.admin.AdminCommands;
import lupinvalve.core.Pooler;
import lupinvalve.hotrestart.DrainCommandsFile;
import lupinvalve.hotrestart.ProcessMarkers;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.maintenance.DrainCommands;

/**
 * Executes the commands of the admin interface: passes them to the core thread, which decides, and stores drain
 * commands in the file that both processes of a hot restart read. Disk I/O runs on a separate thread.
 */
final class AdminCommandTarget implements AdminCommands.Target {
    /**
     * Poll interval for the other process's drain commands: they must be in force here 250 ms after it has acknowledged
     * them.
     */
    private static final long POLL_INTERVAL_MILLIS = 80;
    /** Number of polls between two checks of whether the other process is running. */
    private static final int POLLS_PER_PROCESS_CHECK = 4;

    private static final int WORKER_STACK_BYTES = 256 << 10;
    /** Source of the drain commands for {@link Pooler#applyDrainCommands}. */
    private static final String DRAIN_SOURCE = "call";

    private final Pooler pooler;
    private final DrainCommandsFile drainCommandsFile;
    private final ProcessMarkers processMarkers;
    private final Consumer<Boolean> onOtherProcess;
    private final Runnable endConnections;
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(null, work, "orders", WORKER_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean serving;
    private volatile boolean clientsDrained;
    private volatile boolean drainedByGroup;
    /** Confined to the worker thread, as the next one. */
    private int pollCount;

    private boolean otherProcessRunning;
    /** The drain commands in force. Confined to the worker thread. */
    private DrainCommands drainCommands = DrainCommands.NONE;

    /**
     * @param stem path of the files that two processes share, without their suffixes; null for no files
     * @param endConnections closes client connections on which nothing is due; called on the core thread
     * @param onOtherProcess receives whether another process of this pooler is running; called on the core thread
     */
    AdminCommandTarget(Pooler pooler, Path stem, Runnable endConnections, Consumer<Boolean> onOtherProcess) {
        this.pooler = pooler;
        this.onOtherProcess = onOtherProcess;
        processMarkers = stem == null ? null : new ProcessMarkers(stem);
        this.endConnections = endConnections;
        drainCommandsFile = stem == null ? null : new DrainCommandsFile(stem);
    }

    /**
     * Applies the drain commands that an earlier process stored, and starts polling for those of another one. Called
     * before the core starts.
     */
    void start() {
        if (drainCommandsFile == null) {
            return;
        }
        processMarkers.markStarting();
        DrainCommands stored = drainCommandsFile.readIfChanged(drainCommands);
        if (stored != null) {
            drainCommands = stored;
            pooler.applyDrainCommands(DRAIN_SOURCE, stored);
        }
        worker.scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        worker.shutdownNow();
    }

    /** Sets whether this process accepts clients: from when its port is open until it shuts down. */
    void setServing(boolean acceptsClients) {
        if (acceptsClients && processMarkers != null) {
            processMarkers.markServing();
        }
        serving = acceptsClients;
    }

    /** Whether another process of this pooler has begun to serve. */
    boolean isSuperseded() {
        return processMarkers != null && processMarkers.isSuperseded();
    }

    /** Sets whether the group drains this pooler. */
    void setDrainedByGroup(boolean drained) {
        drainedByGroup = drained;
    }

    private void poll() {
        if (pollCount++ % POLLS_PER_PROCESS_CHECK == 0 && processMarkers.isAnotherRunning() != otherProcessRunning) {
            otherProcessRunning = !otherProcessRunning;
            boolean running = otherProcessRunning;
            pooler.loop().post(() -> onOtherProcess.accept(running));
        }
        DrainCommands other = drainCommandsFile.readIfChanged(drainCommands);
        if (other != null) {
            drainCommands = other;
            pooler.loop().postUrgent(() -> pooler.applyDrainCommands(DRAIN_SOURCE, other));
        }
    }

    @Override
    public String notReadyReason() {
        return !serving
                ? "not serving"
                : clientsDrained ? "clients are sent away" : drainedByGroup ? "held by the group" : null;
    }

    @Override
    public String counters() {
        return pooler.metrics().format();
    }

    @Override
    public void setNodeDrain(boolean drain, String id, Consumer<String> objection) {
        pooler.loop().postUrgent(() -> {
            Optional<String> rejection = pooler.drainRejection(drain, id);
            if (rejection.isPresent()) {
                objection.accept(rejection.get());
            } else {
                worker.execute(() -> storeAndApply(
                        commands -> commands.with(drain, id, pooler.loop().now()), objection));
            }
        });
    }

    /**
     * Stores a change of the drain commands, applies it on the core thread, and then acknowledges it, in this order. On
     * the worker thread.
     */
    private void storeAndApply(UnaryOperator<DrainCommands> change, Consumer<String> objection) {
        try {
            drainCommands = drainCommandsFile == null
                    ? change.apply(drainCommands)
                    : drainCommandsFile.update(drainCommands, change);
        } catch (IOException | RuntimeException e) {
            Log.error("a drain command is rejected, as it can't be stored: %s", e);
            objection.accept("the order can't be kept: " + e.getClass().getSimpleName());
            return;
        }
        DrainCommands changed = drainCommands;
        pooler.loop().postUrgent(() -> {
            pooler.applyDrainCommands(DRAIN_SOURCE, changed);
            objection.accept(null);
        });
    }

    @Override
    public void setPoolerDrain(boolean quiesce, Consumer<String> objection) {
        pooler.loop().postUrgent(() -> {
            ClientDrain clientDrain = pooler.clientDrain();
            if (clientDrain.isShuttingDown()) {
                objection.accept(quiesce ? null : "the program is ending");
                return;
            }
            Log.info(quiesce ? "admin command: draining clients" : "admin command: accepting clients again");
            if (quiesce) {
                clientDrain.quiesce(pooler.loop().now());
                pooler.loop().after(ClientDrain.CLOSE_DELAY_MICROS, endConnections);
            } else {
                clientDrain.resume();
            }
            clientsDrained = quiesce;
            objection.accept(null);
        });
    }
}
