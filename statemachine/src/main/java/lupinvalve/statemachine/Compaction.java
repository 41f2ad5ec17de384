package lupinvalve.statemachine;

/** Decides when the history is cut: what is on disk stays within twice the state that it leads to. */
public final class Compaction {
    /** Below this much history a cut is not worth its writing. */
    public static final long LEAST = 512 << 10;

    private Compaction() {}

    /**
     * @param historyBytes of changes on disk
     * @param keptBytes of them that the last cut left, for members that are behind: another cut would leave them as
     *     well
     * @param stateBytes of the last snapshot
     */
    public static boolean due(long historyBytes, long keptBytes, long stateBytes) {
        return historyBytes - keptBytes > Math.max(LEAST, stateBytes);
    }
}
