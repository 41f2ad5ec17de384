package lupinvalve.capacity;

import java.util.Comparator;
import java.util.List;

/** Budgets that are exceeded, the worst first. */
final class Ranking {
    private static final int SHOWN = 12;
    private final List<Figure> all;

    Ranking(List<Figure> all) {
        this.all = all;
    }

    /** By ratio, in one design; guesses stand apart. */
    List<Figure> over(Figure.Scope design, boolean guessed) {
        return all.stream()
                .filter(figure -> figure.scope() == design || figure.scope() == Figure.Scope.BOTH)
                .filter(Figure::over)
                .filter(figure -> (figure.basis() == Basis.GUESSED) == guessed)
                .sorted(Comparator.comparingDouble(Figure::ratio).reversed())
                .toList();
    }

    /** The worst first, each with its place among the sizes at which budgets begin to be exceeded. */
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
        fill(table, over(design, false), "");
        fill(table, over(design, true), "guess ");
        return table;
    }

    private static void fill(Table table, List<Figure> figures, String before) {
        List<Figure> bySize = figures.stream()
                .filter(figure -> figure.size().equals("poolers") && !Double.isNaN(figure.failsAt()))
                .sorted(Comparator.comparingDouble(Figure::failsAt))
                .toList();
        for (int i = 0; i < Math.min(SHOWN, figures.size()); i++) {
            Figure figure = figures.get(i);
            int place = bySize.indexOf(figure) + 1;
            table.row(
                    before + (i + 1),
                    place == 0 ? "" : before + place,
                    figure.what(),
                    figure.needWords(),
                    figure.budgetWords(),
                    figure.ratioWords(),
                    Table.failsFrom(figure),
                    figure.basis().word());
        }
        if (figures.isEmpty()) {
            table.row(before + "-", "", "none", "", "", "", "", "");
        }
    }
}
