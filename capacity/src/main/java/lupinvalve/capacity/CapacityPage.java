package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces the generated tables in a page. Each table follows a marker comment with the table's name and ends with its
 * last row. Without I/O.
 */
public final class CapacityPage {
    private static final Pattern BLOCK = Pattern.compile("(<!-- generated: ([a-z-]+) -->\n)((?:\\|.*\n)*)");

    private CapacityPage() {}

    /**
     * Returns the page with each table replaced by its current content. Throws if a marker names no table or names one
     * twice, or if a table has no marker.
     */
    public static String render(String page, List<Table> tables) {
        Set<String> missing = new HashSet<>();
        tables.forEach(table -> missing.add(table.name()));
        StringBuilder out = new StringBuilder();
        Matcher block = BLOCK.matcher(page);
        while (block.find()) {
            String name = block.group(2);
            if (!missing.remove(name)) {
                throw new IllegalArgumentException("no table is named " + name + ", or the page has two marks for it");
            }
            Table table = tables.stream()
                    .filter(one -> one.name().equals(name))
                    .findFirst()
                    .orElseThrow();
            block.appendReplacement(out, Matcher.quoteReplacement(block.group(1) + table.markdown() + "\n"));
        }
        block.appendTail(out);
        if (!missing.isEmpty()) {
            throw new IllegalArgumentException("the page has no mark for " + missing);
        }
        return out.toString();
    }

    /** Returns the names of the tables in the page that differ from their current content. */
    public static List<String> stale(String page, List<Table> tables) {
        String current = render(page, tables);
        List<String> out = new ArrayList<>();
        Matcher before = BLOCK.matcher(page);
        Matcher after = BLOCK.matcher(current);
        while (before.find() && after.find()) {
            if (!before.group(3).equals(after.group(3))) {
                out.add(before.group(2));
            }
        }
        return out;
    }
}
