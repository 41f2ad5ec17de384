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
 * Writes a subscriber's cached document through an executor, outside of the subscriber's event loop, because a slow
 * disk must delay neither a configuration change nor the lease. Of several pending states only the latest is written.
 * Thread-safe.
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
     * Creates a writer with nothing pending.
     *
     * @param executor runs the blocking writes
     */
    CachedDocumentWriter(Disk disk, String cluster, Executor executor) {
        this.disk = disk;
        this.cluster = cluster;
        this.executor = executor;
    }

    /** An executor with one daemon thread, which ends when there was nothing to write for the idle timeout. */
    static Executor newDiskExecutor() {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                1, 1, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                    Thread thread = new Thread(null, task, "store disk", STACK_BYTES);
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    /** Schedules the state to be written, in place of one that is still pending. */
    synchronized void write(SubscriberState.Cached state) {
        pending = state;
        scheduleWrite();
    }

    /** Closes the disk once a pending state has been written. */
    synchronized void close() {
        closing = true;
        scheduleWrite();
    }

    /** Waits until the disk is closed; returns false if the timeout passes first. */
    boolean awaitClosed(long timeoutMillis) throws InterruptedException {
        return diskClosed.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void scheduleWrite() {
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
                // Not fatal: after a restart the members send what the cache lacks.
                Log.error(
                        "store: the cached document can't be written: %s; the subscriber goes on, and writes again at the next change",
                        e.getMessage());
            }
        }
        closeDisk();
    }

    private synchronized void closeDisk() {
        if (closing && !running && diskClosed.getCount() > 0) {
            try {
                disk.close();
            } catch (IOException e) {
                Log.warn("store: closing the subscriber's folder failed: %s", e.getMessage());
            } finally {
                diskClosed.countDown();
            }
        }
    }
}
