package lupinvalve.core;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import lupinvalve.routing.AttemptOutcome;

/**
 * Counts how requests and attempts end, for a summary line in the log. Each attempt after the first of a request is a
 * retry. Core thread only.
 */
final class RequestSummary {
    /** Db nodes counted by id for each outcome; further ones are counted together. */
    private static final int MAX_NODES_COUNT = 64;
    /** Db nodes named for each outcome, those with the highest counts. */
    private static final int NAMED_NODES_COUNT = 3;

    private final Map<String, Integer> requests = new TreeMap<>();
    private final Map<AttemptOutcome, Map<String, Integer>> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
    private int retries;

    /** Counts the end of a request; returns whether it calls for a summary. */
    boolean requestEnded(RequestOutcome outcome) {
        requests.merge(outcome.text, 1, Integer::sum);
        return outcome != RequestOutcome.SERVED;
    }

    /** Counts a request that was rejected before it was submitted. */
    void refused(RefusalReason reason) {
        refusals.merge(reason, 1, Integer::sum);
    }

    /** Counts the start of an attempt; {@code number} is 0 for the first of a request. */
    void attemptStarted(int number) {
        retries += number > 0 ? 1 : 0;
    }

    /** Counts the end of an attempt; returns whether it calls for a summary. */
    boolean attemptEnded(AttemptOutcome outcome, String node) {
        if (outcome == AttemptOutcome.SERVED) {
            return false;
        }
        Map<String, Integer> byNode = attempts.computeIfAbsent(outcome, o -> new HashMap<>());
        byNode.merge(byNode.size() < MAX_NODES_COUNT || byNode.containsKey(node) ? node : "others", 1, Integer::sum);
        return true;
    }

    /** Returns the counts since the last call as one line, and resets them. */
    String take() {
        StringBuilder text = new StringBuilder(requests.entrySet().stream()
                .map(e -> e.getValue() + " " + e.getKey())
                .collect(Collectors.joining(", ")));
        text.append("; ").append(retries).append(" retries");
        if (!refusals.isEmpty()) {
            text.append("; refused at once ").append(refusals);
        }
        attempts.forEach((outcome, byNode) -> text.append("; attempts ")
                .append(outcome)
                .append(' ')
                .append(byNode.values().stream().mapToInt(Integer::intValue).sum())
                .append(" (")
                .append(mostFrequent(byNode))
                .append(')'));
        requests.clear();
        attempts.clear();
        refusals.clear();
        retries = 0;
        return text.toString();
    }

    private static String mostFrequent(Map<String, Integer> byNode) {
        String named = byNode.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(NAMED_NODES_COUNT)
                .map(e -> e.getKey() + " " + e.getValue())
                .collect(Collectors.joining(", "));
        return byNode.size() > NAMED_NODES_COUNT
                ? named + " and " + (byNode.size() - NAMED_NODES_COUNT) + " more"
                : named;
    }
}
