package lupinvalve.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * The audit entries of one incarnation: chains them by digest, limits their number, and selects those that must be
 * delivered to the group. No I/O: the caller writes and fsyncs the entries that {@link #add} returns before it acts on
 * the event. Not thread-safe.
 */
public final class AuditJournal {
    /** Maximum number of retained entries; beyond it the older half is replaced by a summary. */
    static final int MAX_ENTRIES = 4_000;

    private final String pooler;
    private final long incarnation;
    private final long errorMicros;
    private final List<AuditEntry> retained = new ArrayList<>();
    private long lastNumber;
    private String lastDigest = "";
    private long deliveredNumber;

    /** @param errorMicros maximum error of the pooler's clock */
    public AuditJournal(String pooler, long incarnation, long errorMicros) {
        this.pooler = pooler;
        this.incarnation = incarnation;
        this.errorMicros = errorMicros;
    }

    /** Records an event; returns the entries to write: a summary if older entries were dropped, then the new one. */
    public List<AuditEntry> add(AuditEntry.Event event, String version, long index, long atMicros, String reason) {
        List<AuditEntry> added = new ArrayList<>();
        if (retained.size() >= MAX_ENTRIES) {
            added.add(append(AuditEntry.Event.DROPPED, "", index, atMicros, dropOlderHalf()));
        }
        added.add(append(event, version, index, atMicros, reason));
        return added;
    }

    private String dropOlderHalf() {
        List<AuditEntry> dropped = retained.subList(0, MAX_ENTRIES / 2);
        AuditEntry first = dropped.get(0);
        AuditEntry last = dropped.get(dropped.size() - 1);
        long undelivered = dropped.stream()
                .filter(entry -> entry.number() > deliveredNumber)
                .count();
        String summary = dropped.size() + " entries from " + first.number() + " on, of " + first.atMicros() + " to "
                + last.atMicros() + " us, " + undelivered + " of them not delivered";
        dropped.clear();
        return summary;
    }

    private AuditEntry append(AuditEntry.Event event, String version, long index, long atMicros, String reason) {
        AuditEntry entry = new AuditEntry(
                pooler, incarnation, ++lastNumber, event, version, index, atMicros, errorMicros, reason, lastDigest);
        lastDigest = entry.digest();
        retained.add(entry);
        return entry;
    }

    /** The oldest entries that were not delivered to the group, at most {@code maxCount}. */
    public List<AuditEntry> undelivered(int maxCount) {
        return retained.stream()
                .filter(entry -> entry.number() > deliveredNumber)
                .limit(maxCount)
                .toList();
    }

    /** Records that the group has all entries up to a number. */
    public void markDelivered(long lastDeliveredNumber) {
        deliveredNumber = Math.max(deliveredNumber, lastDeliveredNumber);
    }

    /** Describes the first break in the chain of one incarnation's entries, sorted by number; null if there is none. */
    public static String chainBreak(List<AuditEntry> entries) {
        AuditEntry previous = null;
        for (AuditEntry entry : entries) {
            if (previous != null && entry.number() > previous.number() + 1) {
                return entry.pooler() + "'s entries " + (previous.number() + 1) + " to " + (entry.number() - 1)
                        + " are missing";
            }
            if (previous != null
                    && entry.number() == previous.number() + 1
                    && !entry.previousDigest().equals(previous.digest())) {
                return entry.pooler() + "'s entry " + entry.number() + " does not follow from " + previous.number();
            }
            previous = entry;
        }
        return null;
    }
}
