package lupinvalve.routing;

/** Whether a server may be sent a request now. */
enum AdmissionResult {
    ADMITTED,
    /** As much is in flight as the server may have, or it just rejected an attempt. */
    AT_LIMIT,
    /** The server is in slow start and has had its part. */
    IN_SLOW_START,
    /** Load shedding rejects the request; queueing it would not help. */
    SHED
}
