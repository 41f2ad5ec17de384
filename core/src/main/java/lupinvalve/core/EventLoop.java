package lupinvalve.core;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lupinvalve.log.Log;
import lupinvalve.maintenance.TimeUsage;

/**
 * A thread that runs tasks posted by other threads, and timers, one at a time. The core's tables are confined to the
 * thread of its event loop, the core thread, so they need no locks.
 */
public final class EventLoop {
    /** Name of the core's thread. */
    public static final String CORE_THREAD_NAME = "core";

    private static final long IDLE_WAIT_MICROS = 1_000_000;
    /** Posted tasks that are run before due timers get a turn. */
    private static final int TASKS_PER_TURN_COUNT = 64;

    /** A task that waits for the thread, with the connection that it belongs to, or null. */
    private record PostedTask(TimeUsage.User user, Runnable task, long postedAtMicros) {}

    private final LinkedBlockingQueue<PostedTask> posted = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final Clock clock = new Clock();
    private final TimerQueue timers = new TimerQueue();
    private final Thread thread;
    private volatile Runnable beforeEachTask = () -> {};
    private volatile boolean stopped;
    /** Which connections took the thread's time, for the log. */
    private final TimeUsage usage;
    /** How long the task that is running waited for the thread. */
    private long currentTaskDelayMicros;

    /** Creates the core's event loop. */
    public EventLoop() {
        this(CORE_THREAD_NAME);
    }

    /**
     * Creates an event loop.
     *
     * @param name name of its thread; a loop other than the core's serves tables of its own
     */
    public EventLoop(String name) {
        thread = new Thread(this::run, name);
        usage = new TimeUsage(now());
    }

    /** Starts the thread; to be called once. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the thread after its current turn; any thread. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    /** Queues a task; any thread. */
    public void post(Runnable task) {
        post(null, task);
    }

    /** Queues a task that a connection is the cause of; any thread. */
    public void post(TimeUsage.User user, Runnable task) {
        posted.add(new PostedTask(user, task, now()));
    }

    /**
     * Queues a task ahead of all tasks queued by {@link #post}; urgent tasks run in the order in which they were
     * posted. For tasks that must take effect within a bounded time. Any thread.
     */
    public void postUrgent(Runnable task) {
        urgent.add(task);
        // Wakes the thread if it is waiting for a posted task.
        post(() -> {});
    }

    /**
     * Sets a task that runs before each other task; urgent tasks that it posts run before that other task as well. Any
     * thread.
     */
    public void runBeforeEachTask(Runnable task) {
        beforeEachTask = task;
    }

    /** Unix time in microseconds; any thread. */
    public long now() {
        return clock.micros();
    }

    /** How long the posted task that is running has waited for this thread; 0 in a timer. On this thread only. */
    public long currentTaskDelayMicros() {
        return currentTaskDelayMicros;
    }

    /** Runs {@code task} after {@code micros} microseconds, as soon as possible if negative; on this thread only. */
    public TimerQueue.Timer after(long micros, Runnable task) {
        return timers.schedule(now() + Math.max(0, micros), task);
    }

    /** Cancels a timer; no effect on null or on a timer that has run. On this thread only. */
    public void cancel(TimerQueue.Timer timer) {
        timers.cancel(timer);
    }

    private void run() {
        while (!stopped) {
            try {
                runTurn();
            } catch (InterruptedException e) {
                Log.warn("event loop %s: thread interrupted, continuing", thread.getName());
            }
        }
    }

    private void runTurn() throws InterruptedException {
        long nextTimerMicros = timers.nextAtMicros();
        long waitMicros = nextTimerMicros == Long.MAX_VALUE ? IDLE_WAIT_MICROS : nextTimerMicros - now();
        PostedTask task = waitMicros <= 0 ? posted.poll() : posted.poll(waitMicros, TimeUnit.MICROSECONDS);
        // Timers run after posted tasks, so that an answer that has already arrived takes precedence over its timeout.
        for (int i = 0; task != null && i < TASKS_PER_TURN_COUNT; i++) {
            runPosted(task);
            task = posted.poll();
        }
        if (task != null) {
            runPosted(task);
        }
        currentTaskDelayMicros = 0;
        for (Runnable due = timers.pollDue(now()); due != null; due = timers.pollDue(now())) {
            runAfterUrgent(due);
        }
        runUrgent();
        logUsage();
    }

    private void runPosted(PostedTask posted) {
        runUrgent();
        long startMicros = now();
        currentTaskDelayMicros = startMicros - posted.postedAtMicros();
        usage.waited(currentTaskDelayMicros);
        runGuarded(posted.task());
        usage.took(posted.user(), now() - startMicros);
    }

    private void logUsage() {
        long now = now();
        if (usage.isPeriodOver(now)) {
            String text = usage.take(now);
            if (!text.isEmpty()) {
                Log.info("event loop %s: %s", thread.getName(), text);
            }
        }
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
     * Logs what a task throws, so that a fault in one connection does not end the thread that serves all of them.
     * Errors are caught too: if a class that cannot be loaded or a stack overflow in one request ended the thread, the
     * process would still accept connections but never answer.
     */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Log.failure(thread.getName(), e);
        }
    }
}
