package lupinvalve.routing;

/** How an endpoint update relates to the endpoint list known before. */
public enum ListForm {
    /** Entries that changed. */
    UPDATE,
    /** The complete list. */
    FULL,
    /** The complete list of an earlier process. */
    RESTORED,
    /** Discovery did not answer; the known list stays in force. */
    UNAVAILABLE
}
