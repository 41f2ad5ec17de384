package lupinvalve.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * One life's entries: chains them, bounds them, and says which are to be delivered. Without I/O; whoever carries it
 * forces what {@link #add} gives before it is acted on.
 */
public final class AuditJournal {
    /** Entries kept at most; of more the older half goes, with a summary. */
    static final int MAX_ENTRIES = 4_000;

    private final String pooler;
    private final long incarnation, errorMicros;
    private final List<AuditEntry> retained = new ArrayList<>();
    private long number, deliveredUpTo;
    private String last = "";

    /** @param errorMicros by how much the pooler's clock may be off */
    public AuditJournal(String pooler, long life, long errorMicros) {
        this.pooler = pooler;
        this.incarnation = life;
        this.errorMicros = errorMicros;
    }

    /** Notes something; gives what is to be written and forced, one or more entries. */
    public List<AuditEntry> add(AuditEntry.Event what, String version, long index, long atMicros, String why) {
        List<AuditEntry> added = new ArrayList<>();
        if (retained.size() >= MAX_ENTRIES) {
            List<AuditEntry> old = retained.subList(0, MAX_ENTRIES / 2);
            String summary = old.size() + " entries from " + old.get(0).number() + " on, of "
                    + old.get(0).atMicros() + " to " + old.get(old.size() - 1).atMicros() + " us";
            long undelivered =
                    old.stream().filter(e -> e.number() > deliveredUpTo).count();
            old.clear();
            added.add(next(
                    AuditEntry.Event.DROPPED,
                    "",
                    index,
                    atMicros,
                    summary + ", " + undelivered + " of them not delivered"));
        }
        added.add(next(what, version, index, atMicros, why));
        return added;
    }

    private AuditEntry next(AuditEntry.Event what, String version, long index, long atMicros, String why) {
        AuditEntry entry =
                new AuditEntry(pooler, incarnation, ++number, what, version, index, atMicros, errorMicros, why, last);
        last = entry.digest();
        retained.add(entry);
        return entry;
    }

    /** What the group has not been told yet, so many at most. */
    public List<AuditEntry> undelivered(int most) {
        return retained.stream()
                .filter(e -> e.number() > deliveredUpTo)
                .limit(most)
                .toList();
    }

    /** The group holds all up to a number. */
    public void markDelivered(long upTo) {
        deliveredUpTo = Math.max(deliveredUpTo, upTo);
    }

    /**
     * Why a life's entries, in the order of their numbers, are not one chain, or null. A summary stands for what it
     * names.
     */
    public static String chainBreak(List<AuditEntry> entries) {
        AuditEntry before = null;
        for (AuditEntry entry : entries) {
            if (before != null
                    && entry.number() == before.number() + 1
                    && !entry.previousDigest().equals(before.digest())) {
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
