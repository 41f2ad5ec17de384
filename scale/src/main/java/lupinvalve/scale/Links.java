package lupinvalve.scale;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.drills.FaultProxy;

/**
 * Proxies before the control members: from each zone's poolers, the slow tenth of a zone apart, and from each other
 * member. So links of a zone, a region or the slow tenth can be slowed or cut, and what passes is counted.
 */
final class Links implements Closeable {
    /** Who dials: a zone's poolers, its slow tenth, or the member in a region. */
    private record From(int region, int zone, boolean slow, boolean member) {}

    private record Link(From from, int toMember, FaultProxy proxy, FrameMeter meter) {}

    private final List<Link> links = new ArrayList<>();

    /** @param ports of the members' listeners */
    Links(List<Integer> ports) throws IOException {
        for (int zone = 0; zone < Topology.ZONES; zone++) {
            for (int to = 0; to < Topology.MEMBERS; to++) {
                open(new From(Topology.regionOfZone(zone), zone, false, false), to, ports.get(to));
                open(new From(Topology.regionOfZone(zone), zone, true, false), to, ports.get(to));
            }
        }
        for (int member = 0; member < Topology.MEMBERS; member++) {
            for (int to = 0; to < Topology.MEMBERS; to++) {
                if (to != member) {
                    open(new From(member, -1, false, true), to, ports.get(to));
                }
            }
        }
    }

    private void open(From from, int to, int port) throws IOException {
        FrameMeter meter = new FrameMeter();
        links.add(new Link(from, to, new FaultProxy(port, meter), meter));
    }

    /** Addresses of the members for a pooler. */
    Map<String, String> forPooler(int pooler) {
        Map<String, String> places = new TreeMap<>();
        for (Link link : links) {
            From from = link.from();
            if (!from.member() && from.zone() == Topology.zone(pooler) && from.slow() == Topology.slow(pooler)) {
                places.put(
                        Topology.member(link.toMember()),
                        "127.0.0.1:" + link.proxy().port());
            }
        }
        return places;
    }

    /** Addresses of the other members for a member. */
    Map<String, String> forMember(int member) {
        Map<String, String> places = new TreeMap<>();
        for (Link link : links) {
            if (link.from().member() && link.from().region() == member) {
                places.put(
                        Topology.member(link.toMember()),
                        "127.0.0.1:" + link.proxy().port());
            }
        }
        return places;
    }

    /**
     * Swallows what goes between a region and the others: what the region sends, what it is sent, or both; or no more.
     */
    void cutRegion(int region, boolean sent, boolean received) {
        for (Link link : links) {
            boolean fromThere = link.from().region() == region;
            boolean toThere = link.toMember() == region;
            if (fromThere && !toThere) {
                link.proxy().cut(sent, received);
            } else if (toThere && !fromThere) {
                link.proxy().cut(received, sent);
            }
        }
    }

    /** What the slow tenth of poolers sends and is sent comes so much later. */
    void slowTenth(long millis) {
        links.stream().filter(link -> link.from().slow()).forEach(link -> link.proxy()
                .slow(millis));
    }

    /** Each link between regions takes so long each way. */
    void slowRegions(long millis) {
        links.stream().filter(link -> link.from().region() != link.toMember()).forEach(link -> link.proxy()
                .slow(millis));
    }

    /** What has gone between poolers and members. */
    FrameMeter.Sums ofPoolers() {
        return sum(links.stream().filter(link -> !link.from().member()).toList());
    }

    /** What has gone between poolers and members, by kind. */
    Map<FrameMeter.Kind, FrameMeter.Sums> ofPoolersByKind() {
        Map<FrameMeter.Kind, FrameMeter.Sums> kinds = new LinkedHashMap<>();
        for (FrameMeter.Kind kind : FrameMeter.Kind.values()) {
            FrameMeter.Sums sums = new FrameMeter.Sums(0, 0);
            for (Link link : links) {
                sums = link.from().member() ? sums : sums.plus(link.meter().of(kind));
            }
            kinds.put(kind, sums);
        }
        return kinds;
    }

    /** What has gone to and from a member, whoever dialled. */
    FrameMeter.Sums ofMember(int member) {
        return sum(links.stream()
                .filter(link -> link.toMember() == member
                        || link.from().member() && link.from().region() == member)
                .toList());
    }

    /** What has gone between members. */
    FrameMeter.Sums betweenMembers(int member) {
        return sum(links.stream()
                .filter(link -> link.from().member()
                        && (link.toMember() == member || link.from().region() == member))
                .toList());
    }

    private static FrameMeter.Sums sum(List<Link> of) {
        FrameMeter.Sums sums = new FrameMeter.Sums(0, 0);
        for (Link link : of) {
            sums = sums.plus(link.meter().all());
        }
        return sums;
    }

    @Override
    public void close() throws IOException {
        for (Link link : links) {
            link.proxy().close();
        }
    }
}
