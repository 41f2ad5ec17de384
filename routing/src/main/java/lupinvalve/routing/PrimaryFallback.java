package lupinvalve.routing;

/**
 * When a read goes to the primary instead of a replica: once it has waited for a fresh one, at once where waiting is of
 * no use, and where replicas are loaded and the primary is not.
 */
final class PrimaryFallback {
    /** How long a read waits for a replica at most, and at most this part of its latency objective. */
    private static final long MAX_WAIT_MICROS = 2_000_000;

    private static final double WAIT_OBJECTIVE_RATIO = 0.2;
    /** Part of the primary's in-flight limit that reads may fill; the rest is for writes. */
    private static final double READ_LIMIT_RATIO = 0.6;
    /** Pressure at a replica from which on reads may spill over. */
    private static final double SPILL_MIN_PRESSURE_RATIO = 0.25;
    /** They do so if the replica's pressure is over so many times the primary's. */
    private static final double SPILL_PRESSURE_MULTIPLE = 2;

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
     * Whether a read that found no replica goes to the primary now.
     *
     * @param replicaAtLimit whether a fresh replica had no capacity
     * @param untilFreshMicros in how long a replica may be fresh
     */
    boolean isDue(PendingRequest request, boolean replicaAtLimit, long untilFreshMicros) {
        long objective = request.requestClass.latencyObjectiveMicros();
        long waitsUntilMicros =
                request.arrivedMicros + (long) Math.min(MAX_WAIT_MICROS, WAIT_OBJECTIVE_RATIO * objective);
        boolean waitIsUseless =
                replicaAtLimit || request.isStrongRead() || untilFreshMicros > waitsUntilMicros - context.nowMicros();
        return eligibility.isEligible(request.group.primary(), false)
                && (waitIsUseless || context.nowMicros() >= waitsUntilMicros);
    }

    /** Whether a long-running read that found no replica goes to the primary now. */
    boolean isDueForLongRead(PendingRequest request) {
        double waitMicros = WAIT_OBJECTIVE_RATIO * request.requestClass.latencyObjectiveMicros();
        return context.nowMicros() > request.arrivedMicros + waitMicros
                && eligibility.isEligible(request.group.primary(), false);
    }

    /** Starts the read at the primary if that admits it; {@code shed} tells whether a replica shed it before. */
    PlacementResult place(PendingRequest request, boolean shed) {
        Server primary = request.group.primary();
        AdmissionResult admitted = admission.admit(primary, request, request.isStrongRead() ? 1 : READ_LIMIT_RATIO);
        if (admitted == AdmissionResult.ADMITTED) {
            dispatcher.start(request, primary);
            return PlacementResult.STARTED;
        }
        return PlacementResult.notStarted(shed || admitted == AdmissionResult.SHED);
    }

    /** Whether a read goes to the primary in place of a replica that is under far more pressure. */
    boolean spillsOver(PendingRequest request, Server replica) {
        Server primary = request.group.primary();
        return lag.isCheckedByServers()
                && eligibility.isEligible(primary, false)
                && !request.history.erredServers().contains(primary)
                && load.pressure(replica)
                        > Math.max(SPILL_MIN_PRESSURE_RATIO, SPILL_PRESSURE_MULTIPLE * load.pressure(primary))
                && admission.admit(primary, request, READ_LIMIT_RATIO) == AdmissionResult.ADMITTED;
    }
}
