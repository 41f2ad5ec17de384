package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * When what came to db nodes, against what poolers had been told by then: departures of clients, drains, starts of cold
 * db nodes; and how soon restarted poolers took clients. Without I/O; times are in milliseconds of one clock.
 */
public final class Timing {
    /**
     * An attempt may begin so long after its client has gone, and after a drain was told; time limits are 50 ms longer.
     */
    private static final long DEPARTED = 150, SLACK = 50;

    private static final long READY = 10_000;
    /** How long what has been said keeps counting after a connection was disturbed. */
    private static final long SETTLES = 1_000;

    /**
     * What the settings allow.
     *
     * @param drainMillis after a drain was told, nothing new goes out
     * @param coldShare what a db node can do at its start, of what it can warm
     * @param rampMillis it is warm then
     * @param multiple how much more than it can do it bears, for so long
     */
    public record Rules(long drainMillis, double coldShare, long rampMillis, double multiple, long windowMillis) {}

    private record Came(String node, String pooler, String id, long at) {}

    private record Span(String pooler, String node, long from, long to) {}

    private record Drained(Span span, DrainNotice.Basis basis) {}

    private final Rules rules;
    private final Map<String, Long> left = new HashMap<>();
    private final Map<String, List<Drained>> drains = new TreeMap<>();
    private final Map<String, List<Long>> starts = new TreeMap<>();
    private final List<Came> came = new ArrayList<>();
    private final List<Span> disturbed = new ArrayList<>();
    private final List<Long> ready = new ArrayList<>();
    private final Map<String, List<Long>> poolerStarts = new HashMap<>();

    public Timing(Rules rules) {
        this.rules = rules;
    }

    /** The client of a request has gone. */
    public synchronized void left(String id, long at) {
        left.put(id, at);
    }

    /** A statement has come to a db node. */
    public synchronized void came(String node, String pooler, String id, long at) {
        came.add(new Came(node, pooler, id, at));
    }

    /** A pooler was told that a db node drains, up to when it was told otherwise. */
    synchronized void drained(String pooler, String node, DrainNotice.Told told) {
        Span span = new Span(pooler, node, told.from(), told.to());
        drains.computeIfAbsent(node, n -> new ArrayList<>()).add(new Drained(span, told.basis()));
    }

    /** A db node has started, and is cold. */
    public synchronized void started(String node, long at) {
        starts.computeIfAbsent(node, n -> new ArrayList<>()).add(at);
    }

    /** A pooler's process was started. */
    public synchronized void poolerStarted(String pooler, long at) {
        poolerStarts.computeIfAbsent(pooler, p -> new ArrayList<>()).add(at);
    }

    /** What came meanwhile from a pooler to a db node may have been sent earlier; {@code null} stands for all. */
    public synchronized void disturbed(String pooler, String node, long from, long to) {
        disturbed.add(new Span(pooler, node, from, to + SETTLES));
    }

    /** A pooler that was started again took clients after so long. */
    public synchronized void ready(long afterMillis) {
        ready.add(afterMillis);
    }

    private boolean excused(Came one, long since) {
        return disturbed.stream()
                .anyMatch(d -> (d.pooler == null || d.pooler.equals(one.pooler))
                        && (d.node == null || d.node.equals(one.node))
                        && d.from <= one.at
                        && d.to >= since);
    }

    private static String by(DrainNotice.Basis basis) {
        return switch (basis) {
            case ANSWERED -> "";
            case LIMIT -> " by the 6 s";
            case SILENCE -> " by the 6 s since its watch fell silent";
        };
    }

    /** Whether a pooler's process that sent had not had its 6 s since its own start. */
    private boolean starting(Came one) {
        long grace = DrainNotice.TOLD_AT_LATEST + rules.drainMillis() + SLACK;
        return poolerStarts.getOrDefault(one.pooler, List.of()).stream()
                .anyMatch(start -> start <= one.at && one.at <= start + grace);
    }

