package lupinvalve.routing;

/**
 * Places writes: at the primary or, where none is known, at the members of the group in turn until the primary is
 * found.
 */
final class WritePlacement {
    private final PrimarySearch search;
    private final ServerEligibility eligibility;
    private final Admission admission;
    private final RetryPolicy retryPolicy;
    private final AttemptDispatcher dispatcher;

    WritePlacement(
            PrimarySearch search,
            ServerEligibility eligibility,
            Admission admission,
            RetryPolicy retryPolicy,
            AttemptDispatcher dispatcher) {
        this.search = search;
        this.eligibility = eligibility;
        this.admission = admission;
        this.retryPolicy = retryPolicy;
        this.dispatcher = dispatcher;
    }

    /**
     * Starts a write at the primary, or at a possible primary if none is known or the known one may not get writes at
     * all.
     */
    PlacementResult place(PendingRequest request) {
        ServerGroup group = request.group;
        Server primary = group.primary();
        if (eligibility.isEligible(primary, true)) {
            return placeAt(primary, request);
        }
        // If the endpoint list allows writes at the known primary but it can't be used now, the write waits for it, as
        // no other member accepts writes.
        boolean primaryAllowed = primary != null && eligibility.isAllowedByList(primary, true);
        return primaryAllowed || !search.isAttemptDue(group) || !retryPolicy.maySearchPrimary(request)
                ? PlacementResult.NO_SERVER
                : searchPrimary(request);
    }

    private PlacementResult searchPrimary(PendingRequest request) {
        boolean shed = false;
        Server candidate = search.nextCandidate(request.group);
        while (candidate != null) {
            PlacementResult result = placeAt(candidate, request);
            if (result == PlacementResult.STARTED) {
                search.attemptStarted(request.group);
                return result;
            }
            shed |= result == PlacementResult.SHED;
            candidate = search.nextCandidate(request.group);
        }
        search.roundEnded(request.group);
        return PlacementResult.notStarted(shed);
    }

    private PlacementResult placeAt(Server server, PendingRequest request) {
        AdmissionResult admitted = admission.admit(server, request, 1);
        if (admitted == AdmissionResult.ADMITTED && retryPolicy.mayRunAt(server, request)) {
            dispatcher.start(request, server);
            return PlacementResult.STARTED;
        }
        return PlacementResult.notStarted(admitted == AdmissionResult.SHED);
    }
}
