package lupinvalve.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import lupinvalve.statemachine.ReplicatedState;
import org.HdrHistogram.Histogram;

/**
 * Client that puts configurations at the control members and records what was acknowledged. Its methods that access the
 * revision are synchronized.
 */
final class Operator {
    private static final long CALL_TIMEOUT_MILLIS = 4_000;
    private static final long ADD_TIMEOUT_MILLIS = 25_000;
    private static final long RETRY_DELAY_MILLIS = 100;
    private final Daemons daemons;
    private final History history;
    private final List<InForce.Acknowledged> acknowledged = new ArrayList<>();
    private final Histogram putMicros = new Histogram(TimeUnit.MINUTES.toMicros(2), 3);
    private long revision;
    private boolean revisionUnknown;

    Operator(Daemons daemons, History history) {
        this.daemons = daemons;
        this.history = history;
    }

    /** Creates a client that tries the leader first, so that a suspended member does not delay the call. */
    private GroupClient client() throws IOException {
        Map<String, String> addresses = daemons.memberAddresses();
        Map<String, String> ordered = new LinkedHashMap<>();
        String leader = Topology.member(Math.max(0, daemons.leader()));
        ordered.put(leader, addresses.get(leader));
        ordered.putAll(addresses);
        return new GroupClient(Daemons.CLUSTER, ordered, null);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Puts a document with the last known revision as its precondition. Returns whether the group acknowledged it;
     * without an answer the next put first reads the revision.
     */
    synchronized boolean put(byte[] document) throws IOException {
        if (revisionUnknown && !read()) {
            return false;
        }
        String digest = ReplicatedState.digest(document);
        history.proposed(revision + 1, digest);
        long startNanos = System.nanoTime();
        GroupClient.Result result =
                client().call("put", List.of(bytes(Long.toString(revision)), document), false, CALL_TIMEOUT_MILLIS);
        long endNanos = System.nanoTime();
        if (result.status() != WireMessages.Status.OK) {
            if (result.status() == WireMessages.Status.REJECTED) {
                throw new IOException("a configuration was refused: " + result.text());
            }
            revisionUnknown = true;
            return false;
        }
        revision = Json.MAPPER.readTree(result.text()).get("revision").asLong();
        history.acknowledged(startNanos, endNanos, revision, digest);
        acknowledged.add(new InForce.Acknowledged(revision, endNanos));
        putMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(endNanos - startNanos));
        return true;
    }

    /** Reads the current configuration linearizably. Returns whether there was an answer. */
    synchronized boolean read() throws IOException {
        long startNanos = System.nanoTime();
        GroupClient.Result result = client().call("get", List.of(new byte[0]), true, CALL_TIMEOUT_MILLIS);
        if (result.status() != WireMessages.Status.OK) {
            return false;
        }
        JsonNode answer = Json.MAPPER.readTree(result.text());
        revision = answer.get("revision").asLong();
        revisionUnknown = false;
        history.read(
                startNanos, System.nanoTime(), revision, answer.path("digest").asText(""));
        return true;
    }

    /** Repeats the read until there is an answer, or fails after a time-out. */
    void awaitRead(long withinSeconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!read()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: the group answers");
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Holds a db node, as a change of its primary does, or releases it. Returns the {@link System#nanoTime()} of the
     * acknowledgement, or -1 without one.
     */
    long hold(String node, boolean hold) throws IOException {
        List<byte[]> arguments = new ArrayList<>(List.of(bytes("node"), bytes(node)));
        if (hold) {
            arguments.add(bytes("scale run"));
        }
        GroupClient.Result result = client().call(hold ? "hold" : "release", arguments, true, CALL_TIMEOUT_MILLIS);
        return result.status() == WireMessages.Status.OK ? System.nanoTime() : -1;
    }

    /**
     * Adds a pooler as a member and retries while it is not connected. Throws with the group's answer if the group
     * rejects it or the time is over.
     */
    void add(String name, long withinSeconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        GroupClient.Result result = client().call("add", List.of(bytes(name)), true, ADD_TIMEOUT_MILLIS);
        while (result.status() != WireMessages.Status.OK) {
            boolean rejectedForGood = result.status() == WireMessages.Status.REJECTED
                    && !result.text().contains("not connected");
            if (rejectedForGood || System.nanoTime() > end) {
                throw new IOException("add " + name + ": " + result.text());
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
            result = client().call("add", List.of(bytes(name)), true, ADD_TIMEOUT_MILLIS);
        }
    }

    synchronized long revision() {
        return revision;
    }

    /** Returns the changes acknowledged at or after a {@link System#nanoTime()}. */
    synchronized List<InForce.Acknowledged> acknowledgedSince(long nanos) {
        return acknowledged.stream().filter(one -> one.atNanos() >= nanos).toList();
    }

    /** Returns the durations of acknowledged puts in microseconds. */
    synchronized Histogram putMicros() {
        return putMicros.copy();
    }
}
