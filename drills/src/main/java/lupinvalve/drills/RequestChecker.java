package lupinvalve.drills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what clients requested, how each request ended and what db nodes ran, and checks it: each request has one
 * final answer, no write ran twice, no request was answered as served that did not run, and no write as refused that
 * did. Does no I/O; times are in milliseconds of one clock. Safe for concurrent use.
 */
public final class RequestChecker {
    /** How a request ended, as its client saw it. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        /** The connection was closed by FIN after the request had been sent, without a complete answer. */
        ENDED,
        /** The connection was reset, by which a peer signals that it had not read the request. */
        RESET,
        /** No answer within the time limit, on a connection that stayed open. */
        SILENT,
        /** The client closed its connection without waiting for the answer. */
        LEFT,
        /**
         * The request was not on an accepted connection, or the connection's end had arrived before the request was
         * written.
         */
        NOT_TAKEN
    }

    private static final class Request {
        final String pooler;
        final boolean write;
        final long at;
        Ending ending;
        long endedAt;
        int runs;

        Request(String pooler, boolean write, long at) {
            this.pooler = pooler;
            this.write = write;
            this.at = at;
        }
    }

    private record Outage(long from, long to) {}

    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, List<Outage>> outages = new HashMap<>();
    private final List<String> findings = new ArrayList<>();
    private int stale;

    /** A client is about to send a request to a pooler. */
    public synchronized void sent(String id, String pooler, boolean write, long at) {
        requests.put(id, new Request(pooler, write, at));
    }

    /** A request ended for its client. */
    public synchronized void ended(String id, Ending ending, long at) {
        Request request = requests.get(id);
        if (request.ending != null) {
            findings.add(id + " ended twice for its client");
        }
        request.ending = ending;
        request.endedAt = at;
    }

    /** A db node ran the request's statement. */
    public synchronized void ran(String id, String node) {
        Request request = requests.get(id);
        if (request == null) {
            findings.add(node + " ran " + id + ", which no client sent");
            return;
        }
        request.runs++;
    }

    /** A session's read returned a position before that of the session's last write. */
    public synchronized void stale(String id, long wanted, long seen) {
        stale++;
        findings.add(id + " read position " + seen + ", before " + wanted + " of its session's last write");
    }

    /** A request was answered with a value that is not the one that its db node sent. */
    public synchronized void valueMismatch(String id, int length) {
        findings.add(id + " was served with a value of " + length + " bytes that is not the one that its db node sent");
    }

    /** The pooler's process was down or stopped between these times: requests it held meanwhile may stay unanswered. */
    public synchronized void poolerDown(String pooler, long from, long to) {
        outages.computeIfAbsent(pooler, p -> new ArrayList<>()).add(new Outage(from, to));
    }

    private boolean isDuringOutage(Request request) {
        return outages.getOrDefault(request.pooler, List.of()).stream()
                .anyMatch(outage -> outage.from() <= request.endedAt && request.at <= outage.to());
    }

    /**
     * Whether the pooler accepted the request without giving a complete answer. A connection closed by FIN implies that
     * all requests on it were answered, whether or not they were forwarded; after a reset only requests that a db node
     * ran are known to have been read.
     */
    private static boolean isUnanswered(Request request) {
        return request.ending == null
                || request.ending == Ending.SILENT
                || request.ending == Ending.ENDED
                || (request.ending == Ending.RESET || request.ending == Ending.NOT_TAKEN) && request.runs > 0;
    }

    /** Judges all that was recorded so far. */
    public synchronized Verdict verdict() {
        Map<Ending, Integer> endings = new HashMap<>();
        List<String> allFindings = new ArrayList<>(findings);
        int lost = 0;
        int doubled = 0;
        int unanswered = 0;
        int endedInOrder = 0;
        int refusedRan = 0;
        for (Map.Entry<String, Request> entry : requests.entrySet()) {
            Request request = entry.getValue();
            String id = entry.getKey();
            if (request.ending != null) {
                endings.merge(request.ending, 1, Integer::sum);
            }
            if (request.write && request.runs > 1) {
                doubled++;
                allFindings.add("write " + id + " at " + request.at + " by " + request.pooler + " ran " + request.runs
                        + " times");
            }
            if (request.ending == Ending.SERVED && request.runs == 0) {
                lost++;
                allFindings.add(id + " at " + request.at + " by " + request.pooler + " was served and ran nowhere");
            }
            if (request.ending == Ending.REFUSED && request.write && request.runs > 0) {
                refusedRan++;
                allFindings.add("write " + id + " at " + request.at + " by " + request.pooler + " was refused and ran");
            }
            if (isUnanswered(request) && !isDuringOutage(request)) {
                unanswered++;
                endedInOrder += request.ending == Ending.ENDED ? 1 : 0;
                allFindings.add(id + " at " + request.at + " by " + request.pooler + " had no answer: " + request.ending
                        + " at " + request.endedAt + ", ran " + request.runs + " times");
            }
        }
        return new Verdict(
                requests.size(), endings, lost, doubled, unanswered, endedInOrder, refusedRan, stale, allFindings);
    }

    /**
     * Counts of requests and of violations.
     *
     * @param endedInOrder how many of the unanswered were on a connection that was closed by FIN
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
        /** How many requests ended this way. */
        public int count(Ending ending) {
            return endings.getOrDefault(ending, 0);
        }

        /** Whether no violation was found. */
        public boolean good() {
            return lost + doubled + unanswered + refusedRan + stale == 0 && findings.isEmpty();
        }
    }
}
