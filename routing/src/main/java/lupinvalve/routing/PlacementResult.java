package lupinvalve.routing;

/** What came of looking for a server for a request. */
enum PlacementResult {
    /** An attempt was started. */
    STARTED,
    /** No server may have it now; it may wait for one. */
    NO_SERVER,
    /** No server may have it, and at least one shed it. */
    SHED;

    /** The result of not starting an attempt, after at least one server shed the request or none did. */
    static PlacementResult notStarted(boolean shed) {
        return shed ? SHED : NO_SERVER;
    }
}
