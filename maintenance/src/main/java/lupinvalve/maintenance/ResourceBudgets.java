package lupinvalve.maintenance;

/**
 * Divides two budgets: memory among streamed answers while clients read them, and connections among the two processes
 * of a hot restart. Beyond its share of the memory, data that a client has not read stays on the db node's machine, so
 * a client that reads nothing occupies its share and no more. No I/O; any thread.
 */
public final class ResourceBudgets {
    /** For all streamed answers together: one eighth of the smallest heap that a pooler is given (40 MB). */
    static final long STREAM_BUDGET_BYTES = 5 << 20;
    /** Smaller buffers cost more system calls than they save memory. */
    static final long MIN_STREAM_BUFFER_BYTES = 8 << 10;
    /** Larger buffers do not speed up any client. */
    static final long MAX_STREAM_BUFFER_BYTES = 128 << 10;

    private ResourceBudgets() {}

    /** How many of the pooler's {@code total} connections to db nodes one process may use. */
    public static int maxConnections(int total, boolean anotherProcessRuns) {
        return anotherProcessRuns ? Math.max(1, total / 2) : total;
    }

    /** Size of the buffer of each stream, in bytes, if there are {@code streams} of them. */
    public static long streamBufferBytes(int streams) {
        return Math.max(
                MIN_STREAM_BUFFER_BYTES, Math.min(MAX_STREAM_BUFFER_BYTES, STREAM_BUDGET_BYTES / Math.max(1, streams)));
    }
}
