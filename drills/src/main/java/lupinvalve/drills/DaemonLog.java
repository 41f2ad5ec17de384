package lupinvalve.drills;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a daemon's own log says that must not be. Without I/O. */
final class DaemonLog {
    /** That a configuration can't be used is what a half written file is told as. */
    private static final Pattern FAULT = Pattern.compile("ERROR (?!configuration:).*|Exception in thread.*");
    /** Ends that are the pooler's own choice: nothing may be due on them. */
    private static final String OWN_CHOICE =
            "(?:to make room|it said nothing|too many clients|clients are sent away|a long answer broke off)";

    private static final Pattern OWED =
            Pattern.compile("client \\S+ ended: " + OWN_CHOICE + "; open \\d+ ms, \\d+ requests due" + "|\\d+ "
                    + OWN_CHOICE + " \\(open \\d+ to \\d+ ms, [1-9]\\d* requests due\\)");

    private DaemonLog() {}

    /** The part of a line that tells of a fault of the program itself, or null. */
    static String fault(String line) {
        String found = find(FAULT, line);
        return found != null ? found : owed(line);
    }

    /**
     * The part of a line that tells of a connection which the pooler ended by its own choice with something due, or
     * null.
     */
    static String owed(String line) {
        return find(OWED, line);
    }

    private static String find(Pattern pattern, String line) {
        Matcher found = pattern.matcher(line);
        return found.find() ? found.group() : null;
    }
}
