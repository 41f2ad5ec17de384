package lupinvalve.core;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;

/**
 * The core thread: runs what other threads post, and the deadlines, one after another. All tables belong to it, so none
 * of them needs a lock.
 */
public final class Loop {
    private static final long WINDOW = 500_000;
    private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final Clock clock = new Clock();
    private final Deadlines deadlines = new Deadlines();
    private final Thread thread;
    private volatile Runnable first = () -> {};
    private volatile boolean stopped;
    private long longestWait, waits, waitsSince;

    public Loop() {
        this("core");
    }

    /** @param name of the thread: others than the core have tables of their own */
    public Loop(String name) {
        thread = new Thread(this::run, name);
    }

    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    public void stop() {
        stopped = true;
        post(() -> {});
    }

    /** Hands work to the core thread, from any thread. */
    public void post(Runnable work) {
        posted.add(work);
    }

    /** The same, before all that was posted; in order among themselves. For what binds within a time of its own. */
    public void urgent(Runnable work) {
        urgent.add(work);
        // Wakes the thread where it waits for something posted.
        posted.add(() -> {});
    }

    /** Runs {@code look} before each piece of work, and what that makes urgent is done first. */
    public void beforeEach(Runnable look) {
        first = look;
    }

    public long now() {
        return clock.micros();
    }

    /** Tells how long something that came in waited for this thread, which is how far it is behind. */
    public void waited(long micros) {
        longestWait = Math.max(longestWait, micros);
        waits++;
        if (Log.debugs() && now() - waitsSince > WINDOW) {
            Log.debug("loop delay: %d us at most, of %d arrivals", longestWait, waits);
            longestWait = 0;
            waits = 0;
            waitsSince = now();
        }
    }

    /** Runs {@code then} after so many microseconds; core thread only. */
    public Deadlines.Deadline after(long micros, Runnable then) {
        return deadlines.at(now() + Math.max(0, micros), then);
    }

    public void drop(Deadlines.Deadline deadline) {
        deadlines.drop(deadline);
    }

    private void run() {
        while (!stopped) {
            try {
                turn();
            } catch (InterruptedException e) {
                Log.warn("core thread interrupted");
            }
        }
    }

    private void turn() throws InterruptedException {
        long next = deadlines.next();
        long wait = next == Long.MAX_VALUE ? 1_000_000 : next - now();
        Runnable work = wait <= 0 ? posted.poll() : posted.poll(wait, TimeUnit.MICROSECONDS);
        // Deadlines come second: an answer that is here already beats the time-out it was racing.
        for (int i = 0; work != null && i < 64; i++) {
            guarded(work);
            work = posted.poll();
        }
        if (work != null) {
            guarded(work);
        }
        for (Runnable due = deadlines.due(now()); due != null; due = deadlines.due(now())) {
            guarded(due);
        }
        pressing();
    }

    private void pressing() {
        run(first);
        for (Runnable work = urgent.poll(); work != null; work = urgent.poll()) {
            run(work);
        }
    }

    private void guarded(Runnable work) {
        pressing();
        run(work);
    }

    /**
     * Guards against one connection's fault ending the thread that serves all the others. Errors too: a class that
     * can't be loaded or a stack that is too deep for one request would leave a process that listens and answers
     * nobody.
     */
    private static void run(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            Log.failure("core", e);
        }
    }
}
