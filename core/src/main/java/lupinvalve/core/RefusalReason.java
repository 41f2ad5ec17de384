package lupinvalve.core;

/** Why a frontend rejected a request before it was submitted. The texts stand in log lines. */
public enum RefusalReason {
    /** The client has too many requests unanswered. */
    TOO_MANY_AT_ONCE("too many at once"),
    /** There is no memory for the statement. */
    NO_COMMAND_MEMORY("no memory for commands"),
    /** The client has to read earlier answers first. */
    ANSWERS_UNREAD("answers unread"),
    /** All requests that may be open are. */
    TABLE_FULL("table full"),
    /** More of the client's input waits unread, so that it may have left. */
    INPUT_UNREAD("input unread"),
    /** The client's share of what can be served at once was taken for too long. */
    SHARE_TAKEN("share taken");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
