package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import lupinvalve.capacity.Slopes.Design;

/** All figures of the page, from what was measured and what the operators plan. No I/O. */
public final class CapacityModel {
    private final Demand demand;
    private final Slopes slopes;

    public CapacityModel(Demand demand, Slopes slopes) {
        this.demand = demand;
        this.slopes = slopes;
    }

    /** The page's tables, by the names of their marks. */
    public List<Table> tables() {
        ConfigurationFigures configuration = new ConfigurationFigures(demand, slopes);
        ConnectionFigures connections = new ConnectionFigures(demand);
        RoleFigures roles = new RoleFigures(demand, slopes);
        Ranking ranking = new Ranking(figures());
        return List.of(guesses(), roles.beforeAndAfter(), roles.runs(),
                Table.of("state", new StateFigures(demand, configuration.document(), configuration.basis()).figures()),
                Table.of("group", new GroupFigures(demand).figures()),
                Table.of("configuration", configuration.figures()),
                Table.of("positions", new PositionFigures(demand).figures()),
                Table.of("connections", connections.figures()), connections.closingSooner(), connections.subsets(),
                Table.of("databases", new DatabaseFigures(demand).figures()),
                Table.of("discovery", new DiscoveryFigures(demand).figures()),
                Table.of("regions", new RegionFigures(demand, configuration.document()).figures()),
                Table.of("primaries", new PrimaryFigures(demand).figures()),
                new FailureTable(demand, slopes).table(),
                ranking.table("over-members", Figure.Scope.MEMBERS),
                ranking.table("over-subscriptions", Figure.Scope.SUBSCRIPTIONS));
    }

    /** All figures that may have a budget. */
    public List<Figure> figures() {
        ConfigurationFigures configuration = new ConfigurationFigures(demand, slopes);
        RoleFigures roles = new RoleFigures(demand, slopes);
        List<Figure> out = new ArrayList<>();
        Stream.of(roles.figures(Design.MEMBERS), roles.figures(Design.SUBSCRIPTIONS),
                new StateFigures(demand, configuration.document(), configuration.basis()).figures(), new GroupFigures(demand).figures(),
                configuration.figures(), new PositionFigures(demand).figures(), new ConnectionFigures(demand).figures(),
                new DatabaseFigures(demand).figures(), new DiscoveryFigures(demand).figures(),
                new RegionFigures(demand, configuration.document()).figures(), new PrimaryFigures(demand).figures()).forEach(out::addAll);
        return out;
    }

    private static Table guesses() {
        Table table = new Table("guesses", List.of("guess", "value", "why"));
        Assumptions.all().forEach(guess -> table.row(guess.what(), guess.unit().words(guess.value()), guess.why()));
        return table;
    }
}
