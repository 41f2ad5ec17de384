package lupinvalve.drills;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import lupinvalve.statemachine.ReplicatedState;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Operators that put and read configurations of a group during a drill, with what they measured and were answered. */
final class StoreClients {
    private static final long CALL_MILLIS = 4_000;
    private static final long QUIET_AFTER_FAULT_SECONDS = 1;
    static final String CLUSTER = "drill";
    final RevisionChecker checker = new RevisionChecker();
    final Histogram commits = new ConcurrentHistogram(60_000_000, 3);
    final Histogram failovers = new ConcurrentHistogram(60_000_000, 3);
    private final Map<String, String> addresses;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger putCount = new AtomicInteger();
    private volatile boolean over;
    private volatile long leaderKilledAt;
    private volatile long faultAt = System.nanoTime();

    /** @param addresses addresses of all members, by name, without proxies */
    StoreClients(Map<String, String> addresses, long seed) {
        this.addresses = addresses;
        this.seed = seed;
    }

    /** Starts this many operators, each of which rests for the given time between two calls. */
    void start(int count, long paceMillis) {
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.add(Threads.start("operator " + i, () -> runOperator(number, paceMillis)));
        }
    }

    private void runOperator(int number, long paceMillis) throws IOException, InterruptedException {
        Random random = new Random(seed * 31 + number);
        // Each operator calls another member first.
        List<String> names = new ArrayList<>(addresses.keySet());
        java.util.Collections.rotate(names, -number);
        Map<String, String> rotatedAddresses = new LinkedHashMap<>();
        names.forEach(name -> rotatedAddresses.put(name, addresses.get(name)));
        GroupClient client = new GroupClient(CLUSTER, rotatedAddresses, null);
        while (!over) {
            long revision = read(client);
            if (revision >= 0 && random.nextInt(3) > 0) {
                put(client, revision);
            }
            Thread.sleep(paceMillis);
        }
    }

    /** The revision that a linearizable read returns, or -1 if it fails. */
    long read() throws IOException {
        return read(new GroupClient(CLUSTER, addresses, null));
    }

    private long read(GroupClient client) throws IOException {
        long began = System.nanoTime();
        GroupClient.Result result = client.call("get", List.of(new byte[0]), true, CALL_MILLIS);
        if (result.status() != WireMessages.Status.OK) {
            return -1;
        }
        Map<String, String> fields = fields(result.text());
        long revision = Long.parseLong(fields.get("revision"));
        checker.read(began, System.nanoTime(), revision, fields.getOrDefault("digest", ""));
        return revision;
    }

    private void put(GroupClient client, long expected) throws IOException {
        byte[] document =
                ("{\"mysql\":{\"user\":\"u" + putCount.incrementAndGet() + "\"}}").getBytes(StandardCharsets.UTF_8);
        long began = System.nanoTime();
        GroupClient.Result result = client.call(
                "put", List.of(Long.toString(expected).getBytes(StandardCharsets.UTF_8), document), false, CALL_MILLIS);
        long ended = System.nanoTime();
        if (result.status() == WireMessages.Status.OK) {
            checker.put(
                    began,
                    ended,
                    Long.parseLong(fields(result.text()).get("revision")),
                    ReplicatedState.digest(document));
            if (faultAt < began - TimeUnit.SECONDS.toNanos(QUIET_AFTER_FAULT_SECONDS)) {
                commits.recordValue((ended - began) / 1000);
            }
            long killedAt = leaderKilledAt;
            if (killedAt != 0 && began > killedAt) {
                leaderKilledAt = 0;
                failovers.recordValue((ended - killedAt) / 1000);
            }
        }
    }

    private static Map<String, String> fields(String text) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken().isScalarValue()) {
                    fields.put(name, in.getText());
                } else {
                    in.skipChildren();
                }
            }
        }
        return fields;
    }

    /** How many puts were sent. */
    int putsTried() {
        return putCount.get();
    }

    /** Records a fault that is injected now: puts that begin within a second of it don't count for commit times. */
    void recordFault(boolean isLeaderKill) {
        faultAt = System.nanoTime();
        if (isLeaderKill) {
            leaderKilledAt = faultAt;
        }
    }

    /** Whether a put was acknowledged since the last kill of a leader. */
    boolean hasServedSinceLeaderKill() {
        return leaderKilledAt == 0;
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(3 * CALL_MILLIS);
        }
    }
}
