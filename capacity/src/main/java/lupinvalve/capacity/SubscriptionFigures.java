package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.subscription.SubscriberLeases;
import lupinvalve.subscription.WatchService;

/**
 * Figures for the cost of subscribing to a control member while nothing changes, from the program's intervals and
 * message sizes.
 */
final class SubscriptionFigures {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final String SIZES = "`WatchService.LONG_POLL_MICROS`, `CodeFactsTest`";
    private final Demand demand;

    SubscriptionFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        double perSecond = MICROS_PER_SECOND / WatchService.LONG_POLL_MICROS;
        double bytes = perSecond * (CodeFacts.WATCH_REQUEST_BYTES + CodeFacts.WATCH_RESPONSE_BYTES);
        List<Figure> all = List.of(
                Figure.of(
                        "requests with their answers at a pooler, nothing changing",
                        bytes,
                        demand.controlBytesPerSecond(),
                        Unit.BYTES_PER_SECOND,
                        Basis.COMPUTED,
                        SIZES,
                        "subscription/WatchService.java"),
                Figure.plain(
                        "requests and answers at a control member, all three up",
                        2 * perSecond * demand.poolers() / demand.controlMembers(),
                        Unit.PER_SECOND,
                        Basis.COMPUTED,
                        SIZES,
                        "replication/SubscriptionServer.java"),
                Figure.of(
                        "all 910 at the last of three, bytes",
                        bytes * demand.poolers(),
                        Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                        Unit.BYTES_PER_SECOND,
                        Basis.GUESSED,
                        SIZES + "; the link is a guess",
                        "replication/SubscriptionServer.java"),
                Figure.of(
                        "a change in force at a pooler, or its lease ended, at most, drift not counted",
                        (2 * Lease.DURATION_MICROS + SubscriberLeases.CATCH_UP_MICROS) / MICROS_PER_SECOND,
                        demand.inForceSeconds(),
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "two leases and the time to catch up",
                        "subscription/SubscriberLeases.java"),
                Figure.of(
                        "a request lost and one at another member, before a lease ends",
                        2 * WatchService.LONG_POLL_MICROS / MICROS_PER_SECOND,
                        Lease.DURATION_MICROS / MICROS_PER_SECOND,
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "`WatchService.LONG_POLL_MICROS`, `Lease.DURATION_MICROS`",
                        "subscription/MemberSelector.java"));
        return all.stream()
                .map(figure -> figure.withScope(Figure.Scope.SUBSCRIPTIONS))
                .toList();
    }
}
