package lupinvalve.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Which pooler acted on which version and when, as far as its own entries show; where they don't, the result says so,
 * with the reason. Immutable after construction. No I/O.
 */
public final class AuditHistory {
    /** The end of a span if no entry shows that the pooler stopped acting on the version. */
    public static final long OPEN_END_MICROS = Long.MAX_VALUE;
    /** Time after its last entry for which a pooler is assumed unchanged: a change would have added another entry. */
    private static final long COVERAGE_MICROS = 5_000_000;

    /**
     * The period in which a pooler may have acted on a version, widened by the maximum error of its clock.
     *
     * @param index of the version's log entry
     * @param toMicros {@link #OPEN_END_MICROS} if no entry shows that the pooler stopped acting on the version
     * @param ended whether an entry shows the end; otherwise the pooler may have stopped earlier than {@code toMicros}
     * @param reason of the end, or why the end is not known
     */
    public record VersionSpan(
            String pooler,
            long incarnation,
            String version,
            long index,
            long fromMicros,
            long toMicros,
            boolean ended,
            String reason) {
        private static VersionSpan adopted(AuditEntry entry) {
            return new VersionSpan(
                    entry.pooler(),
                    entry.incarnation(),
                    entry.version(),
                    entry.index(),
                    earliest(entry),
                    OPEN_END_MICROS,
                    false,
                    "");
        }

        private VersionSpan startingAt(long startMicros) {
            return new VersionSpan(pooler, incarnation, version, index, startMicros, OPEN_END_MICROS, false, "");
        }

        private VersionSpan endingAt(long endMicros, boolean endedByEntry, String endReason) {
            return new VersionSpan(pooler, incarnation, version, index, fromMicros, endMicros, endedByEntry, endReason);
        }

        private boolean covers(long micros) {
            return fromMicros <= micros && micros < toMicros;
        }
    }

    /**
     * What the entries show about one pooler at a point in time.
     *
     * @param versions that it may have acted on
     * @param certain whether its entries cover the time
     * @param reason why it is not certain, or why there are no versions
     */
    public record Coverage(String pooler, List<String> versions, boolean certain, String reason) {}

    /** Entries by pooler and incarnation, sorted by number. */
    private final TreeMap<String, TreeMap<Long, List<AuditEntry>>> entriesByPooler = new TreeMap<>();

    /** @param entries of all poolers, in any order; duplicates are ignored */
    public AuditHistory(Collection<AuditEntry> entries) {
        for (AuditEntry entry : entries) {
            List<AuditEntry> incarnation = entriesByPooler
                    .computeIfAbsent(entry.pooler(), pooler -> new TreeMap<>())
                    .computeIfAbsent(entry.incarnation(), started -> new ArrayList<>());
            if (incarnation.stream().noneMatch(other -> other.number() == entry.number())) {
                incarnation.add(entry);
            }
        }
        incarnations().forEach(incarnation -> incarnation.sort(Comparator.comparingLong(AuditEntry::number)));
    }

    private Stream<List<AuditEntry>> incarnations() {
        return entriesByPooler.values().stream().flatMap(incarnations -> incarnations.values().stream());
    }

    private Stream<AuditEntry> entriesOf(String pooler) {
        return entriesByPooler.get(pooler).values().stream().flatMap(List::stream);
    }

    /** Names of all poolers with entries, sorted. */
    public List<String> poolers() {
        return List.copyOf(entriesByPooler.keySet());
    }

    /** Descriptions of the breaks in the entries' chains, one for each broken incarnation. */
    public List<String> chainBreaks() {
        List<String> breaks = new ArrayList<>();
        incarnations().forEach(incarnation -> {
            String chainBreak = AuditJournal.chainBreak(incarnation);
            if (chainBreak != null) {
                breaks.add(chainBreak);
            }
        });
        return breaks;
    }

    /** All periods in which a pooler may have acted on a version, by incarnation. */
    public List<VersionSpan> spansOf(String pooler) {
        List<VersionSpan> spans = new ArrayList<>();
        TreeMap<Long, List<AuditEntry>> incarnations = entriesByPooler.getOrDefault(pooler, new TreeMap<>());
        incarnations.forEach((started, entries) -> {
            Replay replay = new Replay(spans);
            entries.forEach(replay::apply);
            replay.finish(nextStart(incarnations, started));
        });
        return spans;
    }

