package lupinvalve.routing;

/**
 * Decides when a read goes to the primary instead of a replica: once it has waited long enough for a fresh replica, at
 * once where waiting is useless, and where the best replica is far more loaded than the primary.
 */
final class PrimaryFallback {
    /** The longest time that a read waits for a fresh replica. */
    private static final long MAX_WAIT_MICROS = 2_000_000;
    /** A read also waits for a replica no longer than this part of its latency objective. */
    private static final double WAIT_OBJECTIVE_RATIO = 0.2;
    /**
     * The part of the primary's in-flight limit that reads other than strong ones may fill; the rest is reserved for
     * strong reads and writes.
     */
    private static final double READ_LIMIT_RATIO = 0.6;
    /** A read spills over to the primary only if the replica's latency ratio (latency over objective) is above this. */
    private static final double SPILL_MIN_LATENCY_RATIO = 0.25;
    /** A read spills over only if the replica's latency ratio is also above this multiple of the primary's. */
    private static final double SPILL_LATENCY_RATIO_MULTIPLE = 2;

    private final RouterContext context;
    private final ReplicationLag lag;
    private final LoadStatistics load;
    private final ServerEligibility eligibility;
    private final Admission admission;
    private final AttemptDispatcher dispatcher;

    PrimaryFallback(
            RouterContext context,
            ReplicationLag lag,
            LoadStatistics load,
            ServerEligibility eligibility,
            Admission admission,
            AttemptDispatcher dispatcher) {
        this.context = context;
        this.lag = lag;
        this.load = load;
        this.eligibility = eligibility;
        this.admission = admission;
        this.dispatcher = dispatcher;
    }

    /**
     * Whether a read for which no replica was found goes to the primary now. It does if the primary is eligible and the
     * read has waited long enough or would wait in vain. Waiting is useless for a strong read, if a fresh replica had
     * no capacity, and if no replica will be fresh before the wait ends.
     *
     * @param replicaAtLimit whether a replica was fresh enough but did not admit the read
     * @param untilFreshMicros the shortest expected time until a replica is fresh enough
     */
    boolean isDue(PendingRequest request, boolean replicaAtLimit, long untilFreshMicros) {
        long objectiveMicros = request.requestClass.latencyObjectiveMicros();
        long waitEndsMicros =
                request.arrivedMicros + (long) Math.min(MAX_WAIT_MICROS, WAIT_OBJECTIVE_RATIO * objectiveMicros);
        boolean waitIsUseless =
                replicaAtLimit || request.isStrongRead() || untilFreshMicros > waitEndsMicros - context.nowMicros();
        return eligibility.isEligible(request.group.primary(), false)
                && (waitIsUseless || context.nowMicros() >= waitEndsMicros);
    }

    /** Whether a long-running read for which no replica was found goes to the primary now. */
    boolean isDueForLongRead(PendingRequest request) {
        double waitMicros = WAIT_OBJECTIVE_RATIO * request.requestClass.latencyObjectiveMicros();
        return context.nowMicros() > request.arrivedMicros + waitMicros
                && eligibility.isEligible(request.group.primary(), false);
    }

    /**
     * Starts a read at the primary if it is admitted there.
     *
     * @param shed whether load shedding already rejected the read for a replica
     */
    PlacementResult place(PendingRequest request, boolean shed) {
        Server primary = request.group.primary();
        AdmissionResult admitted = admission.admit(primary, request, request.isStrongRead() ? 1 : READ_LIMIT_RATIO);
        if (admitted == AdmissionResult.ADMITTED) {
            dispatcher.start(request, primary);
            return PlacementResult.STARTED;
        }
        return PlacementResult.notStarted(shed || admitted == AdmissionResult.SHED);
    }

    /**
     * Whether a read goes to the primary in place of the selected replica, because the replica is far more loaded. A
     * call can use up slow start budget of the primary, see {@link Admission#admit}.
     */
    boolean spillsOver(PendingRequest request, Server replica) {
        Server primary = request.group.primary();
        return lag.isCheckedByServers()
                && eligibility.isEligible(primary, false)
                && !request.history.erredServers().contains(primary)
                && load.latencyRatio(replica)
                        > Math.max(SPILL_MIN_LATENCY_RATIO, SPILL_LATENCY_RATIO_MULTIPLE * load.latencyRatio(primary))
                && admission.admit(primary, request, READ_LIMIT_RATIO) == AdmissionResult.ADMITTED;
    }
}
