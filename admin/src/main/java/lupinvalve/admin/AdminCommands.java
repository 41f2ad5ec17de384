package lupinvalve.admin;

import java.util.function.Consumer;

/**
 * The commands of the admin interface: reads a line, has its command carried out by a {@link Target}, and words the
 * answer. Decides nothing. Stateless; for any thread.
 */
public final class AdminCommands {
    /** What commands act on. Called on the admin interface's threads; callbacks may come on any thread, once. */
    public interface Target {
        /** Why this process is not ready to serve, or null. */
        String notReadyReason();

        /** One counter a line, each ended. */
        String counters();

        /**
         * Starts or ends the drain of a db node.
         *
         * @param objection is given why it can't be done, or null once it is done
         */
        void setNodeDrain(boolean drain, String id, Consumer<String> objection);

        /**
         * Starts or ends the drain of this process: whether its clients are sent away.
         *
         * @param objection is given why it can't be done, or null once it is done
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

    /** @param target what commands act on */
    public AdminCommands(Target target) {
        this.target = target;
    }

    /**
     * Carries out a line.
     *
     * @param line without its line feed
     * @param answer is given the whole answer, once, on any thread
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
