package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The page with its generated tables: each follows a mark that bears its name and ends with the last line of the table.
 * No I/O.
 */
public final class CapacityPage {
    private static final Pattern BLOCK = Pattern.compile("(<!-- generated: ([a-z-]+) -->\n)((?:\\|.*\n)*)");

    private CapacityPage() {}

    /** The page with each table as it is now; throws where a mark names none, or a table has not one mark. */
    public static String render(String page, List<Table> tables) {
        Set<String> left = new HashSet<>();
        tables.forEach(table -> left.add(table.name()));
        StringBuilder out = new StringBuilder();
        Matcher block = BLOCK.matcher(page);
        while (block.find()) {
            String name = block.group(2);
            if (!left.remove(name)) {
                throw new IllegalArgumentException("no table is called " + name + ", or it has two marks");
            }
            Table table = tables.stream()
                    .filter(one -> one.name().equals(name))
                    .findFirst()
                    .orElseThrow();
            block.appendReplacement(out, Matcher.quoteReplacement(block.group(1) + table.markdown() + "\n"));
        }
        block.appendTail(out);
        if (!left.isEmpty()) {
            throw new IllegalArgumentException("no mark for " + left);
        }
        return out.toString();
    }

    /** Names of the generated parts that are not what they would be now. */
    public static List<String> stale(String page, List<Table> tables) {
        String now = render(page, tables);
        List<String> out = new ArrayList<>();
        Matcher before = BLOCK.matcher(page);
        Matcher after = BLOCK.matcher(now);
        while (before.find() && after.find()) {
            if (!before.group(3).equals(after.group(3))) {
                out.add(before.group(2));
            }
        }
        return out;
    }
}
