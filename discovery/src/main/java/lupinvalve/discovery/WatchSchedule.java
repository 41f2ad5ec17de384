package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when watches of the endpoint list are opened, suspected and closed. A change binds 6 s after discovery had it
 * and could be reached, and 6 s after the watch that misses it fell silent, so a suspected watch gets a successor
 * beside it. What discovery has written to a call counts as notified, read or not: a watch is therefore not dropped
 * while it may still be answered, nor as soon as another has sent a message, which would also give up its place among
 * the callers that discovery works through. No I/O, no clock: callers pass the time. Not thread-safe.
 */
final class WatchSchedule {
    /** The interval of a watch's messages: a heartbeat where nothing has changed. */
    static final long HEARTBEAT_MICROS = 2_000_000;

    /** What the network may add to the interval. */
    static final long HEARTBEAT_DELAY_MICROS = 200_000;

    /** A watch that has sent a message is suspected after so much silence. */
    private static final long SUSPECT_AFTER_SILENCE_MICROS = HEARTBEAT_MICROS + 250_000;

    /** A watch that has sent none is suspected so long after it was opened. */
    private static final long SUSPECT_UNANSWERED_MICROS = 1_200_000;

    /** A watch that has sent none is closed after this: an overloaded discovery may answer until then. */
    private static final long ANSWER_TIMEOUT_MICROS = 5_000_000;

    /** An answer that has begun may be silent until its first heartbeat. */
    private static final long FIRST_MESSAGE_TIMEOUT_MICROS = 2_600_000;

    /** A watch that has sent a message is closed after so much silence. */
    private static final long SILENCE_TIMEOUT_MICROS = 4_200_000;

    /**
     * A superseded watch is read for so long: discovery may have written to it what its successor is yet to receive.
     */
    private static final long SUPERSEDED_READ_MICROS = 3_000_000;

    private static final int MAX_OPEN_WATCHES = 4;

    /** Carries out the decisions, within the call that led to them. */
    interface Calls {
        /** Opens a watch at the current address. */
        void open(long number);

        /** Closes a watch. */
        void drop(long number);

        /** The newest has failed, and none is opened until {@link WatchSchedule#subscribe} is called. */
        void unavailable();
    }

    private static final class Watch {
        private final long number;
        private final long address;
        private long suspectAtMicros;
        private long endAtMicros;
        private boolean hasSentMessage;

        /** Another watch has taken over; this one is only read until its end. */
        private boolean superseded;

        Watch(long number, long address, long nowMicros) {
            this.number = number;
            this.address = address;
            suspectAtMicros = nowMicros + SUSPECT_UNANSWERED_MICROS;
            endAtMicros = nowMicros + ANSWER_TIMEOUT_MICROS;
        }
    }

    private final Calls calls;
    private final TreeMap<Long, Watch> open = new TreeMap<>();

    /** The watch relied on: the newest, until one opened before it is answered after all. */
    private Watch newest;

    private boolean active;
    private long openedCount;
    private long addressCount;

    WatchSchedule(Calls calls) {
        this.calls = calls;
    }

    /** Starts or ends watching. A watch that is open or connecting has its own deadlines and is not replaced. */
    void subscribe(boolean wanted, long nowMicros) {
        active = wanted;
        if (!wanted) {
            List.copyOf(open.keySet()).forEach(this::drop);
            newest = null;
        } else if (newest == null) {
            openNext(nowMicros);
        }
    }

    /**
     * Discovery has another address: watches of the former one stay until one of the new address has sent a message.
     */
    void onAddressChange(long nowMicros) {
        addressCount++;
        if (active) {
            openNext(nowMicros);
        }
    }

    private void openNext(long nowMicros) {
        if (open.size() >= MAX_OPEN_WATCHES) {
            // The one that would end first is the least likely to send anything more.
            Watch earliest = null;
            for (Watch watch : open.values()) {
                earliest = earliest == null || watch.endAtMicros < earliest.endAtMicros ? watch : earliest;
            }
            drop(earliest.number);
        }
        newest = new Watch(++openedCount, addressCount, nowMicros);
        open.put(newest.number, newest);
        calls.open(newest.number);
    }

    private void drop(long number) {
        open.remove(number);
        calls.drop(number);
    }

    /** The head of a watch's answer has arrived. */
    void onAnswerHead(long number, long nowMicros) {
        Watch watch = open.get(number);
        if (watch != null && !watch.superseded) {
            watch.endAtMicros = Math.max(watch.endAtMicros, nowMicros + FIRST_MESSAGE_TIMEOUT_MICROS);
        }
    }

    /** A watch has sent a complete heartbeat or object; half of one may never be completed. */
    void onMessage(long number, long nowMicros) {
        Watch watch = open.get(number);
        if (watch == null || watch.superseded) {
            return;
        }
        watch.suspectAtMicros = nowMicros + SUSPECT_AFTER_SILENCE_MICROS;
        watch.endAtMicros = nowMicros + SILENCE_TIMEOUT_MICROS;
        boolean first = !watch.hasSentMessage;
        watch.hasSentMessage = true;
        for (Watch other : open.values()) {
            boolean older = other.number < number;
            // Opened beside this one as it was slow to answer.
            boolean redundant =
                    first && other.number > number && !other.hasSentMessage && other.address == watch.address;
            if (!other.superseded && (older || redundant)) {
                other.superseded = true;
                other.endAtMicros = nowMicros + SUPERSEDED_READ_MICROS;
                newest = other == newest ? watch : newest;
            }
        }
    }

    /** A watch has ended, or its answer is malformed. */
    void onFailure(long number) {
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

    /** Whether only this watch is open, so that no other can have been notified of a change. */
    boolean isOnlyOpen(long number) {
        return open.size() == 1 && open.containsKey(number);
    }

    int openCount() {
        return open.size();
    }

    /** When {@link #onDeadline} is to be called, or {@link Long#MAX_VALUE}. */
    long nextDeadlineMicros() {
        long next = newest == null ? Long.MAX_VALUE : newest.suspectAtMicros;
        for (Watch watch : open.values()) {
            next = Math.min(next, watch.endAtMicros);
        }
        return next;
    }

    /** Closes watches whose time is over and opens a successor of a suspected one. */
    void onDeadline(long nowMicros) {
        for (Map.Entry<Long, Watch> entry : new ArrayList<>(open.entrySet())) {
            if (nowMicros >= entry.getValue().endAtMicros) {
                onFailure(entry.getKey());
            }
        }
        if (newest != null && nowMicros >= newest.suspectAtMicros) {
            newest.suspectAtMicros = Long.MAX_VALUE;
            openNext(nowMicros);
        }
    }
}
