package lupinvalve.routing;

/**
 * Where long-running reads go. While one runs on a replica nothing of the log is applied there, so all routers put them
 * on the same one: the first of the group, by id, that is usable and warm.
 */
final class LongReadPlacement {
    /** Reads of any age are long if their objective is so many times the shortest of all classes. */
    private static final double LONG_OBJECTIVE_MULTIPLE = 4;

    private final ServerEligibility eligibility;
    private final SlowStart slowStart;
    private final Admission admission;
    private final PrimaryFallback fallback;
    private final AttemptDispatcher dispatcher;
    private final boolean[] longClasses;
    private final boolean anyLong;

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
        long shortestMicros = settings.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        longClasses = new boolean[settings.classes().size()];
        boolean any = false;
        for (int i = 0; i < longClasses.length; i++) {
            RequestClass requestClass = settings.classes().get(i);
            longClasses[i] = requestClass.access() == RequestClass.Access.ANY
                    && requestClass.latencyObjectiveMicros() >= LONG_OBJECTIVE_MULTIPLE * shortestMicros;
            any |= longClasses[i];
        }
        anyLong = any;
    }

    /** Whether the reads of a class are long-running. */
    boolean isLong(int classIndex) {
        return longClasses[classIndex];
    }

    /** The replica that long reads go to, apart from one that may be null; null where there are none or no replica. */
    Server reservedReplica(ServerGroup group, Server excluded) {
        if (!anyLong) {
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
