package lupinvalve.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;

/**
 * Tells the log why clients' connections have ended, how old they were and what was due on them: the first of each
 * reason at once, those that follow by count, in a line every few seconds. Core thread only; holds a count for each
 * reason.
 */
public final class ClientEndLog {
    private static final long PERIOD_MICROS = 5_000_000;

    private static final class Count {
        private int connections, due;
        private long youngest = Long.MAX_VALUE, oldest;

        private void add(long ageMillis, int requests) {
            connections++;
            due += requests;
            youngest = Math.min(youngest, ageMillis);
            oldest = Math.max(oldest, ageMillis);
        }
    }

    private final EventLoop loop;
    /** Reasons that have been told of in this period, with what came since. */
    private final Map<EndReason, Count> repeats = new EnumMap<>(EndReason.class);

    private boolean isSummaryDue;

    public ClientEndLog(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Notes the end of a client's connection.
     *
     * @param due requests that had been taken on it and not been answered
     */
    public void ended(EndReason reason, Link link, int due) {
        long ageMillis = link.ageMicros() / 1_000;
        Count count = repeats.get(reason);
        if (count != null) {
            count.add(ageMillis, due);
            return;
        }
        repeats.put(reason, new Count());
        if (reason.isClients() && due == 0) {
            // Nothing to look into; counted with others.
            repeats.get(reason).add(ageMillis, due);
        } else if (due > 0) {
            Log.warn("client %s ended: %s; open %d ms, %d requests due", link.peer(), reason, ageMillis, due);
        } else {
            Log.info("client %s ended: %s; open %d ms, nothing due", link.peer(), reason, ageMillis);
        }
        if (!isSummaryDue) {
            isSummaryDue = true;
            loop.after(PERIOD_MICROS, this::summary);
        }
    }

    private void summary() {
        isSummaryDue = false;
        String text = take();
        if (!text.isEmpty()) {
            Log.info("clients ended: %s", text);
        }
    }

    /**
     * What has come since the last call beside the first of each reason; empty where that is nothing but clients' own
     * ends.
     */
    String take() {
        boolean isWorthALine = repeats.entrySet().stream()
                .anyMatch(each ->
                        each.getValue().due > 0 || !each.getKey().isClients() && each.getValue().connections > 0);
        String text = repeats.entrySet().stream()
                .filter(each -> each.getValue().connections > 0)
                .map(each -> text(each.getKey(), each.getValue()))
                .collect(Collectors.joining("; "));
        repeats.clear();
        return isWorthALine ? text : "";
    }

    private static String text(EndReason reason, Count count) {
        return count.connections + " " + reason + " (open " + count.youngest + " to " + count.oldest + " ms, "
                + count.due + " requests due)";
    }
}
