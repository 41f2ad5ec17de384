package lupinvalve.admin;

import java.util.function.Consumer;

/**
 * The commands of the admin interface: parses a command line, has a {@link Target} execute it, and formats the answer.
 * Stateless; safe for any thread.
 */
public final class AdminCommands {
    /** Executes the commands. Called on the admin interface's threads; each callback is called once, on any thread. */
    public interface Target {
        /** Why this process is not ready to serve, or null if it is. */
        String notReadyReason();

        /** The counters, one a line; each line ends with a line feed. */
        String counters();

        /**
         * Starts or ends the drain of a db node.
         *
         * @param objection receives why the command is rejected, or null once it is executed
         */
        void setNodeDrain(boolean drain, String id, Consumer<String> objection);

        /**
         * Starts or ends the drain of this process's client connections.
         *
         * @param objection receives why the command is rejected, or null once it is executed
         */
        void setPoolerDrain(boolean drain, Consumer<String> objection);
    }

    private static final String HEALTH = "health";
    private static final String COUNTERS = "counters";
    private static final String CORDON = "cordon";
    private static final String UNCORDON = "uncordon";
    private static final String QUIESCE = "quiesce";
    private static final String RESUME = "resume";

    private static final String OK = "ok\n";
    private static final String END_OF_COUNTERS = "eof\n";

    private final Target target;

    /** @param target executes the commands */
    public AdminCommands(Target target) {
        this.target = target;
    }

    /**
     * Executes one command line.
     *
     * @param line the command without its line feed
     * @param answer receives the complete answer, once, on any thread
     */
    void execute(String line, Consumer<String> answer) {
        String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        if (!text.chars().allMatch(c -> c >= ' ' && c < 127)) {
            answer.accept(failed("a line is printable ASCII"));
            return;
        }
        String[] arguments = text.strip().split(" +");
        String name = arguments[0];
        boolean takesId = name.equals(CORDON) || name.equals(UNCORDON);
        if (arguments.length != (takesId ? 2 : 1)) {
            answer.accept(failed(name + (takesId ? " takes one id" : " takes nothing more")));
        } else {
            dispatch(arguments, answer);
        }
    }

    private void dispatch(String[] arguments, Consumer<String> answer) {
        Consumer<String> done = objection -> answer.accept(objection == null ? OK : failed(objection));
        switch (arguments[0]) {
            case HEALTH -> done.accept(target.notReadyReason());
            case COUNTERS -> answer.accept(OK + target.counters() + END_OF_COUNTERS);
            case CORDON -> target.setNodeDrain(true, arguments[1], done);
            case UNCORDON -> target.setNodeDrain(false, arguments[1], done);
            case QUIESCE -> target.setPoolerDrain(true, done);
            case RESUME -> target.setPoolerDrain(false, done);
            default -> answer.accept(failed("no such call: " + arguments[0]));
        }
    }

    static String failed(String reason) {
        return "fail " + reason + "\n";
    }
}
