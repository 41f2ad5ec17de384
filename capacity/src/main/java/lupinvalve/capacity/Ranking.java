package lupinvalve.capacity;

import java.util.Comparator;
import java.util.List;

/** Exceeded budgets, by descending ratio. */
final class Ranking {
    private static final int MAX_ROWS = 12;
    private final List<Figure> all;

    Ranking(List<Figure> all) {
        this.all = all;
    }

    /**
     * Returns the exceeded budgets of a design by descending ratio, either only those that rest on guesses or only the
     * others.
     */
    List<Figure> exceeded(Figure.Scope design, boolean guessed) {
        return all.stream()
                .filter(figure -> figure.scope() == design || figure.scope() == Figure.Scope.BOTH)
                .filter(Figure::exceedsBudget)
                .filter(figure -> (figure.basis() == Basis.GUESSED) == guessed)
                .sorted(Comparator.comparingDouble(Figure::ratio).reversed())
                .toList();
    }

    /**
     * Creates a table of the exceeded budgets by descending ratio, each with its rank by the size from which it is
     * exceeded.
     */
    Table table(String name, Figure.Scope design) {
        Table table = new Table(
                name,
                List.of(
                        "by ratio",
                        "by size",
                        "budget exceeded",
                        "needed",
                        "budget",
                        "ratio",
                        "fails from",
                        "known by"));
        fill(table, exceeded(design, false), "");
        fill(table, exceeded(design, true), "guess ");
        return table;
    }

    private static void fill(Table table, List<Figure> figures, String prefix) {
        List<Figure> bySize = figures.stream()
                .filter(figure -> figure.size().equals("poolers") && !Double.isNaN(figure.failsAt()))
                .sorted(Comparator.comparingDouble(Figure::failsAt))
                .toList();
        for (int i = 0; i < Math.min(MAX_ROWS, figures.size()); i++) {
            Figure figure = figures.get(i);
            int rank = bySize.indexOf(figure) + 1;
            table.addRow(
                    prefix + (i + 1),
                    rank == 0 ? "" : prefix + rank,
                    figure.what(),
                    figure.needText(),
                    figure.budgetText(),
                    figure.ratioText(),
                    Table.failsFrom(figure),
                    figure.basis().word());
        }
        if (figures.isEmpty()) {
            table.addRow(prefix + "-", "", "none", "", "", "", "", "");
        }
    }
}
