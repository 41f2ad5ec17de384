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

/** The one who puts configurations at the control members, and what was acknowledged. One thread at a time. */
final class Operator {
    private static final long CALL_MILLIS = 4_000;
    private static final long ADD_MILLIS = 25_000;
    private static final long PAUSE_MILLIS = 100;
    private final Daemons daemons;
    private final History history;
    private final List<InForce.Acknowledged> acknowledged = new ArrayList<>();
    private final Histogram puts = new Histogram(TimeUnit.MINUTES.toMicros(2), 3);
    private long revision;
    private boolean unsure;

    Operator(Daemons daemons, History history) {
        this.daemons = daemons;
        this.history = history;
    }

    /** The leader is asked first, so that a member that stands still costs no time. */
    private GroupClient client() throws IOException {
        Map<String, String> places = daemons.places();
        Map<String, String> ordered = new LinkedHashMap<>();
        String leader = Topology.member(Math.max(0, daemons.leader()));
        ordered.put(leader, places.get(leader));
        ordered.putAll(places);
        return new GroupClient(Daemons.CLUSTER, ordered, null);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Puts a document against the revision known; whether that was acknowledged. */
    synchronized boolean put(byte[] document) throws IOException {
        if (unsure && !read()) {
            return false;
        }
        String digest = ReplicatedState.digest(document);
        history.proposed(revision + 1, digest);
        long began = System.nanoTime();
        GroupClient.Result said =
                client().call("put", List.of(bytes(Long.toString(revision)), document), false, CALL_MILLIS);
        long ended = System.nanoTime();
        if (said.status() != WireMessages.Status.OK) {
            if (said.status() == WireMessages.Status.REJECTED) {
                throw new IOException("a configuration was refused: " + said.text());
            }
            unsure = true;
            return false;
        }
        revision = Json.MAPPER.readTree(said.text()).get("revision").asLong();
        history.acknowledged(began, ended, revision, digest);
        acknowledged.add(new InForce.Acknowledged(revision, ended));
        puts.recordValue(TimeUnit.NANOSECONDS.toMicros(ended - began));
        return true;
    }

    /** Reads what holds, linearizably; whether there was an answer. */
    synchronized boolean read() throws IOException {
        long began = System.nanoTime();
        GroupClient.Result said = client().call("get", List.of(new byte[0]), true, CALL_MILLIS);
        if (said.status() != WireMessages.Status.OK) {
            return false;
        }
        JsonNode answer = Json.MAPPER.readTree(said.text());
        revision = answer.get("revision").asLong();
        unsure = false;
        history.read(began, System.nanoTime(), revision, answer.path("digest").asText(""));
        return true;
    }

    /** Reads until there is an answer. */
    void awaitRead(long withinSeconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!read()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: the group answers");
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Holds a db node, as a change of its primary does, or releases it; gives when that was acknowledged, or -1. */
    long hold(String node, boolean now) throws IOException {
        List<byte[]> arguments = new ArrayList<>(List.of(bytes("node"), bytes(node)));
        if (now) {
            arguments.add(bytes("scale run"));
        }
        GroupClient.Result said = client().call(now ? "hold" : "release", arguments, true, CALL_MILLIS);
        return said.status() == WireMessages.Status.OK ? System.nanoTime() : -1;
    }

    /** Has a pooler become a member. Throws with what the group says where it can't, or not in time. */
    void add(String name, long withinSeconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        GroupClient.Result said = client().call("add", List.of(bytes(name)), true, ADD_MILLIS);
        while (said.status() != WireMessages.Status.OK) {
            boolean never = said.status() == WireMessages.Status.REJECTED
                    && !said.text().contains("not connected");
            if (never || System.nanoTime() > end) {
                throw new IOException("add " + name + ": " + said.text());
            }
            Thread.sleep(PAUSE_MILLIS);
            said = client().call("add", List.of(bytes(name)), true, ADD_MILLIS);
        }
    }

    synchronized long revision() {
        return revision;
    }

    /** What was acknowledged since a time. */
    synchronized List<InForce.Acknowledged> acknowledgedSince(long nanos) {
        return acknowledged.stream().filter(one -> one.atNanos() >= nanos).toList();
    }

    /** How long puts took, in microseconds. */
    synchronized Histogram puts() {
        return puts.copy();
    }
}
