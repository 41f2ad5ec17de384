package lupinvalve.core;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import lupinvalve.routing.AttemptOutcome;

/**
 * Counts how requests and attempts end, for one line of the log every few seconds in which something else than an
 * answer came. Each attempt after the first of a request is a retry. Core thread only.
 */
final class RequestSummary {
    /** Db nodes that are counted by name, and those of them that are named for each ending. */
    private static final int NODES_MOST = 64, NODES_NAMED = 3;

    private final Map<String, Integer> requests = new TreeMap<>();
    private final Map<AttemptOutcome, Map<String, Integer>> attempts = new EnumMap<>(AttemptOutcome.class);
    private int retries;

    /** Notes a request's end; gives whether it is one to tell of. */
    boolean request(String how, boolean served) {
        requests.merge(how, 1, Integer::sum);
        return !served;
    }

    /** Notes that an attempt begins, the first of its request or a further one. */
    void begins(int number) {
        retries += number > 0 ? 1 : 0;
    }

    /** Notes an attempt's end; gives whether it is one to tell of. */
    boolean attempt(AttemptOutcome ending, String node) {
        if (ending == AttemptOutcome.SERVED) {
            return false;
        }
        Map<String, Integer> byNode = attempts.computeIfAbsent(ending, e -> new HashMap<>());
        byNode.merge(byNode.size() < NODES_MOST || byNode.containsKey(node) ? node : "others", 1, Integer::sum);
        return true;
    }

    /** What has been noted since the last call, in one line. */
    String take() {
        StringBuilder text = new StringBuilder(requests.entrySet().stream()
                .map(e -> e.getValue() + " " + e.getKey())
                .collect(Collectors.joining(", ")));
        text.append("; ").append(retries).append(" retries");
        attempts.forEach((ending, byNode) -> text.append("; attempts ")
                .append(ending)
                .append(' ')
                .append(byNode.values().stream().mapToInt(Integer::intValue).sum())
                .append(" (")
                .append(most(byNode))
                .append(')'));
        requests.clear();
        attempts.clear();
        retries = 0;
        return text.toString();
    }

    private static String most(Map<String, Integer> byNode) {
        String named = byNode.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(NODES_NAMED)
                .map(e -> e.getKey() + " " + e.getValue())
                .collect(Collectors.joining(", "));
        return byNode.size() > NODES_NAMED ? named + " and " + (byNode.size() - NODES_NAMED) + " more" : named;
    }
}
