package lupinvalve.drills;

/** Notified of events while a drill runs, on the threads on which they occur; times are in Unix milliseconds. */
public interface DrillWatcher {
    /** A db node ran a statement of a pooler. */
    default void statementRan(String node, String pooler, long at) {}

    /** A pooler wrote a line to its log. */
    default void logLine(String pooler, String line, long at) {}
}
