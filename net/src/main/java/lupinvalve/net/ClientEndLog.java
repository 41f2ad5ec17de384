package lupinvalve.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;

/**
 * Logs why client connections have ended, how old they were and how many requests were unanswered on them: the first
 * connection of each reason at once, those that follow by number, in a line every few seconds. Ends by the client's own
 * choice with nothing unanswered are only counted. Core thread only; holds one count per reason.
 */
public final class ClientEndLog {
    private static final long SUMMARY_MICROS = 5_000_000;

    private static final class Count {
        private int connections;
        private int unanswered;
        private long youngestMillis = Long.MAX_VALUE;
        private long oldestMillis;

        private void add(long ageMillis, int requests) {
            connections++;
            unanswered += requests;
            youngestMillis = Math.min(youngestMillis, ageMillis);
            oldestMillis = Math.max(oldestMillis, ageMillis);
        }
    }

    private final EventLoop loop;
    /** Reasons that have occurred in this period, with the connections that have not been logged on their own. */
    private final Map<EndReason, Count> countsByReason = new EnumMap<>(EndReason.class);

    private boolean isSummaryDue;

    /** Logs on the thread of {@code loop}, the core thread. */
    public ClientEndLog(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Records the end of a client's connection.
     *
     * @param unanswered requests accepted on it that have not been answered
     */
    public void ended(EndReason reason, Link link, int unanswered) {
        long ageMillis = link.ageMicros() / 1_000;
        Count count = countsByReason.get(reason);
        if (count != null) {
            count.add(ageMillis, unanswered);
            return;
        }
        countsByReason.put(reason, new Count());
        if (reason.isByClient() && unanswered == 0) {
            // No sign of a fault; only counted, for the summary line.
            countsByReason.get(reason).add(ageMillis, unanswered);
        } else if (unanswered > 0) {
            Log.warn("client %s ended: %s; open %d ms, %d requests due", link.peer(), reason, ageMillis, unanswered);
        } else {
            Log.info("client %s ended: %s; open %d ms, nothing due", link.peer(), reason, ageMillis);
        }
        if (!isSummaryDue) {
            isSummaryDue = true;
            loop.after(SUMMARY_MICROS, this::logSummary);
        }
    }

    private void logSummary() {
        isSummaryDue = false;
        String text = takeSummary();
        if (!text.isEmpty()) {
            Log.info("clients ended: %s", text);
        }
    }

    /**
     * Returns the summary of the connections since the last call that have not been logged on their own, and resets it;
     * empty if clients closed all of these connections themselves with nothing unanswered.
     */
    String takeSummary() {
        boolean isWorthLogging = countsByReason.entrySet().stream()
                .anyMatch(entry -> entry.getValue().unanswered > 0
                        || !entry.getKey().isByClient() && entry.getValue().connections > 0);
        String text = countsByReason.entrySet().stream()
                .filter(entry -> entry.getValue().connections > 0)
                .map(entry -> text(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining("; "));
        countsByReason.clear();
        return isWorthLogging ? text : "";
    }

    private static String text(EndReason reason, Count count) {
        return count.connections + " " + reason + " (open " + count.youngestMillis + " to " + count.oldestMillis
                + " ms, " + count.unanswered + " requests due)";
    }
}
