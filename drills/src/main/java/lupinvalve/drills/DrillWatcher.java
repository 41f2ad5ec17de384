package lupinvalve.drills;

/** Hears what happens while a drill runs; times in Unix milliseconds. */
public interface DrillWatcher {
    /** A db node ran a statement that came from a pooler. */
    default void ran(String node, String pooler, long at) {}

    /** A pooler wrote a line to its log. */
    default void line(String pooler, String line, long at) {}
}
