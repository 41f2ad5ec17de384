package lupinvalve.core;

/**
 * A client's request as its frontend parsed it. Immutable; times are Unix time in microseconds.
 *
 * @param id id that the client gave it; db nodes identify the request by it, so no two open requests may share one
 * @param classIndex index of its request class in the settings
 * @param retry whether the client marks it as a retry
 * @param session key of its session, or null for none
 * @param tokenMicros session token that the client sent: the log position that a read must see; 0 for none
 * @param group group of db nodes that it is addressed to
 * @param arrivedAtMicros when its last byte was received
 * @param expiresAtMicros when the client stops waiting
 * @param protocol name of the backend that carries the statement
 * @param statement what that backend sends
 */
public record ClientRequest(
        String id,
        int classIndex,
        boolean retry,
        String session,
        long tokenMicros,
        int group,
        long arrivedAtMicros,
        long expiresAtMicros,
        String protocol,
        Object statement) {
    /** How long the client waits for the answer, from the arrival of the request, in microseconds. */
    long timeoutMicros() {
        return expiresAtMicros - arrivedAtMicros;
    }
}
