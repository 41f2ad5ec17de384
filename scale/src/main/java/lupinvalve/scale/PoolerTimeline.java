package lupinvalve.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which revisions one pooler acted on and when it had the right to act, built from its events. Without I/O; times are
 * nanoseconds of the machine's monotonic clock.
 */
final class PoolerTimeline {
    /** An interval in which the pooler's state did not change; the end of the last one is Long.MAX_VALUE. */
    record Interval(long fromNanos, long toNanos, boolean running, boolean mayAct, long revision) {}

    /** A change at a time; null fields did not change. */
    private record Change(long atNanos, Boolean running, Boolean mayAct, Long revision) {}

    private final List<Change> changes = new ArrayList<>();
    private List<Interval> intervals;

    synchronized void started(long atNanos) {
        add(new Change(atNanos, true, false, 0L));
    }

    synchronized void stopped(long atNanos) {
        add(new Change(atNanos, false, false, 0L));
    }

    synchronized void mayAct(long atNanos, boolean now) {
        add(new Change(atNanos, null, now, null));
    }

    synchronized void adopted(long atNanos, long revision) {
        add(new Change(atNanos, null, null, revision));
    }

    private void add(Change change) {
        changes.add(change);
        intervals = null;
    }

    /** Returns all intervals in order, starting at the pooler's first event. */
    synchronized List<Interval> intervals() {
        if (intervals == null) {
            intervals = buildIntervals();
        }
        return intervals;
    }

    private List<Interval> buildIntervals() {
        List<Change> ordered = new ArrayList<>(changes);
        ordered.sort(Comparator.comparingLong(Change::atNanos));
        List<Interval> all = new ArrayList<>();
        boolean running = false;
        boolean mayAct = false;
        long revision = 0;
        for (int i = 0; i < ordered.size(); i++) {
            Change change = ordered.get(i);
            running = change.running() == null ? running : change.running();
            mayAct = change.mayAct() == null ? mayAct : change.mayAct();
            revision = change.revision() == null ? revision : change.revision();
            long toNanos = i + 1 < ordered.size() ? ordered.get(i + 1).atNanos() : Long.MAX_VALUE;
            if (toNanos > change.atNanos()) {
                all.add(new Interval(change.atNanos(), toNanos, running, mayAct, revision));
            }
        }
        return all;
    }

    /**
     * Whether the pooler, by its events so far, runs, has the right to act, and acts on this revision or a later one.
     */
    synchronized boolean ready(long revision) {
        List<Interval> all = intervals();
        Interval last = all.isEmpty() ? null : all.get(all.size() - 1);
        return last != null && last.running() && last.mayAct() && last.revision() >= revision;
    }

    /**
     * Returns when the pooler was first ready on this revision or a later one, at or after a time; -1 if it was not.
     */
    synchronized long readyAt(long revision, long sinceNanos) {
        for (Interval interval : intervals()) {
            if (interval.running()
                    && interval.mayAct()
                    && interval.revision() >= revision
                    && interval.toNanos() > sinceNanos) {
                return Math.max(sinceNanos, interval.fromNanos());
            }
        }
        return -1;
    }
}
