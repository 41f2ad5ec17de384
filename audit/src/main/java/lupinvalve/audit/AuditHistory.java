package lupinvalve.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which pooler acted on which version when, as far as its own entries tell. What is not known is said as not known,
 * with the reason. Without I/O.
 */
public final class AuditHistory {
    /** For how long after its last entry a pooler is taken to go on as it said: a change would have brought another. */
    private static final long COVERAGE_MICROS = 5_000_000;

    /**
     * From when to when a pooler may have acted on a version: widened by what its clock may be off.
     *
     * @param to Long.MAX_VALUE where nothing says that it ceased
     * @param ended whether an entry tells the end; else {@code to} is only where knowledge ends
     */
    public record VersionSpan(
            String pooler,
            long incarnation,
            String version,
            long index,
            long fromMicros,
            long toMicros,
            boolean ended,
            String reason) {}

    private final TreeMap<String, TreeMap<Long, List<AuditEntry>>> incarnationsByPooler = new TreeMap<>();

    /** @param entries of all poolers, in any order; doubles count once */
    public AuditHistory(Collection<AuditEntry> entries) {
        for (AuditEntry entry : entries) {
            List<AuditEntry> life = incarnationsByPooler
                    .computeIfAbsent(entry.pooler(), p -> new TreeMap<>())
                    .computeIfAbsent(entry.incarnation(), l -> new ArrayList<>());
            if (life.stream().noneMatch(e -> e.number() == entry.number())) {
                life.add(entry);
            }
        }
        incarnationsByPooler.values().forEach(of -> of.values()
                .forEach(life -> life.sort(Comparator.comparingLong(AuditEntry::number))));
    }

    public List<String> poolers() {
        return List.copyOf(incarnationsByPooler.keySet());
    }

    /** Breaks of chains, each in words. */
    public List<String> chainBreaks() {
        List<String> all = new ArrayList<>();
        incarnationsByPooler.values().forEach(of -> of.values().forEach(life -> {
            String broken = AuditJournal.chainBreak(life);
            if (broken != null) {
                all.add(broken);
            }
        }));
        return all;
    }

    /** All that a pooler may have acted on, in order. */
    public List<VersionSpan> spansOf(String pooler) {
        List<VersionSpan> all = new ArrayList<>();
        TreeMap<Long, List<AuditEntry>> own = incarnationsByPooler.getOrDefault(pooler, new TreeMap<>());
        own.forEach((life, entries) -> life(entries, nextStart(own, life), all));
        return all;
    }

    private static long nextStart(TreeMap<Long, List<AuditEntry>> own, long life) {
        Map.Entry<Long, List<AuditEntry>> next = own.higherEntry(life);
        return next == null ? Long.MAX_VALUE : next.getValue().get(0).atMicros();
    }

    private static void life(List<AuditEntry> entries, long successor, List<VersionSpan> all) {
        List<VersionSpan> open = new ArrayList<>();
        boolean fenced = false;
        for (AuditEntry e : entries) {
            long at = e.atMicros();
            switch (e.event()) {
                case ADOPTED -> open.add(new VersionSpan(
                        e.pooler(),
                        e.incarnation(),
                        e.version(),
                        e.index(),
                        at - e.errorMicros(),
                        Long.MAX_VALUE,
                        false,
                        ""));
                case CEASED_OTHERS -> {
                    List<VersionSpan> stays = open.stream()
                            .filter(a -> a.version().equals(e.version()))
                            .toList();
                    if (!fenced) {
                        open.stream()
                                .filter(a -> !a.version().equals(e.version()))
                                .forEach(a -> all.add(ended(a, at + e.errorMicros(), "took up " + e.version())));
                    }
                    open.clear();
                    open.addAll(stays.isEmpty() ? List.of() : stays.subList(0, 1));
                }
                case FENCED, ENDED -> {
                    if (!fenced) {
                        open.forEach(a -> all.add(ended(
                                a, at + e.errorMicros(), e.event() == AuditEntry.Event.ENDED ? "ended" : "fenced")));
                    }
                    fenced = true;
                }
                case RETURNED -> {
                    fenced = false;
                    open.replaceAll(a -> new VersionSpan(
                            a.pooler(),
                            a.incarnation(),
                            a.version(),
                            a.index(),
                            at - e.errorMicros(),
                            Long.MAX_VALUE,
                            false,
                            ""));
                }
                default -> {
                    // What it acts on stays.
                }
            }
        }
        if (!fenced) {
            open.forEach(a -> all.add(new VersionSpan(
                    a.pooler(),
                    a.incarnation(),
                    a.version(),
                    a.index(),
                    a.fromMicros(),
                    successor == Long.MAX_VALUE ? a.toMicros() : successor,
                    false,
                    successor == Long.MAX_VALUE
                            ? "no entry since"
                            : "its next process started; when this one ended is not known")));
        }
    }

    private static VersionSpan ended(VersionSpan a, long to, String why) {
        return new VersionSpan(a.pooler(), a.incarnation(), a.version(), a.index(), a.fromMicros(), to, true, why);
    }

    /** What is known of one pooler at a time: on what it may have acted, and how sure that is. */
    public record Coverage(String pooler, List<String> versions, boolean certain, String reason) {}

    /** For each pooler, on what it may have acted at a time. */
    public List<Coverage> coverageAt(long micros) {
        List<Coverage> all = new ArrayList<>();
        for (String pooler : incarnationsByPooler.keySet()) {
            List<VersionSpan> then = spansOf(pooler).stream()
                    .filter(a -> a.fromMicros() <= micros && micros < a.toMicros())
                    .toList();
            AuditEntry last = last(pooler, micros);
            boolean later = incarnationsByPooler.get(pooler).values().stream()
                    .flatMap(List::stream)
                    .anyMatch(e -> e.atMicros() > micros);
            boolean sure = last != null
                    && (later || micros - last.atMicros() < COVERAGE_MICROS)
                    && then.stream().allMatch(a -> a.ended() || later || micros - last.atMicros() < COVERAGE_MICROS);
            String why = last == null
                    ? "no entry so early"
                    : then.isEmpty()
                            ? "acted on none: " + last.event().name().toLowerCase(java.util.Locale.ROOT)
                            : sure ? "" : "no entry since " + last.atMicros() + " us";
            all.add(new Coverage(
                    pooler, then.stream().map(VersionSpan::version).distinct().toList(), sure, why));
        }
        return all;
    }

    private AuditEntry last(String pooler, long micros) {
        return incarnationsByPooler.get(pooler).values().stream()
                .flatMap(List::stream)
                .filter(e -> e.atMicros() <= micros)
                .max(Comparator.comparingLong(AuditEntry::atMicros))
                .orElse(null);
    }

    /** All that acted on a version. */
    public List<VersionSpan> spansUnder(String version) {
        return incarnationsByPooler.keySet().stream()
                .flatMap(p -> spansOf(p).stream())
                .filter(a -> a.version().startsWith(version))
                .toList();
    }
}
