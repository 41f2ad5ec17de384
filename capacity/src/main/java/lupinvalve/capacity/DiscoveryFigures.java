package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** Figures for the cost of the list of db nodes at discovery and at poolers. */
final class DiscoveryFigures {
    private final Demand demand;

    DiscoveryFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        double list = demand.databases() * CodeFacts.DISCOVERY_LIST_ENTRY_BYTES;
        out.add(Figure.of(
                "whole list of 1,200 db nodes",
                list,
                CodeFacts.MAX_LIST_BYTES,
                Unit.BYTES,
                Basis.COMPUTED,
                "`CodeFactsTest`",
                "discovery/HttpEndpointDiscovery.java"));
        out.add(seconds("whole list at a pooler, were the budget to hold in each second", list));
        double zone = demand.databasesPerZone() * CodeFacts.DISCOVERY_LIST_ENTRY_BYTES;
        out.add(seconds("a zone's db nodes as changes, likewise", zone));
        out.add(link("a zone's db nodes to all poolers, at one discovery server", zone * demand.poolers()));
        out.add(link("whole lists to 910 at once after discovery's own restart", list * demand.poolers()));
        out.add(Figure.plain(
                "watches and their beats at discovery",
                demand.poolers() / CodeFacts.WATCH_HEARTBEAT_SECONDS,
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "a beat each 2 s",
                "discovery/HttpEndpointDiscovery.java"));
        out.add(Figure.of(
                "a silent watch noticed and replaced, two calls failing",
                CodeFacts.WATCH_SUSPECT_SECONDS + 2 * CodeFacts.WATCH_RESPONSE_TIMEOUT_SECONDS,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "its constants, pauses not counted",
                "discovery/WatchSchedule.java"));
        return out;
    }

    private Figure seconds(String what, double bytes) {
        double need = bytes / demand.controlBytesPerSecond();
        double failsAt = need > demand.inForceSeconds()
                ? Math.floor(demand.inForceSeconds() / need * demand.databases()) + 1
                : Double.NaN;
        return new Figure(
                what,
                need,
                demand.inForceSeconds(),
                Unit.SECONDS,
                failsAt,
                "databases",
                Basis.COMPUTED,
                "`CodeFactsTest`",
                "discovery/HttpEndpointDiscovery.java");
    }

    private Figure link(String what, double bytes) {
        return Figure.of(
                what,
                bytes / Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "a link of 1 Gbit/s is a guess",
                "discovery, not ours");
    }
}
