package lupinvalve.drills;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the daemons' logs tell of the group: who leads, on which revision each member acts, and which point went wrong.
 */
final class GroupLog {
    private static final Pattern ADOPTED =
            Pattern.compile("store: adopted revision (\\d+), change \\d+, digest ([0-9a-f]+)");
    private static final Pattern LEADS = Pattern.compile("store: (\\S+)/\\S+ leads, term (\\d+)");
    private static final Pattern POINT = Pattern.compile(" point \\d+ at [A-Z]+: [A-Z_]+$");
    private static final String STOPPED = ": STOPPED";

    private final RevisionChecker checker;
    private final Map<String, Long> adopted = new ConcurrentHashMap<>();
    private final Set<Integer> terms = new ConcurrentSkipListSet<>();
    private volatile String leader;
    private volatile String pointMet;

    GroupLog(RevisionChecker checker) {
        this.checker = checker;
    }

    /** A daemon wrote a line; whether it says that the daemon has stopped itself at a point, to be woken. */
    boolean stopped(String member, String line) {
        Matcher adoption = ADOPTED.matcher(line);
        if (adoption.find()) {
            long revision = Long.parseLong(adoption.group(1));
            adopted.put(member, revision);
            checker.adopted(member, revision, adoption.group(2));
        }
        Matcher leads = LEADS.matcher(line);
        if (leads.find()) {
            terms.add(Integer.parseInt(leads.group(2)));
            leader = leads.group(1);
        }
        boolean met = POINT.matcher(line).find();
        if (met) {
            pointMet = line;
        }
        return met && line.endsWith(STOPPED);
    }

    /** A member is started anew, and acts on nothing yet. */
    void started(String member) {
        adopted.put(member, 0L);
    }

    /** The revision that a member acts on. */
    long adopted(String member) {
        return adopted.getOrDefault(member, 0L);
    }

    /** Who leads, or null where that is not known yet. */
    String leader() {
        return leader;
    }

    /** How many terms had a leader. */
    int elections() {
        return terms.size();
    }

    /** The log's line of the point at which something went wrong, or null where it was not met. */
    String pointMet() {
        return pointMet;
    }
}
