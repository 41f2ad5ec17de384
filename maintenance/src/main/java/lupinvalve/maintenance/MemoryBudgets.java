package lupinvalve.maintenance;

/**
 * Divides the heap that a process has among what it keeps for its clients, over all connections and protocols: what
 * they have sent, and the answers to them. Together the budgets leave a part of the heap for the program itself and for
 * garbage. No I/O; safe for all threads.
 */
public final class MemoryBudgets {
    private static final long MIB = 1 << 20;
    /** For the program itself: endpoint list, connections, tables and code. */
    private static final long PROGRAM_BYTES = 16 * MIB;
    /** The heap beyond that is divided into this many parts, of which two stay free for garbage. */
    private static final int PARTS_COUNT = 14;

    private static final int PARTIAL_MESSAGE_PARTS = 2;
    private static final int UNPROCESSED_INPUT_PARTS = 1;
    private static final int COMMAND_PARTS = 2;
    private static final int PREPARED_STATEMENT_PARTS = 1;
    private static final int ANSWER_PARTS = 6;

    private static final long MAX_PARTIAL_MESSAGE_BYTES = 14 * MIB;
    private static final long MAX_UNPROCESSED_INPUT_BYTES = 8 * MIB;
    private static final long MAX_COMMAND_BYTES = 16 * MIB;
    private static final long MAX_PREPARED_STATEMENT_BYTES = 16 * MIB;
    private static final long MAX_ANSWER_BYTES = 48 * MIB;

    private final ByteBudget partialMessages;
    private final ByteBudget unprocessedInput;
    private final ByteBudget commands;
    private final ByteBudget preparedStatements;
    private final AnswerBudget answers;

    private MemoryBudgets(long partBytes) {
        partialMessages = budget(partBytes * PARTIAL_MESSAGE_PARTS, MAX_PARTIAL_MESSAGE_BYTES);
        unprocessedInput = budget(partBytes * UNPROCESSED_INPUT_PARTS, MAX_UNPROCESSED_INPUT_BYTES);
        commands = budget(partBytes * COMMAND_PARTS, MAX_COMMAND_BYTES);
        preparedStatements = budget(partBytes * PREPARED_STATEMENT_PARTS, MAX_PREPARED_STATEMENT_BYTES);
        answers = new AnswerBudget(Math.min(partBytes * ANSWER_PARTS, MAX_ANSWER_BYTES));
    }

    private static ByteBudget budget(long bytes, long maxBytes) {
        return new ByteBudget(Math.min(bytes, maxBytes));
    }

    /** Budgets for a heap of at most this size. */
    public static MemoryBudgets ofHeap(long maxHeapBytes) {
        long programBytes = Math.min(PROGRAM_BYTES, maxHeapBytes / 2);
        return new MemoryBudgets((maxHeapBytes - programBytes) / PARTS_COUNT);
    }

    /** Budgets for the heap of this process. */
    public static MemoryBudgets ofThisProcess() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    /** Messages that have arrived in part; a connection whose message finds no room cannot go on. */
    public ByteBudget partialMessages() {
        return partialMessages;
    }

    /** Input that has been read and waits for the core; nothing more is read while it is exhausted. */
    public ByteBudget unprocessedInput() {
        return unprocessedInput;
    }

    /** Clients' commands that are not answered yet, and what of them db nodes have not taken. */
    public ByteBudget commands() {
        return commands;
    }

    /** What clients have sent ahead of their requests: prepared statements and values for them. */
    public ByteBudget preparedStatements() {
        return preparedStatements;
    }

    /** Answers that are being received or have not been read. */
    public AnswerBudget answers() {
        return answers;
    }

    /** Bytes that all budgets together allow. */
    public long limitBytes() {
        return partialMessages.limitBytes()
                + unprocessedInput.limitBytes()
                + commands.limitBytes()
                + preparedStatements.limitBytes()
                + answers.limitBytes();
    }

    /** Whether any budget is more than half taken. */
    public boolean isHalfTaken() {
        return partialMessages.isHalfTaken()
                || unprocessedInput.isHalfTaken()
                || commands.isHalfTaken()
                || preparedStatements.isHalfTaken()
                || answers.isHalfTaken();
    }

    /** What is taken of each budget, for the log. */
    @Override
    public String toString() {
        return "partial messages " + partialMessages + ", unprocessed input " + unprocessedInput + ", commands "
                + commands + ", prepared statements " + preparedStatements + ", answers " + answers;
    }
}
