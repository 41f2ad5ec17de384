package lupinvalve.capacity;

import java.util.List;

/** What each role holds at the operators' size, and what passes it whatever the design. */
final class StateFigures {
    /** What the platform's script leaves a pooler for all but its heap, and the least heap. */
    private static final double HEAP_LEAST = 40e6;

    private final Demand d;
    private final double document;
    private final Basis basis;

    StateFigures(Demand demand, double documentBytes, Basis documentBasis) {
        d = demand;
        document = documentBytes;
        basis = documentBasis;
    }

    List<Figure> figures() {
        double watched = (double) d.poolers() / d.controlMembers();
        return List.of(
                Figure.of(
                        "pooler: the document, as text, against its least heap",
                        document,
                        HEAP_LEAST,
                        Unit.BYTES,
                        basis,
                        "deploy/run.sh has 40 MB",
                        "replication/Subscriber.java"),
                Figure.plain(
                        "pooler: clients' connections",
                        d.connections() / d.poolers(),
                        Unit.COUNT,
                        Basis.COMPUTED,
                        "the demand alone",
                        "net/Net.java"),
                Figure.of(
                        "pooler: its core thread, each statement at its whole latency",
                        d.statementsPerPooler() * Past.REQUEST_SECONDS,
                        1,
                        Unit.CORES,
                        Basis.COMPUTED,
                        "`lab store-cost`, docs/replicated-log.md: an upper bound",
                        "core/EventLoop.java"),
                Figure.of(
                                "control member: poolers that follow it, where all three are up",
                                watched,
                                CodeFacts.FOLLOWERS_MOST,
                                Unit.COUNT,
                                Basis.COMPUTED,
                                "`SubscriptionServer.SUBSCRIBERS_MAX_COUNT`",
                                "replication/SubscriptionServer.java")
                        .in(Figure.Scope.SUBSCRIPTIONS),
                Figure.of(
                                "control member: poolers that follow the last of three",
                                d.poolers(),
                                CodeFacts.FOLLOWERS_MOST,
                                Unit.COUNT,
                                Basis.COMPUTED,
                                "`SubscriptionServer.SUBSCRIBERS_MAX_COUNT`",
                                "replication/SubscriptionServer.java")
                        .in(Figure.Scope.SUBSCRIPTIONS),
                Figure.plain(
                        "db node: statements",
                        d.statementsPerDatabase(),
                        Unit.PER_SECOND,
                        Basis.COMPUTED,
                        "the demand alone",
                        "net/Pool.java"),
                Figure.plain(
                        "operator's client: documents put, in a day",
                        document * d.changesPerDay(),
                        Unit.BYTES,
                        basis,
                        "each put is a whole document",
                        "replication/GroupClient.java"));
    }
}
