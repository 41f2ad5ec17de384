package lupinvalve.routing;

/** Where writes go: to the primary, or, where none is known, to members in turn until one turns out to be it. */
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

    PlacementResult place(PendingRequest request) {
        ServerGroup group = request.group;
        Server primary = group.primary();
        if (eligibility.isEligible(primary, true)) {
            return placeAt(primary, request);
        }
        // A primary that is listed is waited for: no other member takes writes.
        boolean listed = primary != null && eligibility.isListed(primary, true);
        return listed || !search.isAttemptDue(group) || !retryPolicy.maySearchPrimary(request)
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
