package lupinvalve.capacity;

/** Measurements of earlier runs, as published in the project's pages; the scale runs' figures are in {@link Slopes}. */
final class EarlierMeasurements {
    /** {@code lab store-bench}, three members: small changes per second in the slowest and in the fastest run. */
    static final double MIN_CHANGES_PER_SECOND = 30_700;

    static final double MAX_CHANGES_PER_SECOND = 52_700;
    /**
     * {@code lab store-bench}, three members: time from a change's proposal to its acceptance, median of the slowest
     * run.
     */
    static final double COMMIT_SECONDS = 0.024;
    /**
     * {@code lab store-drill}, three members: time from killing the leader until the next one leads, median and
     * maximum.
     */
    static final double FAILOVER_P50_SECONDS = 0.79;

    static final double MAX_FAILOVER_SECONDS = 1.15;
    /** {@code lab audit-drill}, 7 poolers: duration of a strict change, p99. */
    static final double STRICT_P99_SECONDS = 2.04;
    /** Pages that contain these measurements. */
    static final String LOG_PAGE = "`lab store-bench`, docs/replicated-log.md";

    static final String DRILL_PAGE = "`lab store-drill`, docs/replicated-log.md";
    static final String AUDIT_PAGE = "`lab audit-drill`, docs/audit.md";
    /** {@code lab store-cost}: a request's median latency through a pooler without a store, one at a time. */
    static final double REQUEST_SECONDS = 173e-6;

    private EarlierMeasurements() {}
}
