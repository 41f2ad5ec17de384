package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What came of a fleet's run.
 *
 * @param unclean what went wrong with the daemons themselves
 * @param stallMillis how long the rig got no processor at a time
 */
public record FleetResult(
        FleetDrill.Setting setting,
        Book.Verdict requests,
        Timing.Verdict times,
        List<String> unclean,
        long stallMillis) {
    /** Whether nothing was found wrong. */
    public boolean good() {
        return requests.good() && times.good() && unclean.isEmpty();
    }

    /** All that was found wrong. */
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
                requests.count(Book.Ending.SERVED),
                requests.count(Book.Ending.REFUSED),
                requests.count(Book.Ending.FAILED),
                requests.count(Book.Ending.LEFT),
                requests.count(Book.Ending.RESET),
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
