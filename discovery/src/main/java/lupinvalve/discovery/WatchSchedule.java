package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when watches of the endpoint list are opened, suspected and closed.
 *
 * <p>A pooler has to apply a change within 6 s after discovery has it and can be reached, and within 6 s after the last
 * message of a watch that missed it. A suspected watch therefore gets a successor while it stays open itself.
 *
 * <p>Discovery counts a change as notified once it has written it to a connection, whether or not it has been read. A
 * watch is therefore not closed while it may still be answered, nor as soon as another has sent a message. Closing it
 * would also give up its place in the queue of callers that discovery serves.
 *
 * <p>No I/O and no clock: callers pass the time in microseconds. Not thread-safe.
 */
final class WatchSchedule {
    /** The longest interval between messages of a watch: discovery sends a heartbeat if nothing has changed. */
    static final long HEARTBEAT_MICROS = 2_000_000;

    /** The delay that the network may add to the heartbeat interval. */
    static final long HEARTBEAT_DELAY_MICROS = 200_000;

    /** A watch that has sent a message is suspected this long after its last one. */
    private static final long SUSPECT_AFTER_SILENCE_MICROS = HEARTBEAT_MICROS + 250_000;

    /** A watch that has sent no message is suspected this long after it was opened. */
    private static final long SUSPECT_UNANSWERED_MICROS = 1_200_000;

    /** A watch that has sent no message is closed after this time: an overloaded discovery may answer until then. */
    private static final long ANSWER_TIMEOUT_MICROS = 5_000_000;

    /** A watch is kept open this long after the head of its answer, in which its first heartbeat is due. */
    private static final long FIRST_MESSAGE_TIMEOUT_MICROS = 2_600_000;

    /** A watch that has sent a message is closed this long after its last one. */
    private static final long SILENCE_TIMEOUT_MICROS = 4_200_000;

    /** A superseded watch is read this long: discovery may have written changes to it that its successor lacks. */
    private static final long SUPERSEDED_READ_MICROS = 3_000_000;

    private static final int MAX_OPEN_WATCHES = 4;

    /** Carries out the decisions, synchronously within the call that led to them. */
    interface Calls {
        /** Opens a watch at the current address. */
        void open(long number);

        /** Closes a watch. */
        void drop(long number);

        /** Reports that the newest watch has failed; none is opened until {@link WatchSchedule#subscribe} is called. */
        void unavailable();
    }

    private static final class Watch {
        private final long number;
        private final long address;
        private long suspectAtMicros;
        private long endAtMicros;
        private boolean hasSentMessage;

        /** Whether another watch has replaced this one, which is only read until {@link #endAtMicros}. */
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

    /** The watch whose failure is reported: the newest, unless an older one was answered first; null if none. */
    private Watch newest;

    private boolean active;
    private long openedCount;
    private long addressCount;

    WatchSchedule(Calls calls) {
        this.calls = calls;
    }

    /** Starts or ends watching. A watch that is open or connecting is not replaced: its own deadlines apply. */
    void subscribe(boolean enable, long nowMicros) {
        active = enable;
        if (!enable) {
            List.copyOf(open.keySet()).forEach(this::drop);
            newest = null;
        } else if (newest == null) {
            openNext(nowMicros);
        }
    }

    /** Opens a watch at discovery's new address; those at the old one stay until the new one has sent a message. */
    void onAddressChange(long nowMicros) {
        addressCount++;
        if (active) {
            openNext(nowMicros);
        }
    }

    private void openNext(long nowMicros) {
        if (open.size() >= MAX_OPEN_WATCHES) {
            // The watch with the earliest end is the least likely to send another message.
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

    /** Records that the head of a watch's answer has arrived. */
    void onAnswerHead(long number, long nowMicros) {
        Watch watch = open.get(number);
        if (watch != null && !watch.superseded) {
            watch.endAtMicros = Math.max(watch.endAtMicros, nowMicros + FIRST_MESSAGE_TIMEOUT_MICROS);
        }
    }

    /** Records a complete heartbeat or object of a watch. A partial one does not count: its rest may never come. */
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
            boolean isOlder = other.number < number;
            // Opened as a successor because this watch was slow to answer.
            boolean isRedundant =
                    first && other.number > number && !other.hasSentMessage && other.address == watch.address;
            if (!other.superseded && (isOlder || isRedundant)) {
                other.superseded = true;
                other.endAtMicros = nowMicros + SUPERSEDED_READ_MICROS;
                newest = other == newest ? watch : newest;
            }
        }
    }

    /** Closes a watch whose connection has ended, whose answer is malformed or whose time is over. */
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

    /** Whether no other watch is open that discovery could have notified of a change before. */
    boolean isOnlyOpen(long number) {
        return open.size() == 1 && open.containsKey(number);
    }

    int openCount() {
        return open.size();
    }

    /** The time at which {@link #onDeadline} has to be called; {@link Long#MAX_VALUE} if there is none. */
    long nextDeadlineMicros() {
        long next = newest == null ? Long.MAX_VALUE : newest.suspectAtMicros;
        for (Watch watch : open.values()) {
            next = Math.min(next, watch.endAtMicros);
        }
        return next;
    }

    /** Closes the watches whose end has passed and opens a successor of the newest one if it is suspected. */
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
