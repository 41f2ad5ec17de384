package lupinvalve.capacity;

import java.util.List;

/** Figures for the state that each role holds at the operators' size, and for its traffic independent of the design. */
final class StateFigures {
    /**
     * Bytes that the platform's start script reserves for a pooler outside its heap, and also the smallest heap that it
     * sets.
     */
    private static final double MIN_HEAP_BYTES = 40e6;

    private final Demand demand;
    private final double documentBytes;
    private final Basis basis;

    StateFigures(Demand demand, double documentBytes, Basis documentBasis) {
        this.demand = demand;
        this.documentBytes = documentBytes;
        basis = documentBasis;
    }

    List<Figure> figures() {
        double subscribersPerMember = (double) demand.poolers() / demand.controlMembers();
        return List.of(
                Figure.of(
                        "pooler: the document, as text, against its least heap",
                        documentBytes,
                        MIN_HEAP_BYTES,
                        Unit.BYTES,
                        basis,
                        "deploy/run.sh has 40 MB",
                        "replication/Subscriber.java"),
                Figure.plain(
                        "pooler: clients' connections",
                        demand.connections() / demand.poolers(),
                        Unit.COUNT,
                        Basis.COMPUTED,
                        "the demand alone",
                        "net/Net.java"),
                Figure.of(
                        "pooler: its core thread, each statement at its whole latency",
                        demand.statementsPerPooler() * EarlierMeasurements.REQUEST_SECONDS,
                        1,
                        Unit.CORES,
                        Basis.COMPUTED,
                        "`lab store-cost`, docs/replicated-log.md: an upper bound",
                        "core/EventLoop.java"),
                Figure.of(
                                "control member: poolers that follow it, where all three are up",
                                subscribersPerMember,
                                CodeFacts.MAX_SUBSCRIBERS,
                                Unit.COUNT,
                                Basis.COMPUTED,
                                "`SubscriptionServer.SUBSCRIBERS_MAX_COUNT`",
                                "replication/SubscriptionServer.java")
                        .withScope(Figure.Scope.SUBSCRIPTIONS),
                Figure.of(
                                "control member: poolers that follow the last of three",
                                demand.poolers(),
                                CodeFacts.MAX_SUBSCRIBERS,
                                Unit.COUNT,
                                Basis.COMPUTED,
                                "`SubscriptionServer.SUBSCRIBERS_MAX_COUNT`",
                                "replication/SubscriptionServer.java")
                        .withScope(Figure.Scope.SUBSCRIPTIONS),
                Figure.plain(
                        "db node: statements",
                        demand.statementsPerDatabase(),
                        Unit.PER_SECOND,
                        Basis.COMPUTED,
                        "the demand alone",
                        "net/Pool.java"),
                Figure.plain(
                        "operator's client: documents put, in a day",
                        documentBytes * demand.changesPerDay(),
                        Unit.BYTES,
                        basis,
                        "each put is a whole document",
                        "replication/GroupClient.java"));
    }
}
