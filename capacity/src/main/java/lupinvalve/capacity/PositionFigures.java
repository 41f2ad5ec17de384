package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.SessionTable;

/** Figures for the cost of letting sessions read their own writes at any pooler. */
final class PositionFigures {
    private static final double MAX_AGE_SECONDS = SessionTable.MAX_AGE_MICROS / 1e6;
    private final Demand demand;

    PositionFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        for (Setting setting : Setting.all()) {
            double writes = demand.statementsPerSecond() * setting.writeShare();
            out.addAll(sharedPositions(
                    setting.name() + ": shared as shipped, each write of a session that is named",
                    writes,
                    Figure.Scope.MEMBERS));
        }
        out.add(Figure.of(
                "both deployments: clients carry their tokens, or sessions stay; nothing need be shared",
                0,
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "`tokens = carried`",
                "core/SessionTokenStore.java"));
        Setting roaming = Setting.ALMATY;
        double least = demand.statementsPerSecond() * roaming.writeShare() * roaming.minRoamingRatio();
        out.addAll(sharedPositions(
                roaming.name() + ": only sessions that roam, least part of them", least, Figure.Scope.OPTION));
        out.add(batches());
        out.add(table(roaming));
        out.add(deliverableRatio(roaming));
        out.add(owner(roaming, roaming.minRoamingRatio(), "least"));
        out.add(owner(roaming, roaming.maxRoamingRatio(), "greatest"));
        return out;
    }

    private List<Figure> sharedPositions(String what, double commits, Figure.Scope scope) {
        return List.of(
                Figure.inProportion(
                                what + ": through one log",
                                commits,
                                EarlierMeasurements.MIN_CHANGES_PER_SECOND,
                                Unit.PER_SECOND,
                                demand.poolers(),
                                Basis.COMPUTED,
                                EarlierMeasurements.LOG_PAGE + ", slowest run of 3 members",
                                "statemachine/SessionCommitBatcher.java")
                        .withScope(scope),
                Figure.inProportion(
                                what + ": heard by each pooler",
                                commits * CodeFacts.SESSION_COMMIT_BYTES,
                                demand.controlBytesPerSecond(),
                                Unit.BYTES_PER_SECOND,
                                demand.poolers(),
                                Basis.COMPUTED,
                                "`CodeFactsTest`",
                                "replication/SessionTokens.java")
                        .withScope(scope));
    }

    private Figure batches() {
        double perPooler = 1 / (CodeFacts.BATCH_DELAY_SECONDS + EarlierMeasurements.COMMIT_SECONDS);
        return Figure.inProportion(
                        "bundles, one out at a time for each pooler, at most",
                        perPooler * demand.poolers(),
                        EarlierMeasurements.MIN_CHANGES_PER_SECOND,
                        Unit.PER_SECOND,
                        demand.poolers(),
                        Basis.COMPUTED,
                        EarlierMeasurements.LOG_PAGE + "; a bundle counted as a change",
                        "statemachine/SessionCommitBatcher.java")
                .withScope(Figure.Scope.MEMBERS);
    }

    private Figure table(Setting setting) {
        double writing = demand.connections()
                * setting.minRoamingRatio()
                * (1
                        - Math.exp(-demand.statementsPerSecond()
                                * setting.writeShare()
                                / demand.connections()
                                * MAX_AGE_SECONDS));
        return Figure.inProportion(
                        "sessions that roam and wrote within 10 min, one a connection, least part",
                        writing,
                        SessionTable.MAX_SESSIONS,
                        Unit.COUNT,
                        demand.poolers(),
                        Basis.GUESSED,
                        "`SessionTable.MAX_SESSIONS`; one session a connection is a guess",
                        "statemachine/SessionTable.java")
                .withScope(Figure.Scope.OPTION);
    }

    private Figure deliverableRatio(Setting setting) {
        double ratio = demand.controlBytesPerSecond()
                / CodeFacts.SESSION_COMMIT_BYTES
                / (demand.statementsPerSecond() * setting.writeShare());
        return Figure.plain(
                setting.name() + ": part of the writes of which each pooler can hear",
                ratio,
                Unit.COUNT,
                Basis.COMPUTED,
                "the budget over the writes",
                "");
    }

    /**
     * Figure for an option in which one pooler, found by a hash of the session's name, keeps a roaming session's
     * position and each read requests it there.
     */
    private Figure owner(Setting setting, double roams, String which) {
        double messages = demand.statementsPerPooler() * roams;
        double bytes = 2 * messages * (CodeFacts.LEASE_REQUEST_BYTES + CodeFacts.LEASE_RESPONSE_BYTES);
        return Figure.of(
                        "option: one pooler keeps a roaming session's position, asked each time, " + which + " part",
                        bytes,
                        demand.controlBytesPerSecond(),
                        Unit.BYTES_PER_SECOND,
                        Basis.GUESSED,
                        "a call as large as a lease's, asked and answered",
                        "not built")
                .withScope(Figure.Scope.OPTION);
    }
}
