package lupinvalve.routing;

/**
 * One attempt in flight: a request sent to one server, not answered yet. Times are on the router's clock.
 *
 * @param number the number of earlier attempts of the same request, so 0 for the first
 * @param startedMicros when the attempt was started
 * @param overdueAtMicros the time after which the attempt is overdue: load alone no longer explains the missing answer
 * @param connectionIdleMicros how long the connection that carries the attempt had been idle before; 0 if the
 *     connection is new or was in use
 */
record Attempt(
        PendingRequest request,
        int number,
        Server server,
        long startedMicros,
        long overdueAtMicros,
        long connectionIdleMicros) {}
