package lupinvalve.routing;

/** The role that a server stated in an answer. */
public enum ServerRole {
    /** None was stated. */
    UNKNOWN,
    /** Takes writes. */
    PRIMARY,
    /** Applies the primary's log. */
    REPLICA
}
