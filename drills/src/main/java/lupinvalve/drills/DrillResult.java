package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** What came of a drill. */
public final class DrillResult {
    /**
     * What was played.
     *
     * @param done how often each kind of fault was done
     * @param calls what became of calls while discovery was overloaded
     * @param stallMillis how long the rig got no processor at a time
     * @param unclean what went wrong with the daemons themselves
     */
    record Course(
            int poolers,
            long seed,
            Map<Step.Kind, Integer> done,
            CallQueue.Counts calls,
            long stallMillis,
            List<String> unclean) {}

    /**
     * What operators saw of the group.
     *
     * @param lostPuts acknowledged configurations that are gone
     * @param elections how many terms had a leader
     */
    record Group(StoreClients operators, int lostPuts, int elections, Histogram recoveries) {}

    private final Course course;
    private final Book.Verdict requests;
    private final Timing.Verdict times;
    private final Group group;
    private final List<String> divergent;

    DrillResult(Course course, Book.Verdict requests, Timing.Verdict times, Group group) {
        this.course = course;
        this.requests = requests;
        this.times = times;
        this.group = group;
        divergent = group.operators().checker.divergent();
    }

    /** Whether nothing was found wrong. */
    public boolean good() {
        return requests.good()
                && times.good()
                && divergent.isEmpty()
                && group.lostPuts() == 0
                && course.unclean().isEmpty();
    }

    /** How many requests clients made. */
    public int requests() {
        return requests.requests();
    }

    /** All that was found wrong. */
    public List<String> findings() {
        List<String> all = new ArrayList<>(requests.findings());
        all.addAll(times.findings());
        all.addAll(divergent);
        all.addAll(course.unclean());
        return all;
    }

    /** One JSON object; times in milliseconds. */
    public String json() {
        return "{" + String.join(",", played(), answers(), timed(), members()) + "}";
    }

    private int count(Step.Kind... kinds) {
        return Stream.of(kinds).mapToInt(k -> course.done().getOrDefault(k, 0)).sum();
    }

    private String played() {
        return String.format(
                Locale.ROOT,
                "\"poolers\":%d,\"seed\":%d,\"kills\":%d,\"cuts\":%d,\"one_way_cuts\":%d,"
                        + "\"flaps\":%d,\"slow_links\":%d,\"half_open\":%d,\"pauses\":%d,\"restarts\":%d,\"reloads\":%d,\"node_faults\":%d",
                course.poolers(),
                course.seed(),
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

    private String answers() {
        return String.format(
                Locale.ROOT,
                "\"requests\":%d,\"served\":%d,\"refused\":%d,\"failed\":%d,\"lost\":%d,\"doubled\":%d,"
                        + "\"divergent\":%d,\"unanswered\":%d,\"ended_in_order\":%d,\"reset\":%d,\"refused_ran\":%d,\"stale\":%d,\"left\":%d",
                requests.requests(),
                requests.count(Book.Ending.SERVED),
                requests.count(Book.Ending.REFUSED),
                requests.count(Book.Ending.FAILED),
                requests.lost() + group.lostPuts(),
                requests.doubled(),
                divergent.size(),
                requests.unanswered(),
                requests.endedInOrder(),
                requests.count(Book.Ending.RESET),
                requests.refusedRan(),
                requests.stale(),
                requests.count(Book.Ending.LEFT));
    }

    private String timed() {
        return String.format(
                Locale.ROOT,
                "\"late_after_departure\":%d,\"late_after_drain\":%d,\"late_unanswered\":%d,"
                        + "\"late_starting\":%d,\"late_silent\":%d,\"rig_stall_max_ms\":%d,\"cold_overrun\":%d,\"restarts_timed\":%d,"
                        + "\"not_ready_10s\":%d,\"drains\":%d,\"silences\":%d,\"overloads\":%d,\"overload_calls\":%d,"
                        + "\"overload_calls_failed\":%d",
                times.lateAfterDeparture(),
                times.lateAfterDrain(),
                times.lateUnanswered(),
                times.lateStarting(),
                times.lateSilent(),
                course.stallMillis(),
                times.coldOverrun(),
                times.restarts(),
                times.notReady(),
                count(Step.Kind.NODE_DRAIN),
                count(Step.Kind.LIST_SILENT),
                count(Step.Kind.OVERLOAD),
                course.calls().calls(),
                course.calls().failed());
    }

    private String members() {
        StoreClients operators = group.operators();
        return String.format(
                Locale.ROOT,
                "\"unclean\":%d,\"acknowledged\":%d,\"elections\":%d,\"failovers\":%d,"
                        + "\"failover_p50_ms\":%.0f,\"failover_p99_ms\":%.0f,\"commit_p50_ms\":%.1f,\"commit_p99_ms\":%.1f,"
                        + "\"recovery_p99_ms\":%.0f",
                course.unclean().size(),
                operators.checker.acknowledged(),
                group.elections(),
                operators.failovers.getTotalCount(),
                ms(operators.failovers, 50),
                ms(operators.failovers, 99),
                ms(operators.commits, 50),
                ms(operators.commits, 99),
                ms(group.recoveries(), 99));
    }

    private static double ms(Histogram of, double percentile) {
        return of.getValueAtPercentile(percentile) / 1000.0;
    }
}
