package lupinvalve.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import lupinvalve.log.Log;
import lupinvalve.maintenance.FairQueue;
import lupinvalve.maintenance.TimeUsage;

/**
 * A thread that runs tasks posted by other threads, and timers, one at a time. The core's tables are confined to the
 * thread of its event loop, the core thread, so they need no locks. {@link FairQueue} decides whose task is next.
 */
public final class EventLoop {
    /** Name of the core's thread. */
    public static final String CORE_THREAD_NAME = "core";

    private static final long IDLE_WAIT_MICROS = 1_000_000;
    /** Posted tasks, and timers, that are run before the others get a turn. */
    private static final int TASKS_PER_TURN_COUNT = 64;
    /** The time that posted tasks may take before what they have written is flushed. */
    private static final long FLUSH_AFTER_MICROS = 500;
    /** The time that urgent tasks may take in a row while others wait. */
    private static final long URGENT_BURST_MICROS = 5_000;

    /** A connection, or another origin of tasks: its tasks run in their order, and share one turn of the thread. */
    public static final class Source {
        private final TimeUsage.Share share;
        private final FairQueue.Flow<PostedTask> flow = new FairQueue.Flow<>();

        /** @param user who the time of its tasks is ascribed to in the log; null for the program itself */
        public Source(TimeUsage.User user) {
            share = user == null ? null : new TimeUsage.Share(user);
        }
    }

    /** A task that waits for the thread. */
    private record PostedTask(Source source, Runnable task, long postedAtMicros) {}

    /** Tasks on their way from other threads into {@link #tasks}. */
    private final LinkedBlockingQueue<PostedTask> posted = new LinkedBlockingQueue<>();

    private final FairQueue<PostedTask> tasks = new FairQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final LongSupplier clock;
    private final TimerQueue timers = new TimerQueue();
    private final Source program = new Source(null);
    private final Thread thread;
    private volatile Runnable beforeEachTask = () -> {};
    private volatile boolean stopped;
    /** What runs once before the thread waits or long after; filled by tasks of this turn. */
    private List<Runnable> atTurnEnd = new ArrayList<>();
    /** Which connections took the thread's time, for the log. */
    private final TimeUsage usage;
    /** How long the task that is running waited for the thread. */
    private long currentTaskDelayMicros;
    /** The posted task that runs, or ran last, and when it began. */
    private PostedTask runningTask;

    private long taskStartMicros;
    /** The time as this thread last read it. */
    private long nowMicros;

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
        this(name, new Clock()::micros);
    }

    /**
     * Creates an event loop on a clock of its own, which {@link #runDue} drives.
     *
     * @param clock Unix time in microseconds
     */
    EventLoop(String name, LongSupplier clock) {
        this.clock = clock;
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

    /** Queues a task of the program itself; any thread. */
    public void post(Runnable task) {
        post(program, task);
    }

    /** Queues a task behind those of the same source; any thread. */
    public void post(Source source, Runnable task) {
        posted.add(new PostedTask(source, task, now()));
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

    /**
     * Queues the rest of the posted task that is running, ahead of the others of its source, for when it is that
     * source's turn again. On this thread only.
     */
    public void postRest(Runnable rest) {
        tasks.addRest(new PostedTask(runningTask.source(), rest, runningTask.postedAtMicros()));
    }

    /** Whether the posted task that is running has had its share of the thread and ought to use {@link #postRest}. */
    public boolean isTurnOver() {
        return now() - taskStartMicros >= FairQueue.QUANTUM_MICROS;
    }

    /**
     * Runs a task on this thread soon: after the tasks of this turn, which may write more to the same connections. On
     * this thread only.
     */
    public void runAtTurnEnd(Runnable task) {
        atTurnEnd.add(task);
    }

    /** Unix time in microseconds; any thread. */
    public long now() {
        return clock.getAsLong();
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

    /** Runs what is due on the calling thread, in place of the loop's own, and returns without waiting for more. */
    void runDue() throws InterruptedException {
        while (!posted.isEmpty() || tasks.size() > 0 || !urgent.isEmpty() || timers.nextAtMicros() <= now()) {
            runTurn();
        }
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
        if (tasks.size() == 0) {
            awaitTask();
        }
        nowMicros = now();
        takePosted();
        // Timers run after posted tasks, so that an answer that has already arrived takes precedence over its timeout;
        // but not after all that a flood has left to do.
        long flushedMicros = nowMicros;
        for (int i = 0; i < TASKS_PER_TURN_COUNT && (i == 0 || tasks.hasSparse() || !isTimerDue()); i++) {
            PostedTask task = tasks.poll();
            if (task == null) {
                break;
            }
            runPosted(task);
            if (nowMicros - flushedMicros >= FLUSH_AFTER_MICROS) {
                endTurn();
                flushedMicros = nowMicros;
            }
            takePosted();
        }
        currentTaskDelayMicros = 0;
        runDueTimers();
        runUrgent();
        endTurn();
        logUsage();
    }

    private void awaitTask() throws InterruptedException {
        long nextTimerMicros = timers.nextAtMicros();
        long waitMicros = nextTimerMicros == Long.MAX_VALUE ? IDLE_WAIT_MICROS : nextTimerMicros - now();
        PostedTask first =
                waitMicros <= 0 || !urgent.isEmpty() ? posted.poll() : posted.poll(waitMicros, TimeUnit.MICROSECONDS);
        if (first != null) {
            tasks.add(first.source().flow, first, now());
        }
    }

    private void takePosted() {
        for (PostedTask task = posted.poll(); task != null; task = posted.poll()) {
            tasks.add(task.source().flow, task, nowMicros);
        }
    }

    private boolean isTimerDue() {
        return timers.nextAtMicros() <= nowMicros;
    }

    private void runDueTimers() {
        Runnable due = timers.pollDue(now());
        for (int i = 0; due != null && i < TASKS_PER_TURN_COUNT; i++) {
            runUrgent();
            runGuarded(due);
            due = timers.pollDue(now());
        }
        if (due != null) {
            runGuarded(due);
        }
    }

    private void runPosted(PostedTask next) {
        runUrgent();
        long startMicros = now();
        runningTask = next;
        taskStartMicros = startMicros;
        currentTaskDelayMicros = startMicros - next.postedAtMicros();
        usage.waited(currentTaskDelayMicros);
        runGuarded(next.task());
        nowMicros = now();
        tasks.charge(nowMicros - startMicros, nowMicros);
        usage.took(next.source().share, nowMicros - startMicros);
    }

    private void endTurn() {
        if (!atTurnEnd.isEmpty()) {
            List<Runnable> due = atTurnEnd;
            atTurnEnd = new ArrayList<>();
            due.forEach(this::runGuarded);
        }
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
        Runnable task = urgent.poll();
        if (task == null) {
            return;
        }
        long endMicros = now() + URGENT_BURST_MICROS;
        while (task != null) {
            runGuarded(task);
            task = now() < endMicros ? urgent.poll() : null;
        }
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
