package lupinvalve.core;

/**
 * A client's request as its frontend read it. Immutable; times are Unix time in microseconds.
 *
 * @param id the client's name for it; db nodes know it by this, so no two open requests may have the same
 * @param classIndex index of its class in the settings
 * @param retry whether the client says that it has sent this request before
 * @param session key of the session, or null for none
 * @param tokenMicros log position that a read must see, carried by the client; 0 for none
 * @param group the group of db nodes that it is for
 * @param arrivedAtMicros when its last byte came
 * @param expiresAtMicros when the client stops waiting
 * @param protocol name of the backend that can carry the statement
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
    /** How long the client said that it would wait, in microseconds. */
    long timeoutMicros() {
        return expiresAtMicros - arrivedAtMicros;
    }
}
