package lupinvalve.routing;

/** Whether a server may be sent a request now: in-flight limit, load shedding and slow start, in this order. */
final class Admission {
    private final InFlightLimit limit;
    private final LoadShedding shedding;
    private final SlowStart slowStart;

    Admission(InFlightLimit limit, LoadShedding shedding, SlowStart slowStart) {
        this.limit = limit;
        this.shedding = shedding;
        this.slowStart = slowStart;
    }

    /**
     * Judges one request at one server; asking may use up slow start budget.
     *
     * @param limitRatio part of the server's in-flight limit that the request may fill
     */
    AdmissionResult admit(Server server, PendingRequest request, double limitRatio) {
        if (!limit.hasCapacity(server, limitRatio)) {
            return AdmissionResult.AT_LIMIT;
        }
        if (shedding.sheds(server, request, limitRatio)) {
            return slowStart.inSlowStart(server) ? AdmissionResult.IN_SLOW_START : AdmissionResult.SHED;
        }
        return slowStart.admits(server, request) ? AdmissionResult.ADMITTED : AdmissionResult.IN_SLOW_START;
    }
}
