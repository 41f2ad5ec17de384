package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What clients asked, what they were told, and what db nodes saw, with the verdict on it: each request one final
 * answer, no write run twice, nothing told as served that did not run, nothing told as refused that did. Without I/O;
 * times are in milliseconds of one clock.
 */
public final class Book {
    /** How a request ended for its client. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        /** The connection ended in order, after the request had been sent, without a whole answer. */
        ENDED,
        /** The connection was reset: whoever had not read the request says so by that. */
        RESET,
        /** No answer in time, on a connection that stayed open. */
        SILENT,
        /** The client has gone without waiting for one. */
        LEFT,
        /**
         * It never was on a connection that was accepted, or the connection's end was there before the request was out.
         */
        NOT_TAKEN
    }

    private static final class Asked {
        final String pooler;
        final boolean write;
        final long at;
        Ending ending;
        long endedAt;
        int runs;

        Asked(String pooler, boolean write, long at) {
            this.pooler = pooler;
            this.write = write;
            this.at = at;
        }
    }

    private record Down(long from, long to) {}

    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, List<Down>> downs = new HashMap<>();
    private final List<String> findings = new ArrayList<>();
    private int stale;

    public synchronized void asked(String id, String pooler, boolean write, long at) {
        asked.put(id, new Asked(pooler, write, at));
    }

    public synchronized void ended(String id, Ending ending, long at) {
        Asked one = asked.get(id);
        if (one.ending != null) {
            findings.add(id + " was ended twice");
        }
        one.ending = ending;
        one.endedAt = at;
    }

    /** A db node has run it. */
    public synchronized void ran(String id, String node) {
        Asked one = asked.get(id);
        if (one == null) {
            findings.add(node + " ran " + id + ", which nobody asked");
            return;
        }
        one.runs++;
    }

    /** A session read came back from before the session's last write. */
    public synchronized void stale(String id, long wanted, long seen) {
        stale++;
        findings.add(id + " saw " + seen + " after " + wanted);
    }

    /** What was told as served is not what a db node gave. */
    public synchronized void spoilt(String id, int length) {
        findings.add(id + " was served with a value of " + length + " bytes, not the one that its db node gave");
    }

    /** The pooler's process was gone or stood still from one time to another: it owes nothing for what it held then. */
    public synchronized void down(String pooler, long from, long to) {
        downs.computeIfAbsent(pooler, p -> new ArrayList<>()).add(new Down(from, to));
    }

    private boolean excused(Asked one) {
        return downs.getOrDefault(one.pooler, List.of()).stream()
                .anyMatch(d -> d.from() <= one.endedAt && one.at <= d.to());
    }

    /**
     * Whether it was taken and has no whole answer. A connection that ends in order says that all was answered, whether
     * or not the request was forwarded; under a reset only what a db node ran is known to have been read.
     */
    private static boolean isUnanswered(Asked one) {
        return one.ending == null
                || one.ending == Ending.SILENT
                || one.ending == Ending.ENDED
                || (one.ending == Ending.RESET || one.ending == Ending.NOT_TAKEN) && one.runs > 0;
    }

    /** The verdict on all so far. */
    public synchronized Verdict verdict() {
        Map<Ending, Integer> endings = new HashMap<>();
        List<String> all = new ArrayList<>(findings);
        int lost = 0;
        int doubled = 0;
        int unanswered = 0;
        int endedInOrder = 0;
        int refusedRan = 0;
        for (Map.Entry<String, Asked> entry : asked.entrySet()) {
            Asked one = entry.getValue();
            String id = entry.getKey();
            if (one.ending != null) {
                endings.merge(one.ending, 1, Integer::sum);
            }
            if (one.write && one.runs > 1) {
                doubled++;
                all.add("write " + id + " at " + one.at + " by " + one.pooler + " ran " + one.runs + " times");
            }
            if (one.ending == Ending.SERVED && one.runs == 0) {
                lost++;
                all.add(id + " at " + one.at + " by " + one.pooler + " was served and ran nowhere");
            }
            if (one.ending == Ending.REFUSED && one.write && one.runs > 0) {
                refusedRan++;
                all.add("write " + id + " at " + one.at + " by " + one.pooler + " was refused and ran");
            }
            if (isUnanswered(one) && !excused(one)) {
                unanswered++;
                endedInOrder += one.ending == Ending.ENDED ? 1 : 0;
                all.add(id + " at " + one.at + " by " + one.pooler + " had no answer: " + one.ending + " at "
                        + one.endedAt + ", ran " + one.runs + " times");
            }
        }
        return new Verdict(asked.size(), endings, lost, doubled, unanswered, endedInOrder, refusedRan, stale, all);
    }

    /**
     * What was found.
     *
     * @param endedInOrder those of the unanswered whose connection ended in order
     */
    public record Verdict(
            int requests,
            Map<Ending, Integer> endings,
            int lost,
            int doubled,
            int unanswered,
            int endedInOrder,
            int refusedRan,
            int stale,
            List<String> findings) {
        public int count(Ending ending) {
            return endings.getOrDefault(ending, 0);
        }

        public boolean good() {
            return lost + doubled + unanswered + refusedRan + stale == 0 && findings.isEmpty();
        }
    }
}
