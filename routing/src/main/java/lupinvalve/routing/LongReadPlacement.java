package lupinvalve.routing;

/**
 * Places long-running reads. A replica applies nothing of the replication log while such a read runs there, so all
 * routers send them to the same replica of a group, its reserved replica: the first by id that is eligible and not in
 * slow start. The other replicas stay fresh for other reads.
 */
final class LongReadPlacement {
    /**
     * A class of reads that accept data of any age is long-running if its latency objective is at least this multiple
     * of the shortest objective of all classes.
     */
    private static final double LONG_OBJECTIVE_MULTIPLE = 4;

    private final ServerEligibility eligibility;
    private final SlowStart slowStart;
    private final Admission admission;
    private final PrimaryFallback fallback;
    private final AttemptDispatcher dispatcher;
    private final boolean[] longClasses;
    private final boolean hasLongClasses;

    LongReadPlacement(
            RouterContext context,
            ServerEligibility eligibility,
            SlowStart slowStart,
            Admission admission,
            PrimaryFallback fallback,
            AttemptDispatcher dispatcher) {
        this.eligibility = eligibility;
        this.slowStart = slowStart;
        this.admission = admission;
        this.fallback = fallback;
        this.dispatcher = dispatcher;
        RouterSettings settings = context.settings();
        long shortestObjectiveMicros = settings.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        longClasses = new boolean[settings.classes().size()];
        boolean anyClassLong = false;
        for (int i = 0; i < longClasses.length; i++) {
            RequestClass requestClass = settings.classes().get(i);
            longClasses[i] = requestClass.access() == RequestClass.Access.ANY
                    && requestClass.latencyObjectiveMicros() >= LONG_OBJECTIVE_MULTIPLE * shortestObjectiveMicros;
            anyClassLong |= longClasses[i];
        }
        hasLongClasses = anyClassLong;
    }

    /** Whether a class consists of long-running reads. */
    boolean isLong(int classIndex) {
        return longClasses[classIndex];
    }

    /**
     * Returns the replica of a group that long-running reads go to, or null if no class has such reads or no replica
     * qualifies.
     *
     * @param excluded a replica that is not considered, or null
     */
    Server reservedReplica(ServerGroup group, Server excluded) {
        if (!hasLongClasses) {
            return null;
        }
        for (Server server : group.members) {
            if (server != group.primary()
                    && server != excluded
                    && eligibility.isEligible(server, false)
                    && !slowStart.inSlowStart(server)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Starts a long-running read at the reserved replica, or at the next one that qualifies if the request's last
     * attempt went to that one. If no attempt can be started there, the read goes to the primary once it has waited
     * long enough.
     */
    PlacementResult place(PendingRequest request) {
        Server replica = reservedReplica(request.group, request.history.lastServer());
        boolean shed = false;
        if (replica != null) {
            AdmissionResult admitted = admission.admit(replica, request, 1);
            if (admitted == AdmissionResult.ADMITTED) {
                dispatcher.start(request, replica);
                return PlacementResult.STARTED;
            }
            shed = admitted == AdmissionResult.SHED;
        }
        return fallback.isDueForLongRead(request) ? fallback.place(request, shed) : PlacementResult.notStarted(shed);
    }
}
