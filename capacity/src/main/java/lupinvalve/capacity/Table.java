package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** One generated table of the page. */
public final class Table {
    private static final List<String> FIGURES =
            List.of("what", "needed", "budget", "ratio", "fails from", "known by", "from", "carried by");
    private final String name;
    private final List<String> header;
    private final List<List<String>> rows = new ArrayList<>();

    Table(String name, List<String> header) {
        this.name = name;
        this.header = List.copyOf(header);
    }

    /** A table with a line for each figure. */
    static Table of(String name, List<Figure> figures) {
        Table table = new Table(name, FIGURES);
        for (Figure figure : figures) {
            table.row(
                    figure.what(),
                    figure.needWords(),
                    figure.budgetWords(),
                    figure.ratioWords(),
                    failsFrom(figure),
                    figure.basis().word(),
                    figure.from(),
                    figure.carriedBy());
        }
        return table;
    }

    static String failsFrom(Figure figure) {
        return Double.isNaN(figure.failsAt()) ? "" : Unit.number(figure.failsAt()) + " " + figure.size();
    }

    void row(String... cells) {
        if (cells.length != header.size()) {
            throw new IllegalArgumentException(
                    name + ": " + cells.length + " cells under " + header.size() + " headings");
        }
        rows.add(List.of(cells));
    }

    /** By what the page names it. */
    public String name() {
        return name;
    }

    /** The table as the page has it, without a line's end behind it. */
    public String markdown() {
        StringBuilder out = new StringBuilder();
        line(out, header);
        line(out, header.stream().map(cell -> "---").toList());
        rows.forEach(row -> line(out, row));
        return out.substring(0, out.length() - 1);
    }

    private static void line(StringBuilder out, List<String> cells) {
        out.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }
}
