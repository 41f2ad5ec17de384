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
 * Proxies in front of the control members: separate ones for the poolers of each zone, for the slow tenth of each zone,
 * and for each other member. So the links of a zone, of a region or of the slow tenth can be slowed down or cut, and
 * their traffic is counted.
 */
final class Links implements Closeable {
    /** The connecting side: the poolers of a zone, its slow tenth, or the member in a region. */
    private record Source(int region, int zone, boolean slow, boolean member) {}

    private record Link(Source source, int toMember, FaultProxy proxy, FrameMeter meter) {}

    private final List<Link> links = new ArrayList<>();

    /** @param ports ports of the members' listeners, by member number */
    Links(List<Integer> ports) throws IOException {
        for (int zone = 0; zone < Topology.ZONES; zone++) {
            for (int to = 0; to < Topology.MEMBERS; to++) {
                open(new Source(Topology.regionOfZone(zone), zone, false, false), to, ports.get(to));
                open(new Source(Topology.regionOfZone(zone), zone, true, false), to, ports.get(to));
            }
        }
        for (int member = 0; member < Topology.MEMBERS; member++) {
            for (int to = 0; to < Topology.MEMBERS; to++) {
                if (to != member) {
                    open(new Source(member, -1, false, true), to, ports.get(to));
                }
            }
        }
    }

    private void open(Source source, int to, int port) throws IOException {
        FrameMeter meter = new FrameMeter();
        links.add(new Link(source, to, new FaultProxy(port, meter), meter));
    }

    /** Returns the addresses through which a pooler reaches the members, by member name. */
    Map<String, String> forPooler(int pooler) {
        Map<String, String> addresses = new TreeMap<>();
        for (Link link : links) {
            Source source = link.source();
            if (!source.member() && source.zone() == Topology.zone(pooler) && source.slow() == Topology.slow(pooler)) {
                addresses.put(
                        Topology.member(link.toMember()),
                        "127.0.0.1:" + link.proxy().port());
            }
        }
        return addresses;
    }

    /** Returns the addresses through which a member reaches the other members, by member name. */
    Map<String, String> forMember(int member) {
        Map<String, String> addresses = new TreeMap<>();
        for (Link link : links) {
            if (link.source().member() && link.source().region() == member) {
                addresses.put(
                        Topology.member(link.toMember()),
                        "127.0.0.1:" + link.proxy().port());
            }
        }
        return addresses;
    }

    /**
     * Drops the traffic that a region sends to the others, the traffic that it receives from them, or both; with
     * neither, restores the links.
     */
    void cutRegion(int region, boolean sent, boolean received) {
        for (Link link : links) {
            boolean fromRegion = link.source().region() == region;
            boolean toRegion = link.toMember() == region;
            if (fromRegion && !toRegion) {
                link.proxy().cut(sent, received);
            } else if (toRegion && !fromRegion) {
                link.proxy().cut(received, sent);
            }
        }
    }

    /** Delays the traffic of the slow tenth of poolers by this time, in each direction; 0 restores it. */
    void slowTenth(long millis) {
        links.stream().filter(link -> link.source().slow()).forEach(link -> link.proxy()
                .slow(millis));
    }

    /** Delays the traffic of each link between regions by this time, in each direction. */
    void slowRegions(long millis) {
        links.stream().filter(link -> link.source().region() != link.toMember()).forEach(link -> link.proxy()
                .slow(millis));
    }

    /** Returns the traffic between poolers and members so far. */
    FrameMeter.Sums ofPoolers() {
        return sum(links.stream().filter(link -> !link.source().member()).toList());
    }

    /** Returns the traffic between poolers and members so far, by kind of message. */
    Map<FrameMeter.Kind, FrameMeter.Sums> ofPoolersByKind() {
        Map<FrameMeter.Kind, FrameMeter.Sums> kinds = new LinkedHashMap<>();
        for (FrameMeter.Kind kind : FrameMeter.Kind.values()) {
            FrameMeter.Sums sums = new FrameMeter.Sums(0, 0);
            for (Link link : links) {
                sums = link.source().member() ? sums : sums.plus(link.meter().of(kind));
            }
            kinds.put(kind, sums);
        }
        return kinds;
    }

    /** Returns the traffic to and from a member so far, whichever side connected. */
    FrameMeter.Sums ofMember(int member) {
        return sum(links.stream()
                .filter(link -> link.toMember() == member
                        || link.source().member() && link.source().region() == member)
                .toList());
    }

    /** Returns the traffic between a member and the other members so far. */
    FrameMeter.Sums betweenMembers(int member) {
        return sum(links.stream()
                .filter(link -> link.source().member()
                        && (link.toMember() == member || link.source().region() == member))
                .toList());
    }

    private static FrameMeter.Sums sum(List<Link> summed) {
        FrameMeter.Sums sums = new FrameMeter.Sums(0, 0);
        for (Link link : summed) {
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
