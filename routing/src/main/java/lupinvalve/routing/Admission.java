package lupinvalve.routing;

/**
 * Decides whether an attempt of a request may be started at a server now. Applies the in-flight limit, load shedding
 * and slow start, in this order. If load shedding rejects a request at a server in slow start, the result is
 * {@link AdmissionResult#IN_SLOW_START}, so that the request is not given up because of that server.
 */
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
     * Decides for one request at one server. A call can use up slow start budget of the server, even if the caller then
     * starts no attempt.
     *
     * @param limitRatio the part of the server's in-flight limit, from 0 to 1, that attempts of this kind may fill
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
