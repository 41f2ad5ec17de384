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

/** Operators who put and read configurations at a group throughout, and what they were told of it. */
final class StoreClients {
    private static final long CALL_MILLIS = 4_000, QUIET_SECONDS = 1;
    static final String CLUSTER = "drill";
    final RevisionChecker checker = new RevisionChecker();
    final Histogram commits = new ConcurrentHistogram(60_000_000, 3),
            failovers = new ConcurrentHistogram(60_000_000, 3);
    private final Map<String, String> places;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean over;
    private volatile long leaderKilledAt, faultAt = System.nanoTime();

    /** @param places of all members, by name, past all proxies */
    StoreClients(Map<String, String> places, long seed) {
        this.places = places;
        this.seed = seed;
    }

    /** Starts so many, each of which rests for so long between two calls. */
    void start(int count, long paceMillis) {
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.add(Threads.start("operator " + i, () -> work(number, paceMillis)));
        }
    }

    private void work(int number, long paceMillis) throws IOException, InterruptedException {
        Random own = new Random(seed * 31 + number);
        // Each one has another member that it asks first.
        List<String> names = new ArrayList<>(places.keySet());
        java.util.Collections.rotate(names, -number);
        Map<String, String> mine = new LinkedHashMap<>();
        names.forEach(name -> mine.put(name, places.get(name)));
        GroupClient client = new GroupClient(CLUSTER, mine, null);
        while (!over) {
            long revision = read(client);
            if (revision >= 0 && own.nextInt(3) > 0) {
                put(client, revision);
            }
            Thread.sleep(paceMillis);
        }
    }

    /** The revision that a linearizable read comes back with, or -1. */
    long read() throws IOException {
        return read(new GroupClient(CLUSTER, places, null));
    }

    private long read(GroupClient client) throws IOException {
        long began = System.nanoTime();
        GroupClient.Result said = client.call("get", List.of(new byte[0]), true, CALL_MILLIS);
        if (said.status() != WireMessages.Status.OK) {
            return -1;
        }
        Map<String, String> fields = fields(said.text());
        long revision = Long.parseLong(fields.get("revision"));
        checker.read(began, System.nanoTime(), revision, fields.getOrDefault("digest", ""));
        return revision;
    }

    private void put(GroupClient client, long expected) throws IOException {
        byte[] document =
                ("{\"mysql\":{\"user\":\"u" + numbers.incrementAndGet() + "\"}}").getBytes(StandardCharsets.UTF_8);
        long began = System.nanoTime();
        GroupClient.Result said = client.call(
                "put", List.of(Long.toString(expected).getBytes(StandardCharsets.UTF_8), document), false, CALL_MILLIS);
        long ended = System.nanoTime();
        if (said.status() == WireMessages.Status.OK) {
            checker.put(
                    began,
                    ended,
                    Long.parseLong(fields(said.text()).get("revision")),
                    ReplicatedState.digest(document));
            if (faultAt < began - TimeUnit.SECONDS.toNanos(QUIET_SECONDS)) {
                commits.recordValue((ended - began) / 1000);
            }
            long killed = leaderKilledAt;
            if (killed != 0 && began > killed) {
                leaderKilledAt = 0;
                failovers.recordValue((ended - killed) / 1000);
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

    /** How many puts were tried. */
    int tried() {
        return numbers.get();
    }

    /** Something is done to a process or a connection now; what commits take is not measured for a while. */
    void fault(boolean ofLeader) {
        faultAt = System.nanoTime();
        if (ofLeader) {
            leaderKilledAt = faultAt;
        }
    }

    /** Whether a put has succeeded since the leader was killed last. */
    boolean served() {
        return leaderKilledAt == 0;
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(3 * CALL_MILLIS);
        }
    }
}
