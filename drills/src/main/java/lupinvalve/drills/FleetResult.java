package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The result of a fleet's run.
 *
 * @param unclean faults of the daemons themselves
 * @param stallMillis the longest time for which this process got no processor
 */
public record FleetResult(
        FleetDrill.Setting setting,
        RequestChecker.Verdict requests,
        Timing.Verdict times,
        List<String> unclean,
        long stallMillis) {
    /** Whether no violation was found. */
    public boolean good() {
        return requests.good() && times.good() && unclean.isEmpty();
    }

    /** All violations found. */
    public List<String> findings() {
        List<String> all = new ArrayList<>(unclean);
        all.addAll(requests.findings());
        all.addAll(times.findings());
        return all;
    }

    /** One JSON object; times in milliseconds. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "{\"poolers\":%d,\"cores\":%d,\"seed\":%d,\"requests\":%d,\"served\":%d,\"refused\":%d,\"failed\":%d,"
                        + "\"left\":%d,\"reset\":%d,\"lost\":%d,\"doubled\":%d,\"stale\":%d,\"unanswered\":%d,\"ended_in_order\":%d,"
                        + "\"late_after_departure\":%d,\"late_after_drain\":%d,\"cold_overrun\":%d,\"restarts_timed\":%d,\"not_ready_10s\":%d,"
                        + "\"unclean\":%d,\"rig_stall_max_ms\":%d}",
                setting.poolers(),
                setting.cores(),
                setting.seed(),
                requests.requests(),
                requests.count(RequestChecker.Ending.SERVED),
                requests.count(RequestChecker.Ending.REFUSED),
                requests.count(RequestChecker.Ending.FAILED),
                requests.count(RequestChecker.Ending.LEFT),
                requests.count(RequestChecker.Ending.RESET),
                requests.lost(),
                requests.doubled(),
                requests.stale(),
                requests.unanswered(),
                requests.endedInOrder(),
                times.lateAfterDeparture(),
                times.lateAfterDrain(),
                times.coldOverrun(),
                times.restarts(),
                times.notReady(),
                unclean.size(),
                stallMillis);
    }
}