    /** When the next incarnation started, or {@link #OPEN_END_MICROS}. */
    private static long nextStart(TreeMap<Long, List<AuditEntry>> incarnations, long started) {
        Map.Entry<Long, List<AuditEntry>> next = incarnations.higherEntry(started);
        return next == null ? OPEN_END_MICROS : next.getValue().get(0).atMicros();
    }

    private static long earliest(AuditEntry entry) {
        return entry.atMicros() - entry.errorMicros();
    }

    private static long latest(AuditEntry entry) {
        return entry.atMicros() + entry.errorMicros();
    }

    /** Replays the entries of one incarnation and collects the spans. */
    private static final class Replay {
        private final List<VersionSpan> spans;
        private final List<VersionSpan> openSpans = new ArrayList<>();
        private boolean fenced;

        Replay(List<VersionSpan> spans) {
            this.spans = spans;
        }

        void apply(AuditEntry entry) {
            switch (entry.event()) {
                case ADOPTED -> openSpans.add(VersionSpan.adopted(entry));
                case CEASED_OTHERS -> ceaseOthers(entry);
                case FENCED -> fence(entry, "fenced");
                case ENDED -> fence(entry, "ended");
                case RETURNED -> {
                    fenced = false;
                    openSpans.replaceAll(span -> span.startingAt(earliest(entry)));
                }
                default -> {
                    // The other events do not change which version is acted on.
                }
            }
        }

        private void ceaseOthers(AuditEntry entry) {
            VersionSpan current = null;
            for (VersionSpan span : openSpans) {
                if (span.version().equals(entry.version())) {
                    current = current == null ? span : current;
                } else if (!fenced) {
                    spans.add(span.endingAt(latest(entry), true, "took up " + entry.version()));
                }
            }
            openSpans.clear();
            if (current != null) {
                openSpans.add(current);
            }
        }

        private void fence(AuditEntry entry, String reason) {
            if (!fenced) {
                openSpans.forEach(span -> spans.add(span.endingAt(latest(entry), true, reason)));
            }
            fenced = true;
        }

        void finish(long nextStartMicros) {
            if (!fenced) {
                String reason = nextStartMicros == OPEN_END_MICROS
                        ? "no entry since"
                        : "its next process started; when this one ended is not known";
                openSpans.forEach(span -> spans.add(span.endingAt(nextStartMicros, false, reason)));
            }
        }
    }

    /** For each pooler, the versions that it may have acted on at a point in time. */
    public List<Coverage> coverageAt(long micros) {
        return entriesByPooler.keySet().stream()
                .map(pooler -> coverage(pooler, micros))
                .toList();
    }

    private Coverage coverage(String pooler, long micros) {
        List<VersionSpan> spans =
                spansOf(pooler).stream().filter(span -> span.covers(micros)).toList();
        AuditEntry last = lastEntry(pooler, micros);
        if (last == null) {
            return new Coverage(pooler, versions(spans), false, "no entry so early");
        }
        boolean certain = micros - last.atMicros() < COVERAGE_MICROS
                || entriesOf(pooler).anyMatch(entry -> entry.atMicros() > micros);
        String reason = "";
        if (spans.isEmpty()) {
            reason = "acted on none: " + last.event().text();
        } else if (!certain) {
            reason = "no entry since " + last.atMicros() + " us";
        }
        return new Coverage(pooler, versions(spans), certain, reason);
    }

    private static List<String> versions(List<VersionSpan> spans) {
        return spans.stream().map(VersionSpan::version).distinct().toList();
    }

    private AuditEntry lastEntry(String pooler, long micros) {
        return entriesOf(pooler)
                .filter(entry -> entry.atMicros() <= micros)
                .max(Comparator.comparingLong(AuditEntry::atMicros))
                .orElse(null);
    }

    /** Spans of all poolers under the versions whose name starts with a prefix. */
    public List<VersionSpan> spansUnder(String versionPrefix) {
        return entriesByPooler.keySet().stream()
                .flatMap(pooler -> spansOf(pooler).stream())
                .filter(span -> span.version().startsWith(versionPrefix))
                .toList();
    }
}
