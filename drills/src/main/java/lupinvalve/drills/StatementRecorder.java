package lupinvalve.drills;

import java.util.Map;

/** Reports the statements that db nodes receive and run to the checkers of requests and of timing. */
final class StatementRecorder implements DbNodes.Listener {
    private static final String NO_ID = "?";
    private final RequestChecker requestChecker;
    private final Timing timing;
    private final RunListener runListener;

    /** Notified of each statement that a db node ran, on that db node's thread. */
    interface RunListener {
        /** A db node ran a statement of a pooler at a Unix time in milliseconds. */
        void statementRan(String node, String pooler, long millis);
    }

    StatementRecorder(RequestChecker requestChecker, Timing timing, RunListener runListener) {
        this.requestChecker = requestChecker;
        this.timing = timing;
        this.runListener = runListener;
    }

    @Override
    public void ran(DbNodes.DbNode node, String pooler, Map<String, String> fields, boolean write) {
        requestChecker.ran(fields.getOrDefault("id", NO_ID), node.id);
        runListener.statementRan(node.id, pooler, System.currentTimeMillis());
    }

    @Override
    public void arrived(DbNodes.DbNode node, String pooler, Map<String, String> fields, long at) {
        timing.arrived(node.id, pooler, fields.getOrDefault("id", NO_ID), at);
    }
}
