package lupinvalve.routing;

/** The result of {@link Admission#admit}: whether an attempt may be started at a server now, and if not, why. */
enum AdmissionResult {
    ADMITTED,
    /** The server's in-flight limit is reached, or the server rejected an attempt within the last moments. */
    AT_LIMIT,
    /**
     * The server is in slow start, and either slow start does not admit the request now or load shedding rejects it
     * there.
     */
    IN_SLOW_START,
    /**
     * Load shedding rejects the request at this server. If no other server admits it either, a request that is not
     * queued yet is given up rather than queued, as waiting would not help.
     */
    SHED
}
