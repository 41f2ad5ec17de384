package lupinvalve.statemachine;

/** Decides when the history is cut: what is on disk stays within twice the state that it leads to. */
public final class CompactionPolicy {
    /** Below this much history a cut is not worth its writing. */
    public static final long MIN_HISTORY_BYTES = 512 << 10;

    private CompactionPolicy() {}

    /**
     * @param historyBytes of changes on disk
     * @param keptBytes of them that the last cut left, for members that are behind: another cut would leave them as
     *     well
     * @param stateBytes of the last snapshot
     */
    public static boolean isDue(long historyBytes, long keptBytes, long stateBytes) {
        return historyBytes - keptBytes > Math.max(MIN_HISTORY_BYTES, stateBytes);
    }
}
