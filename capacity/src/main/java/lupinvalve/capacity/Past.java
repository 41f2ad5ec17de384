package lupinvalve.capacity;

/** What earlier runs measured and the project's pages tell; the scale runs' own figures are in {@link Slopes}. */
final class Past {
    /** {@code lab store-bench}, three members: small changes a second, from the slowest run to the fastest. */
    static final double CHANGES_LEAST = 30_700;

    static final double CHANGES_MOST = 52_700;
    /** The same: from a change's proposal to its acceptance, the slowest run's median. */
    static final double COMMIT_SECONDS = 0.024;
    /** {@code lab store-drill}, three members: a leader killed until the next one leads, median and worst. */
    static final double FAILOVER_P50_SECONDS = 0.79;

    static final double FAILOVER_MOST_SECONDS = 1.15;
    /** {@code lab audit-drill}, 7 poolers: a strict change, p99. */
    static final double STRICT_P99_SECONDS = 2.04;
    /** Where they stand. */
    static final String LOG_PAGE = "`lab store-bench`, docs/replicated-log.md";

    static final String DRILL_PAGE = "`lab store-drill`, docs/replicated-log.md";
    static final String AUDIT_PAGE = "`lab audit-drill`, docs/audit.md";
    /** {@code lab store-cost}: a request's median latency through a pooler without a store, one at a time. */
    static final double REQUEST_SECONDS = 173e-6;

    private Past() {}
}
