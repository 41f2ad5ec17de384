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
public final class Course {
    /** For how long after its last entry a pooler is taken to go on as it said: a change would have brought another. */
    private static final long QUIET = 5_000_000;

    /**
     * From when to when a pooler may have acted on a version: widened by what its clock may be off.
     *
     * @param to Long.MAX_VALUE where nothing says that it ceased
     * @param ended whether an entry tells the end; else {@code to} is only where knowledge ends
     */
    public record Acted(
            String pooler, long life, String version, long index, long from, long to, boolean ended, String why) {}

    private final TreeMap<String, TreeMap<Long, List<Entry>>> lives = new TreeMap<>();

    /** @param entries of all poolers, in any order; doubles count once */
    public Course(Collection<Entry> entries) {
        for (Entry entry : entries) {
            List<Entry> life = lives.computeIfAbsent(entry.pooler(), p -> new TreeMap<>())
                    .computeIfAbsent(entry.life(), l -> new ArrayList<>());
            if (life.stream().noneMatch(e -> e.number() == entry.number())) {
                life.add(entry);
            }
        }
        lives.values().forEach(of -> of.values().forEach(life -> life.sort(Comparator.comparingLong(Entry::number))));
    }

    public List<String> poolers() {
        return List.copyOf(lives.keySet());
    }

    /** Breaks of chains, each in words. */
    public List<String> breaks() {
        List<String> all = new ArrayList<>();
        lives.values().forEach(of -> of.values().forEach(life -> {
            String broken = Journal.broken(life);
            if (broken != null) {
                all.add(broken);
            }
        }));
        return all;
    }

    /** All that a pooler may have acted on, in order. */
    public List<Acted> of(String pooler) {
        List<Acted> all = new ArrayList<>();
        TreeMap<Long, List<Entry>> own = lives.getOrDefault(pooler, new TreeMap<>());
        own.forEach((life, entries) -> life(entries, nextStart(own, life), all));
        return all;
    }

    private static long nextStart(TreeMap<Long, List<Entry>> own, long life) {
        Map.Entry<Long, List<Entry>> next = own.higherEntry(life);
        return next == null ? Long.MAX_VALUE : next.getValue().get(0).atMicros();
    }

    private static void life(List<Entry> entries, long successor, List<Acted> all) {
        List<Acted> open = new ArrayList<>();
        boolean fenced = false;
        for (Entry e : entries) {
            long at = e.atMicros();
            switch (e.what()) {
                case ADOPTED -> open.add(new Acted(
                        e.pooler(), e.life(), e.version(), e.index(), at - e.errorMicros(), Long.MAX_VALUE, false, ""));
                case CEASED_OTHERS -> {
                    List<Acted> stays = open.stream()
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
                        open.forEach(a -> all.add(
                                ended(a, at + e.errorMicros(), e.what() == Entry.What.ENDED ? "ended" : "fenced")));
                    }
                    fenced = true;
                }
                case RETURNED -> {
                    fenced = false;
                    open.replaceAll(a -> new Acted(
                            a.pooler(),
                            a.life(),
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
            open.forEach(a -> all.add(new Acted(
                    a.pooler(),
                    a.life(),
                    a.version(),
                    a.index(),
                    a.from(),
                    successor == Long.MAX_VALUE ? a.to() : successor,
                    false,
                    successor == Long.MAX_VALUE
                            ? "no entry since"
                            : "its next process started; when this one ended is not known")));
        }
    }

    private static Acted ended(Acted a, long to, String why) {
        return new Acted(a.pooler(), a.life(), a.version(), a.index(), a.from(), to, true, why);
    }

    /** What is known of one pooler at a time: on what it may have acted, and how sure that is. */
    public record Known(String pooler, List<String> versions, boolean sure, String why) {}

    /** For each pooler, on what it may have acted at a time. */
    public List<Known> at(long micros) {
        List<Known> all = new ArrayList<>();
        for (String pooler : lives.keySet()) {
            List<Acted> then = of(pooler).stream()
                    .filter(a -> a.from() <= micros && micros < a.to())
                    .toList();
            Entry last = last(pooler, micros);
            boolean later =
                    lives.get(pooler).values().stream().flatMap(List::stream).anyMatch(e -> e.atMicros() > micros);
            boolean sure = last != null
                    && (later || micros - last.atMicros() < QUIET)
                    && then.stream().allMatch(a -> a.ended() || later || micros - last.atMicros() < QUIET);
            String why = last == null
                    ? "no entry so early"
                    : then.isEmpty()
                            ? "acted on none: " + last.what().name().toLowerCase(java.util.Locale.ROOT)
                            : sure ? "" : "no entry since " + last.atMicros() + " us";
            all.add(new Known(
                    pooler, then.stream().map(Acted::version).distinct().toList(), sure, why));
        }
        return all;
    }

    private Entry last(String pooler, long micros) {
        return lives.get(pooler).values().stream()
                .flatMap(List::stream)
                .filter(e -> e.atMicros() <= micros)
                .max(Comparator.comparingLong(Entry::atMicros))
                .orElse(null);
    }

    /** All that acted on a version. */
    public List<Acted> version(String version) {
        return lives.keySet().stream()
                .flatMap(p -> of(p).stream())
                .filter(a -> a.version().startsWith(version))
                .toList();
    }
}
