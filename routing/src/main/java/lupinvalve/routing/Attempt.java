package lupinvalve.routing;

/**
 * One attempt in flight.
 *
 * @param number the count of earlier attempts of the request
 * @param overdueMicros from when on its answer is taken for late beyond what load explains
 * @param connectionIdleMicros how long the connection it went out on had been idle; 0 for one in use or a new one
 */
record Attempt(
        PendingRequest request,
        int number,
        Server server,
        long startedMicros,
        long overdueMicros,
        long connectionIdleMicros) {}
