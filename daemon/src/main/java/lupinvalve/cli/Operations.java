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
 * Carries operators' calls to the core, and their orders to the file that both processes of an upgrade read. The core
 * decides; a thread of its own touches the disk.
 */
final class Operations implements AdminCommands.Target {
    /** How often the other process's orders are looked for: they bind 250 ms after its yes. */
    private static final long LOOK_MILLIS = 80;
    /** How many looks later it is looked whether the other process runs. */
    private static final int LOOKS = 4;

    private static final String BY = "call";
    private final Pooler pooler;
    private final DrainCommandsFile file;
    private final ProcessMarkers incumbent;
    private final Consumer<Boolean> beside;
    private final Runnable endConnections;
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(null, work, "orders", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean serving, away, held;
    private int looks;
    private boolean accompanied;
    /** The worker's: the orders as they stand. */
    private DrainCommands orders = DrainCommands.NONE;

    /**
     * @param stem path of the files that two processes share, without their endings; null for none
     * @param endConnections ends clients' connections as the drain allows; on the core thread
     * @param beside is told whether another process of this pooler runs; on the core thread
     */
    Operations(Pooler pooler, Path stem, Runnable endConnections, Consumer<Boolean> beside) {
        this.pooler = pooler;
        this.beside = beside;
        incumbent = stem == null ? null : new ProcessMarkers(stem);
        this.endConnections = endConnections;
        file = stem == null ? null : new DrainCommandsFile(stem);
    }

    /** Reads what an earlier process left, and goes on looking for what another one does. Before the core starts. */
    void start() {
        if (file == null) {
            return;
        }
        incumbent.markStarting();
        DrainCommands left = file.readIfChanged(orders);
        if (left != null) {
            orders = left;
            pooler.applyDrainCommands(BY, left);
        }
        worker.scheduleWithFixedDelay(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        worker.shutdownNow();
    }

    /** Whether this process takes clients: not before its port is open, nor once it ends. */
    void serves(boolean takesClients) {
        if (takesClients && incumbent != null) {
            incumbent.markServing();
        }
        serving = takesClients;
    }

    /** Whether another process of this pooler serves. */
    boolean succeeded() {
        return incumbent != null && incumbent.isSuperseded();
    }

    /** Whether the group holds this pooler. */
    void held(boolean byGroup) {
        held = byGroup;
    }

    private void look() {
        if (looks++ % LOOKS == 0 && incumbent.isAnotherRunning() != accompanied) {
            accompanied = !accompanied;
            boolean now = accompanied;
            pooler.loop().post(() -> beside.accept(now));
        }
        DrainCommands other = file.readIfChanged(orders);
        if (other != null) {
            orders = other;
            pooler.loop().postUrgent(() -> pooler.applyDrainCommands(BY, other));
        }
    }

    @Override
    public String notReadyReason() {
        return !serving ? "not serving" : away ? "clients are sent away" : held ? "held by the group" : null;
    }

    @Override
    public String counters() {
        return pooler.metrics().format();
    }

    @Override
    public void setNodeDrain(boolean takeOut, String id, Consumer<String> objection) {
        pooler.loop().postUrgent(() -> {
            Optional<String> rejection = pooler.drainRejection(takeOut, id);
            if (rejection.isPresent()) {
                objection.accept(rejection.get());
            } else {
                worker.execute(
                        () -> order(held -> held.with(takeOut, id, pooler.loop().now()), objection));
            }
        });
    }

    /** The order is in the file before it holds, and holds before the yes. */
    private void order(UnaryOperator<DrainCommands> change, Consumer<String> objection) {
        try {
            orders = file == null ? change.apply(orders) : file.update(orders, change);
        } catch (IOException | RuntimeException e) {
            Log.error("a drain command can't be stored: %s", e);
            objection.accept("the order can't be kept: " + e.getClass().getSimpleName());
            return;
        }
        DrainCommands now = orders;
        pooler.loop().postUrgent(() -> {
            pooler.applyDrainCommands(BY, now);
            objection.accept(null);
        });
    }

    @Override
    public void setPoolerDrain(boolean quiesce, Consumer<String> objection) {
        pooler.loop().postUrgent(() -> {
            ClientDrain drain = pooler.clientDrain();
            if (drain.isShuttingDown()) {
                objection.accept(quiesce ? null : "the program is ending");
                return;
            }
            Log.info(quiesce ? "clients are sent away" : "clients are taken again");
            if (quiesce) {
                drain.quiesce(pooler.loop().now());
                pooler.loop().after(ClientDrain.CLOSE_DELAY_MICROS, endConnections);
            } else {
                drain.resume();
            }
            away = quiesce;
            objection.accept(null);
        });
    }
}
