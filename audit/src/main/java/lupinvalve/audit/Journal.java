package lupinvalve.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * One life's entries: chains them, bounds them, and says which are to be delivered. Without I/O; whoever carries it
 * forces what {@link #add} gives before it is acted on.
 */
public final class Journal {
    /** Entries kept at most; of more the older half goes, with a summary. */
    static final int MOST = 4_000;

    private final String pooler;
    private final long life, errorMicros;
    private final List<Entry> kept = new ArrayList<>();
    private long number, delivered;
    private String last = "";

    /** @param errorMicros by how much the pooler's clock may be off */
    public Journal(String pooler, long life, long errorMicros) {
        this.pooler = pooler;
        this.life = life;
        this.errorMicros = errorMicros;
    }

    /** Notes something; gives what is to be written and forced, one or more entries. */
    public List<Entry> add(Entry.What what, String version, long index, long atMicros, String why) {
        List<Entry> added = new ArrayList<>();
        if (kept.size() >= MOST) {
            List<Entry> old = kept.subList(0, MOST / 2);
            String summary = old.size() + " entries from " + old.get(0).number() + " on, of "
                    + old.get(0).atMicros() + " to " + old.get(old.size() - 1).atMicros() + " us";
            long undelivered = old.stream().filter(e -> e.number() > delivered).count();
            old.clear();
            added.add(next(
                    Entry.What.DROPPED, "", index, atMicros, summary + ", " + undelivered + " of them not delivered"));
        }
        added.add(next(what, version, index, atMicros, why));
        return added;
    }

    private Entry next(Entry.What what, String version, long index, long atMicros, String why) {
        Entry entry = new Entry(pooler, life, ++number, what, version, index, atMicros, errorMicros, why, last);
        last = entry.digest();
        kept.add(entry);
        return entry;
    }

    /** What the group has not been told yet, so many at most. */
    public List<Entry> due(int most) {
        return kept.stream().filter(e -> e.number() > delivered).limit(most).toList();
    }

    /** The group holds all up to a number. */
    public void delivered(long upTo) {
        delivered = Math.max(delivered, upTo);
    }

    /**
     * Why a life's entries, in the order of their numbers, are not one chain, or null. A summary stands for what it
     * names.
     */
    public static String broken(List<Entry> entries) {
        Entry before = null;
        for (Entry entry : entries) {
            if (before != null
                    && entry.number() == before.number() + 1
                    && !entry.before().equals(before.digest())) {
                return entry.pooler() + "'s entry " + entry.number() + " does not follow from " + before.number();
            }
            if (before != null && entry.number() > before.number() + 1) {
                return entry.pooler() + "'s entries " + (before.number() + 1) + " to " + (entry.number() - 1)
                        + " are missing";
            }
            before = entry;
        }
        return null;
    }
}
