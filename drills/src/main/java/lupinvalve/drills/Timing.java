package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Checks when statements arrived at db nodes against what their poolers knew by then: departures of clients, drains,
 * and starts of cold db nodes; and how soon restarted poolers accepted clients. Does no I/O; times are in milliseconds
 * of one clock. Safe for concurrent use.
 */
public final class Timing {
    /** How long after its client disconnected an attempt may still arrive at a db node. */
    private static final long DEPARTURE_GRACE_MILLIS = 150;
    /** Added to the drain's grace time, for the way from the pooler to the db node. */
    private static final long SLACK_MILLIS = 50;

    private static final long READY_LIMIT_MILLIS = 10_000;
    /** How long after a disturbance of a connection statements on it may still arrive late. */
    private static final long SETTLE_MILLIS = 1_000;

    /**
     * The limits that the settings imply.
     *
     * @param drainGraceMillis how long after the notice of a drain a pooler may still send new statements
     * @param initialCapacityRatio a db node's capacity at its start, relative to its warm capacity
     * @param warmUpMillis how long after its start a db node is warm
     * @param overloadMultiple how many times its capacity a db node may be sent
     * @param overloadMillis over how long a window that is counted
     */
    public record Rules(
            long drainGraceMillis,
            double initialCapacityRatio,
            long warmUpMillis,
            double overloadMultiple,
            long overloadMillis) {}

    private record Arrival(String node, String pooler, String id, long at) {}

    private record Span(String pooler, String node, long from, long to) {}

    private record Drained(Span span, DrainNotice.Basis basis) {}

    private final Rules rules;
    private final Map<String, Long> clientLeftAt = new HashMap<>();
    private final Map<String, List<Drained>> drains = new TreeMap<>();
    private final Map<String, List<Long>> nodeStarts = new TreeMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Span> disturbed = new ArrayList<>();
    private final List<Long> readyAfterMillis = new ArrayList<>();
    private final Map<String, List<Long>> poolerStarts = new HashMap<>();

    /** Checks against these limits; nothing is recorded yet. */
    public Timing(Rules rules) {
        this.rules = rules;
    }

    /** The client of a request has disconnected. */
    public synchronized void clientLeft(String id, long at) {
        clientLeftAt.put(id, at);
    }

    /** A statement has arrived at a db node. */
    public synchronized void arrived(String node, String pooler, String id, long at) {
        arrivals.add(new Arrival(node, pooler, id, at));
    }

    /** Records the period in which a pooler counted as notified that a db node drains. */
    synchronized void drained(String pooler, String node, DrainNotice.NoticePeriod period) {
        Span span = new Span(pooler, node, period.from(), period.to());
        drains.computeIfAbsent(node, n -> new ArrayList<>()).add(new Drained(span, period.basis()));
    }

    /** A db node was started and is cold. */
    public synchronized void nodeStarted(String node, long at) {
        nodeStarts.computeIfAbsent(node, n -> new ArrayList<>()).add(at);
    }

    /** A pooler's process was started. */
    public synchronized void poolerStarted(String pooler, long at) {
        poolerStarts.computeIfAbsent(pooler, p -> new ArrayList<>()).add(at);
    }

    /** Statements from a pooler to a db node may have been delayed in this period; {@code null} stands for all. */
    public synchronized void disturbed(String pooler, String node, long from, long to) {
        disturbed.add(new Span(pooler, node, from, to + SETTLE_MILLIS));
    }

    /** A pooler accepted clients this long after its start. */
    public synchronized void poolerReady(long afterMillis) {
        readyAfterMillis.add(afterMillis);
    }

    private boolean isExcused(Arrival arrival, long since) {
        return disturbed.stream()
                .anyMatch(span -> (span.pooler == null || span.pooler.equals(arrival.pooler))
                        && (span.node == null || span.node.equals(arrival.node))
                        && span.from <= arrival.at
                        && span.to >= since);
    }

    private static String basisText(DrainNotice.Basis basis) {
        return switch (basis) {
            case ANSWERED -> "";
            case LIMIT -> " (by the limit of 6 s)";
            case SILENCE -> " (by the limit of 6 s since its watch fell silent)";
        };
    }

    /** Whether the sending process had been started less than 6 s plus the drain's grace time before. */
    private boolean isStarting(Arrival arrival) {
        long grace = DrainNotice.NOTICE_LIMIT_MILLIS + rules.drainGraceMillis() + SLACK_MILLIS;
        return poolerStarts.getOrDefault(arrival.pooler, List.of()).stream()
                .anyMatch(start -> start <= arrival.at && arrival.at <= start + grace);
    }

    private boolean isLateAfter(Drained drained, Arrival arrival) {
        Span drain = drained.span;
        return drain.pooler.equals(arrival.pooler)
                && arrival.at > drain.from + rules.drainGraceMillis() + SLACK_MILLIS
                && arrival.at < drain.to
                && !isExcused(arrival, drain.from);
    }

