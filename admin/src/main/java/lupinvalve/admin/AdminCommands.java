package lupinvalve.admin;

import java.util.function.Consumer;

/** Reads an operator's line, and has it carried out. Nothing is decided here. */
public final class AdminCommands {
    /** What calls are about. Called by the operators' address's threads; an answer may be given by any thread. */
    public interface Target {
        /** Why this process is not ready to serve, or null. */
        String notReadyReason();

        /** One figure a line. */
        String counters();

        /** Takes a db node out or back; the answer is why it can't be done, or null. */
        void setNodeDrain(boolean takeOut, String id, Consumer<String> objection);

        /** Sends clients away, or takes them again; the answer is why it can't be done, or null. */
        void setPoolerDrain(boolean quiesce, Consumer<String> objection);
    }

    private final Target pooler;

    public AdminCommands(Target pooler) {
        this.pooler = pooler;
    }

    /** Carries out a line; {@code answer} is given the whole answer, once. */
    void execute(String line, Consumer<String> answer) {
        String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        if (!text.chars().allMatch(c -> c >= ' ' && c < 127)) {
            answer.accept("fail a line is printable ASCII\n");
            return;
        }
        String[] words = text.strip().split(" +");
        boolean named = words[0].equals("cordon") || words[0].equals("uncordon");
        if (words.length != (named ? 2 : 1)) {
            answer.accept(
                    words[0].isEmpty()
                            ? "fail no call\n"
                            : "fail " + words[0] + (named ? " takes one id\n" : " takes nothing more\n"));
            return;
        }
        Consumer<String> done = objection -> answer.accept(objection == null ? "ok\n" : "fail " + objection + "\n");
        switch (words[0]) {
            case "health" -> done.accept(pooler.notReadyReason());
            case "counters" -> answer.accept("ok\n" + pooler.counters() + "eof\n");
            case "cordon", "uncordon" -> pooler.setNodeDrain(words[0].equals("cordon"), words[1], done);
            case "quiesce", "resume" -> pooler.setPoolerDrain(words[0].equals("quiesce"), done);
            default -> answer.accept("fail no such call: " + words[0] + "\n");
        }
    }
}
