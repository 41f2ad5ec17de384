package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import lupinvalve.capacity.Slopes.Design;

/** Computes all figures of the pages from the measurements and the operators' plan. Without I/O. */
public final class CapacityModel {
    /** A part of the design that may limit its size: the name of its table, its name on the page, and its figures. */
    private record Place(String name, String label, List<Figure> figures) {}

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
                new Place("regions", "regions", new RegionFigures(demand, configuration.documentBytes()).figures()),
                new Place("primaries", "changes of primary", new PrimaryFigures(demand).figures()));
    }

    /** Returns the tables of docs/CAPACITY.md, named as their markers. */
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

    /** Returns the tables of docs/capacity/places.md, named as their markers. */
    public List<Table> places() {
        List<Table> out = new ArrayList<>();
        places.forEach(place -> out.add(Table.of(place.name(), place.figures())));
        out.add(connections.closingSooner());
        out.add(connections.subsets());
        return out;
    }

    /** Returns all figures that may have a budget. */
    List<Figure> figures() {
        RoleFigures roles = new RoleFigures(demand, slopes);
        List<Figure> out = new ArrayList<>(roles.figures(Design.MEMBERS));
        out.addAll(roles.figures(Design.SUBSCRIPTIONS));
        out.addAll(state());
        places.forEach(place -> out.addAll(place.figures()));
        return out;
    }

    private List<Figure> state() {
        return new StateFigures(demand, configuration.documentBytes(), configuration.basis()).figures();
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
            Figure subscriptions = worst(place, Figure.Scope.SUBSCRIPTIONS);
            table.addRow(
                    place.label(),
                    words(members),
                    ratio(members),
                    basis(members),
                    words(subscriptions),
                    ratio(subscriptions),
                    basis(subscriptions));
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
        return figure == null ? "-" : figure.what() + ": " + figure.needText() + " of " + figure.budgetText();
    }

    private static String ratio(Figure figure) {
        return figure == null ? "" : figure.ratioText();
    }

    private static String basis(Figure figure) {
        return figure == null ? "" : figure.basis().word();
    }

    private static Table guesses() {
        Table table = new Table("guesses", List.of("guess", "value", "why"));
        Assumptions.all()
                .forEach(guess -> table.addRow(guess.what(), guess.unit().format(guess.value()), guess.why()));
        return table;
    }
}
