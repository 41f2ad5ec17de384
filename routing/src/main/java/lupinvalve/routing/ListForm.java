package lupinvalve.routing;

/** The kind of an endpoint update: how it relates to the endpoint list known before. */
public enum ListForm {
    /** The entries that changed. */
    UPDATE,
    /** The complete list, from discovery. */
    FULL,
    /** The complete list that an earlier process of the pooler had, read from a file. */
    RESTORED,
    /** No list: discovery did not answer, and the known list stays in force. */
    UNAVAILABLE
}
