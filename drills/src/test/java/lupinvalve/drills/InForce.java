package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Judges by subscribers' logs whether each revision was in force in time, or its pooler fenced. Without I/O; times in
 * milliseconds.
 */
final class InForce {
    static final long BOUND = 6_000;
    private static final Pattern ADOPTED = Pattern.compile("store: adopted revision (\\d+), change");
    private static final Pattern FOLLOWS = Pattern.compile("store: watches the configuration at member (\\S+)$");

    /** From a time on: which revision a pooler acts on, and whether it may. */
    private record State(long at, long revision, boolean may) {}

    private final Map<String, List<State>> states = new HashMap<>();
    private final Map<String, String> followed = new HashMap<>();
    private final TreeMap<Long, Long> accepted = new TreeMap<>();

    private State last(String who) {
        List<State> all = states.computeIfAbsent(who, w -> new ArrayList<>(List.of(new State(0, 0, false))));
        return all.get(all.size() - 1);
    }

    synchronized void line(String who, String line, long at) {
        State before = last(who);
        Matcher adopted = ADOPTED.matcher(line);
        Matcher follows = FOLLOWS.matcher(line);
        if (adopted.find()) {
            states.get(who).add(new State(at, Long.parseLong(adopted.group(1)), before.may()));
        } else if (line.contains("store: fenced") || line.endsWith("store: returned to service: lease granted")) {
            states.get(who)
                    .add(new State(at, before.revision(), line.endsWith("store: returned to service: lease granted")));
        } else if (follows.find()) {
            followed.put(who, follows.group(1));
        }
    }

    /** Its process is gone. */
    synchronized void ended(String who, long at) {
        last(who);
        states.get(who).add(new State(at, 0, false));
    }

    synchronized void accepted(long revision, long at) {
        accepted.put(revision, at);
    }

    /** Whether it may act, and on that revision. */
    synchronized boolean acts(String who, long revision) {
        State now = last(who);
        return now.may() && now.revision() == revision;
    }

    synchronized boolean may(String who) {
        return last(who).may();
    }

    /** Whom it said last that it follows. */
    synchronized String follows(String who) {
        return followed.getOrDefault(who, "");
    }

    /** Who acted on an old revision too late. */
    synchronized List<String> findings(long until) {
        List<String> findings = new ArrayList<>();
        states.forEach((who, all) -> {
            for (int i = 0; i < all.size(); i++) {
                State one = all.get(i);
                long end = i + 1 < all.size() ? all.get(i + 1).at() : until;
                accepted.tailMap(one.revision(), false).forEach((revision, at) -> {
                    long late = end - Math.max(one.at(), at + BOUND);
                    if (one.may() && late > 0) {
                        findings.add(who + " acted on revision " + one.revision() + " for " + late + " ms, though "
                                + revision + " was to be in force");
                    }
                });
            }
        });
        return findings;
    }
}
