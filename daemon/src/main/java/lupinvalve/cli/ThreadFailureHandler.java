package lupinvalve.cli;

import java.util.Set;
import java.util.function.IntConsumer;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.net.Net;

/**
 * Ends the process once a thread has ended with an error, so that its supervisor starts another: it must not go on as
 * one that accepts connections and serves nobody. Open requests are drained first, for a limited time; where the drain
 * needs the thread that has ended, the process ends at once, and its connections are reset.
 */
final class ThreadFailureHandler implements Thread.UncaughtExceptionHandler {
    /** Exit code after a thread has ended with an error: EX_SOFTWARE, an internal error, in sysexits.h. */
    static final int EXIT_INTERNAL_ERROR = 70;
    /** The thread that owns all requests, and the I/O threads: without one of them no request can be answered. */
    private static final Set<String> DRAIN_THREADS = Set.of(EventLoop.CORE_THREAD_NAME, Net.CLIENT_THREAD_NAME);
    /** Longer than the longest deadline of a request, which is counted as 3 s at most, and its margin. */
    private static final long MAX_DRAIN_MILLIS = 4_000;

    private final IntConsumer exit;
    private final IntConsumer halt;

    /**
     * @param exit begins an orderly end of the process with an exit code; may block
     * @param halt ends the process at once
     */
    ThreadFailureHandler(IntConsumer exit, IntConsumer halt) {
        this.exit = exit;
        this.halt = halt;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        boolean drains = !DRAIN_THREADS.contains(thread.getName());
        try {
            Log.failure(
                    "thread " + thread.getName() + " ended with an error; the process "
                            + (drains ? "drains and exits" : "exits"),
                    failure);
            if (drains) {
                // On threads of their own: the drain may need a lock that the failing thread holds.
                new Thread(() -> exit.accept(EXIT_INTERNAL_ERROR), "exit").start();
                new Thread(this::haltAfterDrain, "exit watchdog").start();
            }
        } catch (Error e) {
            // There may be no memory left to log or to start a thread.
            drains = false;
        } finally {
            if (!drains) {
                halt.accept(EXIT_INTERNAL_ERROR);
            }
        }
    }

    private void haltAfterDrain() {
        try {
            Thread.sleep(MAX_DRAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.error("the drain after the error has not ended within %d ms; the process exits", MAX_DRAIN_MILLIS);
        halt.accept(EXIT_INTERNAL_ERROR);
    }
}
