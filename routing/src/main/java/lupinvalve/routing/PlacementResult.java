package lupinvalve.routing;

/** The result of looking for a server for a request, see {@link RequestPlacement}. */
enum PlacementResult {
    /** An attempt was started. */
    STARTED,
    /** No server may take the request now; it may be queued until one can. */
    NO_SERVER,
    /** No server may take the request, and load shedding rejected it for at least one of them. */
    SHED;

    /**
     * Returns the result where no attempt was started.
     *
     * @param shed whether load shedding rejected the request for at least one server
     */
    static PlacementResult notStarted(boolean shed) {
        return shed ? SHED : NO_SERVER;
    }
}
