package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.subscription.SubscriberLeases;
import lupinvalve.subscription.WatchService;

/** What following a control member costs where nothing changes, by the program's paces and sizes. */
final class SubscriptionFigures {
    private static final double MICROS = 1e6;
    private static final String SIZES = "`WatchService.LONG_POLL_MICROS`, `CodeFactsTest`";
    private final Demand d;

    SubscriptionFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        double perSecond = MICROS / WatchService.LONG_POLL_MICROS;
        double bytes = perSecond * (CodeFacts.FOLLOW + CodeFacts.FOLLOW_ANSWER);
        List<Figure> all = List.of(
                Figure.of(
                        "requests with their answers at a pooler, nothing changing",
                        bytes,
                        d.controlBytesPerSecond(),
                        Unit.BYTES_PER_SECOND,
                        Basis.COMPUTED,
                        SIZES,
                        "subscription/WatchService.java"),
                Figure.plain(
                        "requests and answers at a control member, all three up",
                        2 * perSecond * d.poolers() / d.controlMembers(),
                        Unit.PER_SECOND,
                        Basis.COMPUTED,
                        SIZES,
                        "replication/SubscriptionServer.java"),
                Figure.of(
                        "all 910 at the last of three, bytes",
                        bytes * d.poolers(),
                        Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                        Unit.BYTES_PER_SECOND,
                        Basis.GUESSED,
                        SIZES + "; the link is a guess",
                        "replication/SubscriptionServer.java"),
                Figure.of(
                        "a change in force at a pooler, or its lease ended, at most, drift not counted",
                        (2 * Lease.DURATION_MICROS + SubscriberLeases.CATCH_UP_MICROS) / MICROS,
                        d.inForceSeconds(),
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "two leases and the time to catch up",
                        "subscription/SubscriberLeases.java"),
                Figure.of(
                        "a request lost and one at another member, before a lease ends",
                        2 * WatchService.LONG_POLL_MICROS / MICROS,
                        Lease.DURATION_MICROS / MICROS,
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "`WatchService.LONG_POLL_MICROS`, `Lease.DURATION_MICROS`",
                        "subscription/MemberSelector.java"));
        return all.stream().map(figure -> figure.in(Figure.Scope.SUBSCRIPTIONS)).toList();
    }
}
