package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** What the list of db nodes costs discovery and poolers. */
final class DiscoveryFigures {
    private final Demand d;

    DiscoveryFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        double list = d.databases() * CodeFacts.LIST_ENTRY;
        out.add(Figure.of(
                "whole list of 1,200 db nodes",
                list,
                CodeFacts.LIST_MOST,
                Unit.BYTES,
                Basis.COMPUTED,
                "`CodeFactsTest`",
                "discovery/HttpEndpointDiscovery.java"));
        out.add(seconds("whole list at a pooler, were the budget to hold in each second", list));
        double zone = d.databasesPerZone() * CodeFacts.LIST_ENTRY;
        out.add(seconds("a zone's db nodes as changes, likewise", zone));
        out.add(link("a zone's db nodes to all poolers, at one discovery server", zone * d.poolers()));
        out.add(link("whole lists to 910 at once after discovery's own restart", list * d.poolers()));
        out.add(Figure.plain(
                "watches and their beats at discovery",
                d.poolers() / CodeFacts.WATCH_BEAT_SECONDS,
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "a beat each 2 s",
                "discovery/HttpEndpointDiscovery.java"));
        out.add(Figure.of(
                "a silent watch noticed and replaced, two calls failing",
                CodeFacts.WATCH_DOUBTED_SECONDS + 2 * CodeFacts.CALL_SECONDS,
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "its constants, pauses not counted",
                "discovery/WatchSchedule.java"));
        return out;
    }

    private Figure seconds(String what, double bytes) {
        double need = bytes / d.controlBytesPerSecond();
        double failsAt =
                need > d.inForceSeconds() ? Math.floor(d.inForceSeconds() / need * d.databases()) + 1 : Double.NaN;
        return new Figure(
                what,
                need,
                d.inForceSeconds(),
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
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "a link of 1 Gbit/s is a guess",
                "discovery, not ours");
    }
}