    /**
     * Counts of violations.
     *
     * @param lateAfterDeparture statements that arrived too long after their client had disconnected
     * @param lateAfterDrain statements that arrived too long after their pooler was notified of a drain
     * @param lateUnanswered those late after a drain whose process counted as notified by a limit of 6 s, without an
     *     answer of discovery
     * @param lateStarting those of lateUnanswered whose process had been started less than 6 s plus the grace time
     *     before
     * @param lateSilent those of lateUnanswered whose watch had fallen silent before the drain
     * @param coldOverrun starts of db nodes after which one was sent more than its capacity
     * @param restarts how many starts of poolers were timed
     * @param notReady those that took longer than 10 s
     */
    public record Verdict(
            int lateAfterDeparture,
            int lateAfterDrain,
            int lateUnanswered,
            int lateStarting,
            int lateSilent,
            int coldOverrun,
            int restarts,
            int notReady,
            List<String> findings) {
        /** Whether there is no violation, and at most one start in ten took longer than 10 s. */
        public boolean good() {
            return lateAfterDeparture + lateAfterDrain + coldOverrun == 0 && notReady * 10 <= restarts;
        }
    }

    /** Judges all that was recorded so far. */
    public synchronized Verdict verdict() {
        List<String> findings = new ArrayList<>();
        int departed = 0;
        int drained = 0;
        int unanswered = 0;
        int starting = 0;
        int silent = 0;
        for (Arrival arrival : arrivals) {
            Long gone = clientLeftAt.get(arrival.id);
            if (gone != null && arrival.at > gone + DEPARTURE_GRACE_MILLIS && !isExcused(arrival, gone)) {
                departed++;
                findings.add(arrival.id + " arrived at " + arrival.node + " from " + arrival.pooler + " "
                        + (arrival.at - gone) + " ms after its client had disconnected, at " + arrival.at);
            }
            Optional<Drained> late = drains.getOrDefault(arrival.node, List.of()).stream()
                    .filter(drain -> isLateAfter(drain, arrival))
                    .findFirst();
            if (late.isPresent()) {
                drained++;
                boolean answered = late.get().basis == DrainNotice.Basis.ANSWERED;
                unanswered += answered ? 0 : 1;
                silent += late.get().basis == DrainNotice.Basis.SILENCE ? 1 : 0;
                starting += answered || !isStarting(arrival) ? 0 : 1;
                findings.add(arrival.id + " arrived at " + arrival.node + " from " + arrival.pooler + " "
                        + (arrival.at - late.get().span.from) + " ms after the pooler was notified of its drain"
                        + basisText(late.get().basis) + ", at " + arrival.at);
            }
        }
        int overrun = overrun(findings);
        int late = (int) readyAfterMillis.stream()
                .filter(after -> after > READY_LIMIT_MILLIS)
                .count();
        if (late * 10 > readyAfterMillis.size()) {
            findings.add(
                    late + " of " + readyAfterMillis.size() + " restarted poolers did not accept clients within 10 s");
        }
        return new Verdict(
                departed, drained, unanswered, starting, silent, overrun, readyAfterMillis.size(), late, findings);
    }

    /** How many starts of db nodes were followed by an overload; the busiest other db node shows the warm capacity. */
    private int overrun(List<String> findings) {
        int overrun = 0;
        for (Map.Entry<String, List<Long>> node : nodeStarts.entrySet()) {
            for (long start : node.getValue()) {
                for (long to = start + rules.overloadMillis();
                        to < start + rules.warmUpMillis();
                        to += rules.overloadMillis() / 4) {
                    long from = to - rules.overloadMillis();
                    long end = to;
                    Map<String, Long> counts = new HashMap<>();
                    arrivals.stream()
                            .filter(entry -> entry.at >= from && entry.at < end)
                            .forEach(entry -> counts.merge(entry.node, 1L, Long::sum));
                    long sent = counts.getOrDefault(node.getKey(), 0L);
                    long most = counts.entrySet().stream()
                            .filter(entry -> !entry.getKey().equals(node.getKey()))
                            .mapToLong(Map.Entry::getValue)
                            .max()
                            .orElse(0);
                    double warmth = Math.min(
                            1,
                            rules.initialCapacityRatio()
                                    + (1 - rules.initialCapacityRatio()) * (to - start) / rules.warmUpMillis());
                    double capacity = rules.overloadMultiple() * warmth * most;
                    if (sent > capacity + 2 * Math.sqrt(capacity) + 2) {
                        overrun++;
                        findings.add(node.getKey() + " was sent " + sent + " in " + rules.overloadMillis() + " ms, "
                                + (to - start) + " ms after its start, with a capacity of " + Math.round(capacity));
                        break;
                    }
                }
            }
        }
        return overrun;
    }
}
