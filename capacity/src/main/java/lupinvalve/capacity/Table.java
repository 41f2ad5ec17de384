package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** A generated table of a page. */
public final class Table {
    private static final List<String> FIGURE_COLUMNS =
            List.of("what", "needed", "budget", "ratio", "fails from", "known by", "from", "carried by");
    private final String name;
    private final List<String> header;
    private final List<List<String>> rows = new ArrayList<>();

    Table(String name, List<String> header) {
        this.name = name;
        this.header = List.copyOf(header);
    }

    /** Creates a table with one row per figure. */
    static Table of(String name, List<Figure> figures) {
        Table table = new Table(name, FIGURE_COLUMNS);
        for (Figure figure : figures) {
            table.addRow(
                    figure.what(),
                    figure.needText(),
                    figure.budgetText(),
                    figure.ratioText(),
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

    void addRow(String... cells) {
        if (cells.length != header.size()) {
            throw new IllegalArgumentException(
                    name + ": " + cells.length + " cells under " + header.size() + " headings");
        }
        rows.add(List.of(cells));
    }

    /** Returns the name that the page's marker has. */
    public String name() {
        return name;
    }

    /** Returns the table in Markdown, without a line break at its end. */
    public String markdown() {
        StringBuilder out = new StringBuilder();
        appendRow(out, header);
        appendRow(out, header.stream().map(cell -> "---").toList());
        rows.forEach(row -> appendRow(out, row));
        return out.substring(0, out.length() - 1);
    }

    private static void appendRow(StringBuilder out, List<String> cells) {
        out.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }
}
