package lupinvalve.replication;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;
import lupinvalve.subscription.SubscriberState;

/**
 * Writes a subscriber's cached document outside of its loop, as a slow disk must delay neither a change nor the lease.
 * Of several states that wait only the last is written. Safe for all threads.
 */
final class CachedDocumentWriter {
    private static final int IDLE_TIMEOUT_SECONDS = 5;
    private static final int STACK_BYTES = 256 << 10;

    private final Disk disk;
    private final String cluster;
    private final Executor executor;
    private final CountDownLatch diskClosed = new CountDownLatch(1);
    private SubscriberState.Cached pending;
    private boolean running;
    private boolean closing;

    /**
     * Writes nothing yet.
     *
     * @param executor runs what waits for the disk
     */
    CachedDocumentWriter(Disk disk, String cluster, Executor executor) {
        this.disk = disk;
        this.cluster = cluster;
        this.executor = executor;
    }

    /** An executor of one daemon thread that ends while there is nothing to write. */
    static Executor newDiskExecutor() {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                1, 1, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), work -> {
                    Thread thread = new Thread(null, work, "store disk", STACK_BYTES);
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    /** Replaces the cached state, now or once the disk is ready. */
    synchronized void write(SubscriberState.Cached state) {
        pending = state;
        start();
    }

    /** Closes the disk once what is pending has been written. */
    synchronized void close() {
        closing = true;
        start();
    }

    /** Waits until the disk is closed; returns whether it was within the timeout. */
    boolean awaitClosed(long timeoutMillis) throws InterruptedException {
        return diskClosed.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void start() {
        if (!running) {
            running = true;
            executor.execute(this::writePending);
        }
    }

    private synchronized SubscriberState.Cached takePending() {
        SubscriberState.Cached next = pending;
        pending = null;
        running = next != null;
        return next;
    }

    private void writePending() {
        for (SubscriberState.Cached next = takePending(); next != null; next = takePending()) {
            try {
                CachedDocumentFile.write(disk, cluster, next);
            } catch (IOException e) {
                // Not fatal: the members have what a restart would miss.
                Log.error("store: the cached document can't be written: %s", e.getMessage());
            }
        }
        closeDisk();
    }

    private synchronized void closeDisk() {
        if (closing && !running && diskClosed.getCount() > 0) {
            try {
                disk.close();
            } catch (IOException e) {
                Log.warn("store: %s", e.getMessage());
            } finally {
                diskClosed.countDown();
            }
        }
    }
}
