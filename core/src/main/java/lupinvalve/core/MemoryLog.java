package lupinvalve.core;

import lupinvalve.log.Log;
import lupinvalve.maintenance.MemoryBudgets;

/**
 * Logs what clients' commands and answers take of their memory while any budget is more than half taken: at once, then
 * every 5 s. Core thread only.
 */
final class MemoryLog {
    private static final long SAMPLE_PERIOD_MICROS = 250_000;
    private static final long LOG_PERIOD_MICROS = 5_000_000;

    private final EventLoop loop;
    private final MemoryBudgets memory;
    private long nextLineAtMicros = Long.MIN_VALUE;

    MemoryLog(EventLoop loop, MemoryBudgets memory) {
        this.loop = loop;
        this.memory = memory;
    }

    /** Starts to sample the budgets. */
    void start() {
        loop.after(SAMPLE_PERIOD_MICROS, this::sample);
    }

    private void sample() {
        long now = loop.now();
        if (now >= nextLineAtMicros && memory.isHalfTaken()) {
            nextLineAtMicros = now + LOG_PERIOD_MICROS;
            Log.info("memory for clients: %s", memory);
        }
        start();
    }
}
