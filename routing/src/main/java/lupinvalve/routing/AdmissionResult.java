package lupinvalve.routing;

/** The result of {@link Admission#admit}: whether an attempt may be started at a server now, and if not, why. */
enum AdmissionResult {
    ADMITTED,
    /** The server's in-flight limit is reached, or the server rejected an attempt within the last moments. */
    AT_LIMIT,
    /** The server is in slow start, and its share of requests is used up for now. */
    IN_SLOW_START,
    /**
     * Load shedding rejects the request. The request is then rejected rather than queued, as waiting would not help.
     */
    SHED
}
