package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import lupinvalve.capacity.Slopes.Design;

/** All figures of the pages, from what was measured and what the operators plan. No I/O. */
public final class CapacityModel {
    /** A place at which the design may end: how its table is called, what it is, and its figures. */
    private record Place(String name, String words, List<Figure> figures) {}

    private final Demand demand;
    private final Slopes slopes;
    private final ConfigurationFigures configuration;
    private final ConnectionFigures connections;
    private final List<Place> places;

    public CapacityModel(Demand demand, Slopes slopes) {
        this.demand = demand;
        this.slopes = slopes;
        configuration = new ConfigurationFigures(demand, slopes);
        connections = new ConnectionFigures(demand);
        places = List.of(
                new Place("group", "the group, each pooler a member", new GroupFigures(demand).figures()),
                new Place("subscription", "the group, followed", new SubscriptionFigures(demand).figures()),
                new Place("configuration", "configuration", configuration.figures()),
                new Place("positions", "positions", new PositionFigures(demand).figures()),
                new Place("connections", "connections at a db node", connections.figures()),
                new Place("databases", "limits, cold db nodes, probes", new DatabaseFigures(demand).figures()),
                new Place("discovery", "discovery", new DiscoveryFigures(demand).figures()),
                new Place("regions", "regions", new RegionFigures(demand, configuration.document()).figures()),
                new Place("primaries", "changes of primary", new PrimaryFigures(demand).figures()));
    }

    /** The tables of docs/CAPACITY.md, by the names of their marks. */
    public List<Table> overview() {
        RoleFigures roles = new RoleFigures(demand, slopes);
        Ranking ranking = new Ranking(figures());
        return List.of(
                guesses(),
                roles.beforeAndAfter(),
                roles.runs(),
                Table.of("state", state()),
                worstByPlace(),
                new FailureTable(demand, slopes).table(),
                ranking.table("over-members", Figure.Scope.MEMBERS),
                ranking.table("over-subscriptions", Figure.Scope.SUBSCRIPTIONS));
    }

    /** The tables of docs/capacity/places.md, likewise. */
    public List<Table> places() {
        List<Table> out = new ArrayList<>();
        places.forEach(place -> out.add(Table.of(place.name(), place.figures())));
        out.add(connections.closingSooner());
        out.add(connections.subsets());
        return out;
    }

    /** All figures that may have a budget. */
    List<Figure> figures() {
        RoleFigures roles = new RoleFigures(demand, slopes);
        List<Figure> out = new ArrayList<>(roles.figures(Design.MEMBERS));
        out.addAll(roles.figures(Design.SUBSCRIPTIONS));
        out.addAll(state());
        places.forEach(place -> out.addAll(place.figures()));
        return out;
    }

    private List<Figure> state() {
        return new StateFigures(demand, configuration.document(), configuration.basis()).figures();
    }

    private Table worstByPlace() {
        Table table = new Table(
                "places",
                List.of(
                        "place",
                        "worst that is no guess, each pooler a member",
                        "ratio",
                        "known by",
                        "worst, with subscriptions",
                        "ratio",
                        "known by"));
        for (Place place : places) {
            Figure members = worst(place, Figure.Scope.MEMBERS);
            Figure followed = worst(place, Figure.Scope.SUBSCRIPTIONS);
            table.row(
                    place.words(),
                    words(members),
                    ratio(members),
                    basis(members),
                    words(followed),
                    ratio(followed),
                    basis(followed));
        }
        return table;
    }

    private static Figure worst(Place place, Figure.Scope design) {
        return place.figures().stream()
                .filter(figure -> figure.scope() == design || figure.scope() == Figure.Scope.BOTH)
                .filter(figure -> !Double.isNaN(figure.ratio()))
                .max(Comparator.comparing((Figure figure) -> figure.basis() != Basis.GUESSED)
                        .thenComparingDouble(Figure::ratio))
                .orElse(null);
    }

    private static String words(Figure figure) {
        return figure == null ? "-" : figure.what() + ": " + figure.needWords() + " of " + figure.budgetWords();
    }

    private static String ratio(Figure figure) {
        return figure == null ? "" : figure.ratioWords();
    }

    private static String basis(Figure figure) {
        return figure == null ? "" : figure.basis().word();
    }

    private static Table guesses() {
        Table table = new Table("guesses", List.of("guess", "value", "why"));
        Assumptions.all().forEach(guess -> table.row(guess.what(), guess.unit().words(guess.value()), guess.why()));
        return table;
    }
}
