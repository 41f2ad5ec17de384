package lupinvalve.routing;

/** The replication role that a server stated in an answer or a health check. */
public enum ServerRole {
    /** The server stated no role. */
    UNKNOWN,
    /** Accepts writes. */
    PRIMARY,
    /** Applies the primary's log. */
    REPLICA
}