    private boolean lateAfter(Drained drained, Came one) {
        Span drain = drained.span;
        return drain.pooler.equals(one.pooler)
                && one.at > drain.from + rules.drainMillis() + SLACK
                && one.at < drain.to
                && !excused(one, drain.from);
    }

    /**
     * What was found.
     *
     * @param lateUnanswered those of the late after a drain whose process had not been answered yet when the 6 s had
     *     passed
     * @param lateStarting those of them whose process had been started less than 6 s before, and the grace
     * @param lateSilent those of the unanswered whose watch had fallen silent before the drain
     * @param restarts all that were timed
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
        public boolean good() {
            return lateAfterDeparture + lateAfterDrain + coldOverrun == 0 && notReady * 10 <= restarts;
        }
    }

    public synchronized Verdict verdict() {
        List<String> findings = new ArrayList<>();
        int departed = 0;
        int drained = 0;
        int unanswered = 0;
        int starting = 0;
        int silent = 0;
        for (Came one : came) {
            Long gone = left.get(one.id);
            if (gone != null && one.at > gone + DEPARTED && !excused(one, gone)) {
                departed++;
                findings.add(one.id + " came to " + one.node + " by " + one.pooler + " " + (one.at - gone)
                        + " ms after its client had gone, at " + one.at);
            }
            Optional<Drained> late = drains.getOrDefault(one.node, List.of()).stream()
                    .filter(drain -> lateAfter(drain, one))
                    .findFirst();
            if (late.isPresent()) {
                drained++;
                boolean answered = late.get().basis == DrainNotice.Basis.ANSWERED;
                unanswered += answered ? 0 : 1;
                silent += late.get().basis == DrainNotice.Basis.SILENCE ? 1 : 0;
                starting += answered || !starting(one) ? 0 : 1;
                findings.add(
                        one.id + " came to " + one.node + " by " + one.pooler + " " + (one.at - late.get().span.from)
                                + " ms after its drain was told" + by(late.get().basis) + ", at " + one.at);
            }
        }
        int overrun = overrun(findings);
        int late = (int) ready.stream().filter(after -> after > READY).count();
        if (late * 10 > ready.size()) {
            findings.add(late + " of " + ready.size() + " restarted poolers were not ready in 10 s");
        }
        return new Verdict(departed, drained, unanswered, starting, silent, overrun, ready.size(), late, findings);
    }

    /** Windows in which a cold db node was sent more than it bears: the busiest of the others shows what one can do. */
    private int overrun(List<String> findings) {
        int overrun = 0;
        for (Map.Entry<String, List<Long>> node : starts.entrySet()) {
            for (long start : node.getValue()) {
                for (long to = start + rules.windowMillis();
                        to < start + rules.rampMillis();
                        to += rules.windowMillis() / 4) {
                    long from = to - rules.windowMillis();
                    long end = to;
                    Map<String, Long> counts = new HashMap<>();
                    came.stream()
                            .filter(c -> c.at >= from && c.at < end)
                            .forEach(c -> counts.merge(c.node, 1L, Long::sum));
                    long sent = counts.getOrDefault(node.getKey(), 0L);
                    long most = counts.entrySet().stream()
                            .filter(c -> !c.getKey().equals(node.getKey()))
                            .mapToLong(Map.Entry::getValue)
                            .max()
                            .orElse(0);
                    double warmth = Math.min(
                            1, rules.coldShare() + (1 - rules.coldShare()) * (to - start) / rules.rampMillis());
                    double bears = rules.multiple() * warmth * most;
                    if (sent > bears + 2 * Math.sqrt(bears) + 2) {
                        overrun++;
                        findings.add(node.getKey() + " was sent " + sent + " in " + rules.windowMillis() + " ms, "
                                + (to - start) + " ms after its start, and bears " + Math.round(bears));
                        break;
                    }
                }
            }
        }
        return overrun;
    }
}
