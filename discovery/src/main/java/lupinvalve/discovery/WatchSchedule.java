package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * When watches are opened, doubted and given up. A change binds 6 s after discovery had it and could be reached, and 6
 * s after the watch that misses it fell silent: one that may be dead gets a successor beside it. What discovery has
 * written to a call counts as told, read or not, so none is dropped while it may be answered, nor as soon as another
 * has spoken: that would also give up its place among the callers that discovery works through. No I/O, no clock.
 */
final class WatchSchedule {
    /** From one word of a watch to the next, a beat where nothing has changed, and what the way may add to it. */
    static final long BEAT = 2_000_000, BEAT_LATE = 200_000;
    /** A watch that has spoken is doubted after so much silence. */
    private static final long DOUBTED = BEAT + 250_000;
    /**
     * One that has not is doubted after this, and given up after that: an overloaded discovery may answer until then.
     */
    private static final long UNANSWERED = 1_200_000, GIVEN_UP = 5_000_000;
    /** An answer that has begun may say nothing until its first beat. */
    private static final long FIRST_WORD = 2_600_000;

    private static final long SILENCE = 4_200_000;
    /**
     * What is needed no more is read for so long, since discovery may have written to it what the other has yet to
     * hear.
     */
    private static final long LEAVING = 3_000_000;
    /** Open at once at most. */
    private static final int MOST = 4;

    /** What is to be done; each is told in the call that leads to it. */
    interface Calls {
        void open(long number);

        void drop(long number);

        /** The newest has failed, and none is opened until {@link WatchSchedule#subscribe} is called. */
        void unavailable();
    }

    private static final class Watch {
        private final long number, address;
        private long doubtAt, endAt;
        /** Whether it has said anything, and whether another does its work. */
        private boolean spoken, leaving;

        Watch(long number, long address, long now) {
            this.number = number;
            this.address = address;
            doubtAt = now + UNANSWERED;
            endAt = now + GIVEN_UP;
        }
    }

    private final Calls calls;
    private final TreeMap<Long, Watch> open = new TreeMap<>();
    /** The one relied on: the newest, until one opened before it is answered after all. */
    private Watch newest;

    private boolean active;
    private long count, addresses;

    WatchSchedule(Calls calls) {
        this.calls = calls;
    }

    /** A watch that is up, or on its way up, has its own deadlines: asking again does not replace it. */
    void subscribe(boolean wanted, long now) {
        active = wanted;
        if (!wanted) {
            List.copyOf(open.keySet()).forEach(this::drop);
            newest = null;
        } else if (newest == null) {
            openNext(now);
        }
    }

    /** Discovery has another address: the watches at the former one stay until one at the new has spoken. */
    void moved(long now) {
        addresses++;
        if (active) {
            openNext(now);
        }
    }

    private void openNext(long now) {
        if (open.size() >= MOST) {
            // The one that would end first is the least likely to say anything more.
            Watch worst = null;
            for (Watch watch : open.values()) {
                worst = worst == null || watch.endAt < worst.endAt ? watch : worst;
            }
            drop(worst.number);
        }
        newest = new Watch(++count, addresses, now);
        open.put(newest.number, newest);
        calls.open(newest.number);
    }

    private void drop(long number) {
        open.remove(number);
        calls.drop(number);
    }

    /** Its answer has begun. */
    void headed(long number, long now) {
        Watch watch = open.get(number);
        if (watch != null && !watch.leaving) {
            watch.endAt = Math.max(watch.endAt, now + FIRST_WORD);
        }
    }

    /** It has said something whole: a beat, or an object. Half of one may never be finished. */
    void spoke(long number, long now) {
        Watch watch = open.get(number);
        if (watch == null || watch.leaving) {
            return;
        }
        watch.doubtAt = now + DOUBTED;
        watch.endAt = now + SILENCE;
        boolean first = !watch.spoken;
        watch.spoken = true;
        for (Watch other : open.values()) {
            boolean before = other.number < number;
            // Opened beside this one as it was slow to answer: it is needed no more.
            boolean spare = first && other.number > number && !other.spoken && other.address == watch.address;
            if (!other.leaving && (before || spare)) {
                other.leaving = true;
                other.endAt = now + LEAVING;
                newest = other == newest ? watch : newest;
            }
        }
    }

    /** It has ended, or can't be understood. */
    void failed(long number) {
        Watch watch = open.get(number);
        if (watch == null) {
            return;
        }
        drop(number);
        if (watch == newest) {
            newest = null;
            calls.unavailable();
        }
    }

    /** Whether only this one is open, so that nothing has been told on another. */
    boolean alone(long number) {
        return open.size() == 1 && open.containsKey(number);
    }

    int openCount() {
        return open.size();
    }

    /** When {@link #due} is to be called, or {@link Long#MAX_VALUE}. */
    long nextAt() {
        long next = newest == null ? Long.MAX_VALUE : newest.doubtAt;
        for (Watch watch : open.values()) {
            next = Math.min(next, watch.endAt);
        }
        return next;
    }

    void due(long now) {
        for (Map.Entry<Long, Watch> entry : new ArrayList<>(open.entrySet())) {
            if (now >= entry.getValue().endAt) {
                failed(entry.getKey());
            }
        }
        if (newest != null && now >= newest.doubtAt) {
            newest.doubtAt = Long.MAX_VALUE;
            openNext(now);
        }
    }
}
