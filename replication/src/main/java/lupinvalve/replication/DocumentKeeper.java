package lupinvalve.replication;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;
import lupinvalve.subscription.FollowState;

/**
 * Brings what a subscriber keeps to its disk, beside its loop: a disk that takes long must hold up neither what is
 * acted on nor the lease. Of several that wait only the last is written. Safe for all threads.
 */
final class DocumentKeeper {
    private static final int IDLE_SECONDS = 5;
    private final Disk disk;
    private final String cluster;
    private final Executor by;
    private FollowState.Kept due;
    private boolean busy, closed;
    private final CountDownLatch over = new CountDownLatch(1);

    /** @param by runs what waits for the disk */
    DocumentKeeper(Disk disk, String cluster, Executor by) {
        this.disk = disk;
        this.cluster = cluster;
        this.by = by;
    }

    /** A thread that is there only while something is written. */
    static Executor thread() {
        ThreadPoolExecutor one =
                new ThreadPoolExecutor(1, 1, IDLE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), work -> {
                    Thread thread = new Thread(null, work, "store disk", 256 << 10);
                    thread.setDaemon(true);
                    return thread;
                });
        one.allowCoreThreadTimeOut(true);
        return one;
    }

    /** To be kept in the place of what was kept before. */
    synchronized void keep(FollowState.Kept next) {
        due = next;
        start();
    }

    /** Closes the disk once what is due has been written. */
    synchronized void close() {
        closed = true;
        start();
    }

    /** Whether the disk is closed, after so long at most. */
    boolean closedWithin(long millis) throws InterruptedException {
        return over.await(millis, TimeUnit.MILLISECONDS);
    }

    private void start() {
        if (!busy) {
            busy = true;
            by.execute(this::work);
        }
    }

    private synchronized FollowState.Kept next() {
        FollowState.Kept next = due;
        due = null;
        busy = next != null;
        return next;
    }

    private void work() {
        for (FollowState.Kept next = next(); next != null; next = next()) {
            try {
                KeptDocument.write(disk, cluster, next);
            } catch (IOException e) {
                // It goes on all the same: members hold what a restart would miss.
                Log.error("store: what was accepted can't be kept for a restart: %s", e.getMessage());
            }
        }
        end();
    }

    private synchronized void end() {
        if (closed && !busy && over.getCount() > 0) {
            over.countDown();
            try {
                disk.close();
            } catch (IOException e) {
                Log.warn("store: %s", e.getMessage());
            }
        }
    }
}
