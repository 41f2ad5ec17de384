package lupinvalve.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What one pooler acted on and when it might, from what it told. Without I/O; times are nanoseconds of the machine's
 * monotonic clock.
 */
final class PoolerCourse {
    /** One stretch of time in which nothing of it changed; the last one has no end, which is Long.MAX_VALUE. */
    record Stretch(long from, long to, boolean alive, boolean may, long revision) {}

    /** What changed at a time. */
    private record Mark(long at, Boolean alive, Boolean may, Long revision) {}

    private final List<Mark> marks = new ArrayList<>();
    private List<Stretch> stretches;

    synchronized void started(long at) {
        add(new Mark(at, true, false, 0L));
    }

    synchronized void stopped(long at) {
        add(new Mark(at, false, false, 0L));
    }

    synchronized void mayAct(long at, boolean now) {
        add(new Mark(at, null, now, null));
    }

    synchronized void adopted(long at, long revision) {
        add(new Mark(at, null, null, revision));
    }

    private void add(Mark mark) {
        marks.add(mark);
        stretches = null;
    }

    /** All stretches in their order, the first from the first thing that it told. */
    synchronized List<Stretch> stretches() {
        if (stretches == null) {
            stretches = built();
        }
        return stretches;
    }

    private List<Stretch> built() {
        List<Mark> ordered = new ArrayList<>(marks);
        ordered.sort(Comparator.comparingLong(Mark::at));
        List<Stretch> all = new ArrayList<>();
        boolean alive = false;
        boolean may = false;
        long revision = 0;
        for (int i = 0; i < ordered.size(); i++) {
            Mark mark = ordered.get(i);
            alive = mark.alive() == null ? alive : mark.alive();
            may = mark.may() == null ? may : mark.may();
            revision = mark.revision() == null ? revision : mark.revision();
            long to = i + 1 < ordered.size() ? ordered.get(i + 1).at() : Long.MAX_VALUE;
            if (to > mark.at()) {
                all.add(new Stretch(mark.at(), to, alive, may, revision));
            }
        }
        return all;
    }

    /** Whether it runs and acts on this revision or a later one, with the right to, by what it told so far. */
    synchronized boolean ready(long revision) {
        List<Stretch> all = stretches();
        Stretch last = all.isEmpty() ? null : all.get(all.size() - 1);
        return last != null && last.alive() && last.may() && last.revision() >= revision;
    }

    /** When it was first ready on this revision or a later one at or after a time, or -1. */
    synchronized long readyAt(long revision, long since) {
        for (Stretch one : stretches()) {
            if (one.alive() && one.may() && one.revision() >= revision && one.to() > since) {
                return Math.max(since, one.from());
            }
        }
        return -1;
    }
}
