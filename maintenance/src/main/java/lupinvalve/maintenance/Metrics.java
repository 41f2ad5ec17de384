package lupinvalve.maintenance;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counters and gauges of the pooler. Written by the core thread only, read by any thread. Counters start at 0 in each
 * process.
 */
public final class Metrics {
    /** How a request ended for its client. */
    public enum Result {
        /** With a db node's complete answer. */
        SERVED("served"),
        /** With an answer that states that a retry is safe. */
        REJECTED("refused"),
        /** With an answer that leaves open whether the request took effect. */
        FAILED("failed");

        private final String exportedName;

        Result(String exportedName) {
            this.exportedName = exportedName;
        }
    }

    private static final int RESULTS_COUNT = Result.values().length;
    private static final int TYPICAL_LINE_CHARS = 64;

    private final List<String> classes;
    private final AtomicLongArray requests;
    private final AtomicLong attempts = new AtomicLong();
    private final AtomicLong inFlight = new AtomicLong();
    private final AtomicLong listedServers = new AtomicLong();
    private final AtomicLong avoidedServers = new AtomicLong();

    /** @param classes names of the request classes, in the order of their indices */
    public Metrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        requests = new AtomicLongArray(classes.size() * RESULTS_COUNT);
    }

    /** Counts the end of a request; core thread only. */
    public void requestEnded(int classIndex, Result result) {
        int index = classIndex * RESULTS_COUNT + result.ordinal();
        requests.lazySet(index, requests.get(index) + 1);
    }

    /** Counts an attempt whose request is being handed to a socket; core thread only. */
    public void attemptSent() {
        attempts.lazySet(attempts.get() + 1);
    }

    /** Sets the number of open requests; core thread only. */
    public void setInFlight(int count) {
        inFlight.lazySet(count);
    }

    /** Sets the number of listed db nodes, and of those among them that get no requests now; core thread only. */
    public void setServers(int listed, int avoided) {
        listedServers.lazySet(listed);
        avoidedServers.lazySet(avoided);
    }

    /** Number of requests of a class that have ended with a result; any thread. */
    public long requests(int classIndex, Result result) {
        return requests.get(classIndex * RESULTS_COUNT + result.ordinal());
    }

    /** All metrics, one a line, under the names that operators' tools read; any thread. */
    public String format() {
        StringBuilder out = new StringBuilder(TYPICAL_LINE_CHARS * classes.size() * RESULTS_COUNT);
        for (int i = 0; i < classes.size(); i++) {
            for (Result result : Result.values()) {
                out.append("edge_node.requests.")
                        .append(classes.get(i))
                        .append('.')
                        .append(result.exportedName)
                        .append('=')
                        .append(requests(i, result))
                        .append('\n');
            }
        }
        append(out, "attempts", attempts);
        append(out, "in_flight", inFlight);
        append(out, "servers_known", listedServers);
        append(out, "servers_excluded", avoidedServers);
        return out.toString();
    }

    private static void append(StringBuilder out, String name, AtomicLong value) {
        out.append("edge_node.").append(name).append('=').append(value.get()).append('\n');
    }
}
