package lupinvalve.drills;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds lines in a daemon's log that report a fault of the daemon itself. Does no I/O. */
final class DaemonLog {
    /** Errors of the configuration are no fault: drills write half a file on purpose, and the daemon rejects it. */
    private static final Pattern FAULT = Pattern.compile("ERROR (?!configuration:).*|Exception in thread.*");
    /** Reasons for which the pooler itself ends a connection: no request may be unanswered on it then. */
    private static final String OWN_REASON =
            "(?:to make room|it said nothing|too many clients|clients are sent away|a long answer broke off)";

    private static final Pattern ENDED_WITH_REQUESTS_DUE =
            Pattern.compile("client \\S+ ended: " + OWN_REASON + "; open \\d+ ms, \\d+ requests due" + "|\\d+ "
                    + OWN_REASON + " \\(open \\d+ to \\d+ ms, [1-9]\\d* requests due\\)");

    private DaemonLog() {}

    /** The part of a line that reports a fault of the daemon itself, or null. */
    static String fault(String line) {
        String found = find(FAULT, line);
        return found != null ? found : endedWithRequestsDue(line);
    }

    /**
     * The part of a line that reports that the pooler itself ended a connection with a request unanswered on it, or
     * null.
     */
    static String endedWithRequestsDue(String line) {
        return find(ENDED_WITH_REQUESTS_DUE, line);
    }

    private static String find(Pattern pattern, String line) {
        Matcher found = pattern.matcher(line);
        return found.find() ? found.group() : null;
    }
}
