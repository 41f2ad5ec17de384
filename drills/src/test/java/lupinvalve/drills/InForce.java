package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks by subscribers' logs that each revision was in force at each pooler within 6 s, or the pooler fenced. Does no
 * I/O; times are in milliseconds of one clock.
 */
final class InForce {
    static final long BOUND_MILLIS = 6_000;
    private static final Pattern ADOPTED = Pattern.compile("store: adopted revision (\\d+), change");
    private static final Pattern FOLLOWS = Pattern.compile("store: watches the configuration at member (\\S+)$");

    /** The revision that a pooler acts on from a time on, and whether it may serve. */
    private record State(long at, long revision, boolean mayServe) {}

    private final Map<String, List<State>> states = new HashMap<>();
    private final Map<String, String> followed = new HashMap<>();
    private final TreeMap<Long, Long> accepted = new TreeMap<>();

    private State last(String subscriber) {
        List<State> all = states.computeIfAbsent(subscriber, w -> new ArrayList<>(List.of(new State(0, 0, false))));
        return all.get(all.size() - 1);
    }

    synchronized void line(String subscriber, String line, long at) {
        State before = last(subscriber);
        Matcher adopted = ADOPTED.matcher(line);
        Matcher follows = FOLLOWS.matcher(line);
        if (adopted.find()) {
            states.get(subscriber).add(new State(at, Long.parseLong(adopted.group(1)), before.mayServe()));
        } else if (line.contains("store: fenced") || line.endsWith("store: returned to service: lease granted")) {
            states.get(subscriber)
                    .add(new State(at, before.revision(), line.endsWith("store: returned to service: lease granted")));
        } else if (follows.find()) {
            followed.put(subscriber, follows.group(1));
        }
    }

    /** The subscriber's process was killed. */
    synchronized void ended(String subscriber, long at) {
        last(subscriber);
        states.get(subscriber).add(new State(at, 0, false));
    }

    synchronized void accepted(long revision, long at) {
        accepted.put(revision, at);
    }

    /** Whether the subscriber may serve and acts on that revision. */
    synchronized boolean acts(String subscriber, long revision) {
        State now = last(subscriber);
        return now.mayServe() && now.revision() == revision;
    }

    synchronized boolean mayServe(String subscriber) {
        return last(subscriber).mayServe();
    }

    /** The member from which the subscriber last logged that it receives the configuration. */
    synchronized String follows(String subscriber) {
        return followed.getOrDefault(subscriber, "");
    }

    /** Subscribers that acted on an old revision for too long. */
    synchronized List<String> findings(long until) {
        List<String> findings = new ArrayList<>();
        states.forEach((subscriber, all) -> {
            for (int i = 0; i < all.size(); i++) {
                State state = all.get(i);
                long end = i + 1 < all.size() ? all.get(i + 1).at() : until;
                accepted.tailMap(state.revision(), false).forEach((revision, at) -> {
                    long late = end - Math.max(state.at(), at + BOUND_MILLIS);
                    if (state.mayServe() && late > 0) {
                        findings.add(subscriber + " acted on revision " + state.revision() + " for " + late
                                + " ms, though " + revision + " was to be in force");
                    }
                });
            }
        });
        return findings;
    }
}
