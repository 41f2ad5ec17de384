package lupinvalve.drills;

import java.util.Map;

/** Enters what comes to db nodes, and what they run, into the books. */
final class Arrivals implements DbNodes.Seen {
    private static final String NO_ID = "?";
    private final Book book;
    private final Timing timing;
    private final Ran ran;

    /** Hears of each statement that was run, at a Unix time in milliseconds. */
    interface Ran {
        /** A db node ran a statement of a pooler. */
        void at(String node, String pooler, long millis);
    }

    Arrivals(Book book, Timing timing, Ran ran) {
        this.book = book;
        this.timing = timing;
        this.ran = ran;
    }

    @Override
    public void ran(DbNodes.DbNode node, String pooler, Map<String, String> fields, boolean write) {
        book.ran(fields.getOrDefault("id", NO_ID), node.id);
        ran.at(node.id, pooler, System.currentTimeMillis());
    }

    @Override
    public void came(DbNodes.DbNode node, String pooler, Map<String, String> fields, long at) {
        timing.came(node.id, pooler, fields.getOrDefault("id", NO_ID), at);
    }
}
