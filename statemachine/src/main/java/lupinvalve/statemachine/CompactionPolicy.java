package lupinvalve.statemachine;

/** Decides when the log is compacted: its size on disk stays within twice that of the state that it leads to. */
public final class CompactionPolicy {
    /** Below this size a compaction is not worth its writing. */
    public static final long MIN_HISTORY_BYTES = 512 << 10;

    private CompactionPolicy() {}

    /**
     * Whether the log is to be compacted now.
     *
     * @param historyBytes of log entries on disk
     * @param retainedBytes of them that the last compaction left for members that are behind; another would leave them
     *     as well
     * @param snapshotBytes of the last snapshot
     */
    public static boolean isDue(long historyBytes, long retainedBytes, long snapshotBytes) {
        return historyBytes - retainedBytes > Math.max(MIN_HISTORY_BYTES, snapshotBytes);
    }
}
