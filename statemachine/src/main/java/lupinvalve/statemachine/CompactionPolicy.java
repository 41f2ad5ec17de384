package lupinvalve.statemachine;

/** Decides when the log is compacted: the log's size on disk stays within twice that of the state it produces. */
public final class CompactionPolicy {
    /** Log size below which a compaction is not worth the write I/O. */
    public static final long MIN_HISTORY_BYTES = 512 << 10;

    private CompactionPolicy() {}

    /**
     * Whether the log must be compacted now.
     *
     * @param historyBytes size of the log entries on disk
     * @param retainedBytes size of those that the last compaction kept for lagging members; another compaction would
     *     keep them as well
     * @param snapshotBytes size of the last snapshot
     */
    public static boolean isDue(long historyBytes, long retainedBytes, long snapshotBytes) {
        return historyBytes - retainedBytes > Math.max(MIN_HISTORY_BYTES, snapshotBytes);
    }
}
