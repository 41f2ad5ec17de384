package lupinvalve.core;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;

/**
 * One thread that runs the tasks that other threads post, and timers, one after another. The core's tables belong to
 * its event loop's thread, the core thread, so none of them needs a lock.
 */
public final class EventLoop {
    private static final long DELAY_LOG_PERIOD_MICROS = 500_000;
    private static final long IDLE_WAIT_MICROS = 1_000_000;
    /** Timers get their turn after so many posted tasks. */
    private static final int TASKS_PER_TURN_COUNT = 64;

    private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final Clock clock = new Clock();
    private final TimerQueue timers = new TimerQueue();
    private final Thread thread;
    private volatile Runnable beforeEachTask = () -> {};
    private volatile boolean stopped;
    private long longestDelayMicros;
    private long delays;
    private long delaysSinceMicros;

    /** The core's event loop. */
    public EventLoop() {
        this("core");
    }

    /** @param name of the thread: others than the core have tables of their own */
    public EventLoop(String name) {
        thread = new Thread(this::run, name);
    }

    /** Starts the thread; once. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the thread after its current turn; from any thread. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    /** Hands a task to the thread, from any thread. */
    public void post(Runnable task) {
        posted.add(task);
    }

    /**
     * The same, before all that was posted; in order among themselves. For what has to take effect within a time bound.
     */
    public void postUrgent(Runnable task) {
        urgent.add(task);
        // Wakes the thread where it waits for something posted.
        posted.add(() -> {});
    }

    /** Runs {@code task} before each other task; what it posts as urgent runs first. From any thread. */
    public void runBeforeEachTask(Runnable task) {
        beforeEachTask = task;
    }

    /** Unix time in microseconds; from any thread. */
    public long now() {
        return clock.micros();
    }

    /** Reports how long something that came in waited for this thread; on this thread. */
    public void recordQueueDelay(long micros) {
        longestDelayMicros = Math.max(longestDelayMicros, micros);
        delays++;
        if (Log.isDebugEnabled() && now() - delaysSinceMicros > DELAY_LOG_PERIOD_MICROS) {
            Log.debug("loop delay: %d us at most, of %d arrivals", longestDelayMicros, delays);
            longestDelayMicros = 0;
            delays = 0;
            delaysSinceMicros = now();
        }
    }

    /** Runs {@code task} after so many microseconds; on this thread only. */
    public TimerQueue.Timer after(long micros, Runnable task) {
        return timers.schedule(now() + Math.max(0, micros), task);
    }

    /** Cancels a timer; null and one that has run are ignored. On this thread only. */
    public void cancel(TimerQueue.Timer timer) {
        timers.cancel(timer);
    }

    private void run() {
        while (!stopped) {
            try {
                runTurn();
            } catch (InterruptedException e) {
                Log.warn("%s thread interrupted", thread.getName());
            }
        }
    }

    private void runTurn() throws InterruptedException {
        long nextTimer = timers.nextAtMicros();
        long waitMicros = nextTimer == Long.MAX_VALUE ? IDLE_WAIT_MICROS : nextTimer - now();
        Runnable task = waitMicros <= 0 ? posted.poll() : posted.poll(waitMicros, TimeUnit.MICROSECONDS);
        // Timers come second: an answer that is here already beats the timeout it was racing.
        for (int i = 0; task != null && i < TASKS_PER_TURN_COUNT; i++) {
            runAfterUrgent(task);
            task = posted.poll();
        }
        if (task != null) {
            runAfterUrgent(task);
        }
        for (Runnable due = timers.pollDue(now()); due != null; due = timers.pollDue(now())) {
            runAfterUrgent(due);
        }
        runUrgent();
    }

    private void runUrgent() {
        runGuarded(beforeEachTask);
        for (Runnable task = urgent.poll(); task != null; task = urgent.poll()) {
            runGuarded(task);
        }
    }

    private void runAfterUrgent(Runnable task) {
        runUrgent();
        runGuarded(task);
    }

    /**
     * Keeps one connection's fault from ending the thread that serves all the others. Errors too: a class that can't be
     * loaded or a stack that is too deep for one request would leave a process that listens and answers nobody.
     */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Log.failure(thread.getName(), e);
        }
    }
}
