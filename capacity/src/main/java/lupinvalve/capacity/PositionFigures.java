package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.SessionTable;

/** What it takes that sessions read their own writes at any pooler. */
final class PositionFigures {
    private static final double AGE_SECONDS = SessionTable.MAX_AGE_MICROS / 1e6;
    private final Demand d;

    PositionFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        for (Setting setting : Setting.all()) {
            double writes = d.statementsPerSecond() * setting.writeShare();
            out.addAll(shared(
                    setting.name() + ": shared as shipped, each write of a session that is named",
                    writes,
                    Figure.Scope.MEMBERS));
        }
        out.add(Figure.of(
                "both deployments: clients carry their tokens, or sessions stay; nothing need be shared",
                0,
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "`tokens = carried`",
                "core/SessionTokenStore.java"));
        Setting roaming = Setting.ALMATY;
        double least = d.statementsPerSecond() * roaming.writeShare() * roaming.roamsLeast();
        out.addAll(
                shared(roaming.name() + ": only sessions that roam, least part of them", least, Figure.Scope.OPTION));
        out.add(bundles());
        out.add(table(roaming));
        out.add(fits(roaming));
        out.add(owner(roaming, roaming.roamsLeast(), "least"));
        out.add(owner(roaming, roaming.roamsMost(), "greatest"));
        return out;
    }

    private List<Figure> shared(String what, double commits, Figure.Scope scope) {
        return List.of(
                Figure.inProportion(
                                what + ": through one log",
                                commits,
                                Past.CHANGES_LEAST,
                                Unit.PER_SECOND,
                                d.poolers(),
                                Basis.COMPUTED,
                                Past.LOG_PAGE + ", slowest run of 3 members",
                                "statemachine/SessionCommitBatcher.java")
                        .in(scope),
                Figure.inProportion(
                                what + ": heard by each pooler",
                                commits * CodeFacts.COMMIT,
                                d.controlBytesPerSecond(),
                                Unit.BYTES_PER_SECOND,
                                d.poolers(),
                                Basis.COMPUTED,
                                "`CodeFactsTest`",
                                "replication/SessionTokens.java")
                        .in(scope));
    }

    private Figure bundles() {
        double perPooler = 1 / (CodeFacts.BUNDLE_SECONDS + Past.COMMIT_SECONDS);
        return Figure.inProportion(
                        "bundles, one out at a time for each pooler, at most",
                        perPooler * d.poolers(),
                        Past.CHANGES_LEAST,
                        Unit.PER_SECOND,
                        d.poolers(),
                        Basis.COMPUTED,
                        Past.LOG_PAGE + "; a bundle counted as a change",
                        "statemachine/SessionCommitBatcher.java")
                .in(Figure.Scope.MEMBERS);
    }

    private Figure table(Setting setting) {
        double writing = d.connections()
                * setting.roamsLeast()
                * (1 - Math.exp(-d.statementsPerSecond() * setting.writeShare() / d.connections() * AGE_SECONDS));
        return Figure.inProportion(
                        "sessions that roam and wrote within 10 min, one a connection, least part",
                        writing,
                        SessionTable.MAX_SESSIONS,
                        Unit.COUNT,
                        d.poolers(),
                        Basis.GUESSED,
                        "`SessionTable.MAX_SESSIONS`; one session a connection is a guess",
                        "statemachine/SessionTable.java")
                .in(Figure.Scope.OPTION);
    }

    private Figure fits(Setting setting) {
        double part = d.controlBytesPerSecond() / CodeFacts.COMMIT / (d.statementsPerSecond() * setting.writeShare());
        return Figure.plain(
                setting.name() + ": part of the writes of which each pooler can hear",
                part,
                Unit.COUNT,
                Basis.COMPUTED,
                "the budget over the writes",
                "");
    }

    /**
     * Each roaming session's position kept at one pooler, found by a hash of the session's name and asked for by each
     * read.
     */
    private Figure owner(Setting setting, double roams, String which) {
        double messages = d.statementsPerPooler() * roams;
        double bytes = 2 * messages * (CodeFacts.LEASE_CALL + CodeFacts.LEASE_ANSWER);
        return Figure.of(
                        "option: one pooler keeps a roaming session's position, asked each time, " + which + " part",
                        bytes,
                        d.controlBytesPerSecond(),
                        Unit.BYTES_PER_SECOND,
                        Basis.GUESSED,
                        "a call as large as a lease's, asked and answered",
                        "not built")
                .in(Figure.Scope.OPTION);
    }
}
