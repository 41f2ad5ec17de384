package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** The result of a drill. */
public final class DrillResult {
    /**
     * What was run.
     *
     * @param playedCounts how often each kind of fault was injected
     * @param calls counts of calls while discovery was overloaded
     * @param stallMillis the longest time for which this process got no processor
     * @param unclean faults of the daemons themselves
     */
    record Run(
            int poolers,
            long seed,
            Map<Step.Kind, Integer> playedCounts,
            CallQueue.Counts calls,
            long stallMillis,
            List<String> unclean) {}

    /**
     * What operators and the daemons' logs recorded of the group.
     *
     * @param lostPuts how many acknowledged configurations are missing at the end
     * @param elections how many terms had a leader
     * @param recoveries times from a start until the member had caught up, in microseconds
     */
    record Group(StoreClients operators, int lostPuts, int elections, Histogram recoveries) {}

    private final Run run;
    private final RequestChecker.Verdict requests;
    private final Timing.Verdict times;
    private final Group group;
    private final List<String> divergent;

    DrillResult(Run run, RequestChecker.Verdict requests, Timing.Verdict times, Group group) {
        this.run = run;
        this.requests = requests;
        this.times = times;
        this.group = group;
        divergent = group.operators().checker.divergent();
    }

    /** Whether no violation was found. */
    public boolean good() {
        return requests.good()
                && times.good()
                && divergent.isEmpty()
                && group.lostPuts() == 0
                && run.unclean().isEmpty();
    }

    /** How many requests clients made. */
    public int requests() {
        return requests.requests();
    }

    /** All violations found. */
    public List<String> findings() {
        List<String> all = new ArrayList<>(requests.findings());
        all.addAll(times.findings());
        all.addAll(divergent);
        all.addAll(run.unclean());
        return all;
    }

    /** One JSON object; times in milliseconds. */
    public String json() {
        return "{" + String.join(",", runFields(), requestFields(), timingFields(), groupFields()) + "}";
    }

    private int count(Step.Kind... kinds) {
        return Stream.of(kinds)
                .mapToInt(kind -> run.playedCounts().getOrDefault(kind, 0))
                .sum();
    }

    private String runFields() {
        return String.format(
                Locale.ROOT,
                "\"poolers\":%d,\"seed\":%d,\"kills\":%d,\"cuts\":%d,\"one_way_cuts\":%d,"
                        + "\"flaps\":%d,\"slow_links\":%d,\"half_open\":%d,\"pauses\":%d,\"restarts\":%d,\"reloads\":%d,\"node_faults\":%d",
                run.poolers(),
                run.seed(),
                count(Step.Kind.KILL, Step.Kind.POWER),
                count(Step.Kind.CUT),
                count(Step.Kind.CUT_THERE),
                count(Step.Kind.FLAP),
                count(Step.Kind.SLOW, Step.Kind.LIMIT, Step.Kind.LOSSY),
                count(Step.Kind.HALF_OPEN),
                count(Step.Kind.PAUSE),
                count(Step.Kind.RESTART),
                count(Step.Kind.RELOAD),
                count(Step.Kind.NODE_KILL, Step.Kind.NODE_PAUSE, Step.Kind.NODE_SLOW));
    }

    private String requestFields() {
        return String.format(
                Locale.ROOT,
                "\"requests\":%d,\"served\":%d,\"refused\":%d,\"failed\":%d,\"lost\":%d,\"doubled\":%d,"
                        + "\"divergent\":%d,\"unanswered\":%d,\"ended_in_order\":%d,\"reset\":%d,\"refused_ran\":%d,\"stale\":%d,\"left\":%d",
                requests.requests(),
                requests.count(RequestChecker.Ending.SERVED),
                requests.count(RequestChecker.Ending.REFUSED),
                requests.count(RequestChecker.Ending.FAILED),
                requests.lost() + group.lostPuts(),
                requests.doubled(),
                divergent.size(),
                requests.unanswered(),
                requests.endedInOrder(),
                requests.count(RequestChecker.Ending.RESET),
                requests.refusedRan(),
                requests.stale(),
                requests.count(RequestChecker.Ending.LEFT));
    }

    private String timingFields() {
        return String.format(
                Locale.ROOT,
                "\"late_after_departure\":%d,\"late_after_drain\":%d,\"late_unanswered\":%d,"
                        + "\"late_starting\":%d,\"late_silent\":%d,\"rig_stall_max_ms\":%d,\"cold_overrun\":%d,\"restarts_timed\":%d,"
                        + "\"not_ready_10s\":%d,\"drains\":%d,\"silences\":%d,\"floods\":%d,\"overloads\":%d,\"overload_calls\":%d,"
                        + "\"overload_calls_failed\":%d",
                times.lateAfterDeparture(),
                times.lateAfterDrain(),
                times.lateUnanswered(),
                times.lateStarting(),
                times.lateSilent(),
                run.stallMillis(),
                times.coldOverrun(),
                times.restarts(),
                times.notReady(),
                count(Step.Kind.NODE_DRAIN),
                count(Step.Kind.LIST_SILENT),
                count(Step.Kind.FLOOD),
                count(Step.Kind.OVERLOAD),
                run.calls().calls(),
                run.calls().failed());
    }

    private String groupFields() {
        StoreClients operators = group.operators();
        return String.format(
                Locale.ROOT,
                "\"unclean\":%d,\"acknowledged\":%d,\"elections\":%d,\"failovers\":%d,"
                        + "\"failover_p50_ms\":%.0f,\"failover_p99_ms\":%.0f,\"commit_p50_ms\":%.1f,\"commit_p99_ms\":%.1f,"
                        + "\"recovery_p99_ms\":%.0f",
                run.unclean().size(),
                operators.checker.acknowledged(),
                group.elections(),
                operators.failovers.getTotalCount(),
                percentileMillis(operators.failovers, 50),
                percentileMillis(operators.failovers, 99),
                percentileMillis(operators.commits, 50),
                percentileMillis(operators.commits, 99),
                percentileMillis(group.recoveries(), 99));
    }

    private static double percentileMillis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1000.0;
    }
}
