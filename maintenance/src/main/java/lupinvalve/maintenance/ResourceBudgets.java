package lupinvalve.maintenance;

/**
 * Divides two budgets: memory among streamed answers while their clients read, and connections among the two processes
 * of a hot restart. What a client has not read stays with the db node's machine, so one that reads nothing takes its
 * part and no more. No I/O; any thread.
 */
public final class ResourceBudgets {
    /** For all streamed answers together: an eighth of the least heap that a pooler is given (40 MB). */
    static final long STREAM_BUDGET_BYTES = 5 << 20;
    /** Smaller buffers cost more system calls than they save memory. */
    static final long MIN_STREAM_BUFFER_BYTES = 8 << 10;
    /** Larger buffers speed up nobody. */
    static final long MAX_STREAM_BUFFER_BYTES = 128 << 10;
    /** For all answers that must be buffered whole: they can't wait elsewhere, so one too many fails. */
    private static final long WHOLE_ANSWERS_BUDGET_BYTES = 12 << 20;

    private ResourceBudgets() {}

    /** Connections to db nodes that one process may have, of those that the pooler may have. */
    public static int maxConnections(int total, boolean anotherProcessRuns) {
        return anotherProcessRuns ? Math.max(1, total / 2) : total;
    }

    /** Whether one more answer may be buffered whole beside those that are. */
    public static boolean canBuffer(long bufferedBytes, int moreBytes) {
        return bufferedBytes + moreBytes <= WHOLE_ANSWERS_BUDGET_BYTES;
    }

    /** Bytes of buffer for each of so many streams. */
    public static long streamBufferBytes(int streams) {
        return Math.max(
                MIN_STREAM_BUFFER_BYTES, Math.min(MAX_STREAM_BUFFER_BYTES, STREAM_BUDGET_BYTES / Math.max(1, streams)));
    }
}
