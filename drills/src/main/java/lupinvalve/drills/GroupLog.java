package lupinvalve.drills;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads from the daemons' logs which member leads, on which revision each member acts, and at which fail point a fault
 * was injected. Called from the threads that read the logs; safe for concurrent use.
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

    /** Reads a line of a member's log; returns whether it says that the member stops itself and has to be resumed. */
    boolean recordLine(String member, String line) {
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

    /** A member was restarted and acts on no revision yet. */
    void started(String member) {
        adopted.put(member, 0L);
    }

    /** The revision that a member acts on; 0 for none. */
    long adopted(String member) {
        return adopted.getOrDefault(member, 0L);
    }

    /** The name of the leader; null where it is not known yet. */
    String leader() {
        return leader;
    }

    /** How many terms had a leader. */
    int elections() {
        return terms.size();
    }

    /** The log line of the fail point at which the fault was injected; null where the point was not reached. */
    String pointMet() {
        return pointMet;
    }
}
