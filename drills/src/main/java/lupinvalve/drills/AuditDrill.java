package lupinvalve.drills;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Judges which changes a drill's poolers acted on, by what stand-in db nodes received: one operator holds db nodes by
 * strict calls and releases them, another puts configurations strictly, and faults disconnect poolers from the group
 * meanwhile. After the answer to a strict hold no statement may reach the held db node; and the audit's answers must
 * agree with the times at which changes were requested and answered. Times are in Unix milliseconds unless named
 * otherwise. Statements and log lines are reported on the threads of db nodes and of log readers.
 */
public final class AuditDrill implements DrillWatcher {
    private static final long CALL_MILLIS = 9_000;
    private static final long HOLD_MILLIS = 400;
    private static final long FAULT_EFFECT_MILLIS = 4_000;
    private static final long CLOCK_SLACK_MILLIS = 60;
    private static final JsonFactory JSON = new JsonFactory();

    private record Put(String version, long requestedAt, long answeredAt) {}

    private record Fence(String pooler, long at) {}

    private final Map<String, String> memberAddresses;
    private final List<String> nodes;
    private final List<Step> steps;
    private final Map<String, Long> heldSinceMillis = new ConcurrentHashMap<>();
    private final List<String> findings = new ArrayList<>();
    private final List<Put> puts = new ArrayList<>();
    private final List<Fence> fences = new ArrayList<>();
    private final AtomicInteger lateDecisions = new AtomicInteger();
    private final AtomicInteger returned = new AtomicInteger();
    private final AtomicInteger putCount = new AtomicInteger();
    private final AtomicInteger strictHolds = new AtomicInteger();
    private final AtomicInteger unsureCalls = new AtomicInteger();
    private final Histogram strict = new ConcurrentHistogram(60_000_000, 3);
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;
    private long startedAt;
    private int wrongIntervals;
    private int chainBreaks;
    private long unknownMillis;

    /** @param steps of the scenario that is run */
    public AuditDrill(Map<String, String> memberAddresses, int groups, List<Step> steps) {
        this.memberAddresses = memberAddresses;
        this.steps = steps;
        nodes = new ArrayList<>();
        for (int i = 0; i < groups * Scenario.NODES_PER_GROUP; i++) {
            nodes.add("n" + i);
        }
    }

    @Override
    public void statementRan(String node, String pooler, long at) {
        Long since = heldSinceMillis.get(node);
        if (since != null) {
            lateDecisions.incrementAndGet();
            addFinding(pooler + " sent to " + node + " " + (at - since)
                    + " ms after the strict call that took it out was answered");
        }
    }

    @Override
    public void logLine(String pooler, String line, long at) {
        // Not counted: a process starts without a lease, and at the end of the drill the majority is stopped.
        if (line.contains("store: audit: fenced") && !line.contains("no lease yet") && !over) {
            synchronized (this) {
                fences.add(new Fence(pooler, at));
            }
        } else if (line.contains("store: audit: returned")) {
            returned.incrementAndGet();
        }
    }

    private synchronized void addFinding(String finding) {
        findings.add(finding);
    }

    /** Starts the two operators' threads. Called once the group is founded. */
    public void start(long seed) {
        startedAt = System.currentTimeMillis();
        threads.add(Threads.start("strict holds", () -> {
            Random random = new Random(seed);
            GroupClient client = new GroupClient(StoreClients.CLUSTER, memberAddresses, null);
            while (!over) {
                holdOne(client, nodes.get(random.nextInt(nodes.size())));
            }
        }));
        threads.add(Threads.start("strict puts", () -> {
            GroupClient client = new GroupClient(StoreClients.CLUSTER, memberAddresses, null);
            while (!over) {
                putOne(client);
                Thread.sleep(300);
            }
        }));
    }

    private GroupClient.Result call(GroupClient client, String command, boolean retryable, String... texts) {
        List<byte[]> arguments = new ArrayList<>();
        for (String text : texts) {
            arguments.add(text.getBytes(StandardCharsets.UTF_8));
        }
        return client.call(command, arguments, retryable, CALL_MILLIS);
    }

    private void holdOne(GroupClient client, String node) throws InterruptedException {
        long beganNanos = System.nanoTime();
        GroupClient.Result result = call(client, "hold", false, "node", node, "drill", "strict");
        if (result.status() == WireMessages.Status.OK) {
            heldSinceMillis.put(node, System.currentTimeMillis());
            strict.recordValue((System.nanoTime() - beganNanos) / 1000);
            strictHolds.incrementAndGet();
            Thread.sleep(HOLD_MILLIS);
        } else {
            unsureCalls.incrementAndGet();
        }
        heldSinceMillis.remove(node);
        // The hold may be in force whatever its call answered, so the db node is released in each case.
        for (int i = 0; i < 5 && call(client, "release", true, "node", node).status() != WireMessages.Status.OK; i++) {
            Thread.sleep(100);
        }
    }

    private void putOne(GroupClient client) throws IOException {
        GroupClient.Result now = call(client, "get", true, "");
        if (now.status() != WireMessages.Status.OK) {
            return;
        }
        String document = "{\"mysql\":{\"user\":\"a" + putCount.incrementAndGet() + "\"}}";
        long requestedAt = System.currentTimeMillis();
        long beganNanos = System.nanoTime();
        GroupClient.Result result =
                call(client, "put", false, fields(now.text()).getOrDefault("revision", "0"), document, "strict");
        if (result.status() == WireMessages.Status.OK) {
            strict.recordValue((System.nanoTime() - beganNanos) / 1000);
            puts.add(new Put(
                    fields(result.text()).get("revision") + "-"
                            + lupinvalve.statemachine.ReplicatedState.digest(document.getBytes(StandardCharsets.UTF_8)),
                    requestedAt,
                    System.currentTimeMillis()));
        } else if (result.status() == WireMessages.Status.INDETERMINATE) {
            unsureCalls.incrementAndGet();
        }
    }

    private static Map<String, String> fields(String text) throws IOException {
        return objects(text).get(0);
    }

    /**
     * The scalar fields of each JSON object in a text, the outermost first; a list's strings are joined as "listed".
     */
    private static List<Map<String, String>> objects(String text) throws IOException {
        List<Map<String, String>> allObjects = new ArrayList<>();
        List<Map<String, String>> openObjects = new ArrayList<>();
        try (JsonParser in = JSON.createParser(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (token == JsonToken.START_OBJECT) {
                    openObjects.add(new HashMap<>());
                    allObjects.add(openObjects.get(openObjects.size() - 1));
                } else if (token == JsonToken.END_OBJECT) {
                    openObjects.remove(openObjects.size() - 1);
                } else if (token.isScalarValue() && in.currentName() != null) {
                    openObjects.get(openObjects.size() - 1).put(in.currentName(), in.getText());
                } else if (token.isScalarValue()) {
                    openObjects.get(openObjects.size() - 1).merge("listed", in.getText(), (a, b) -> a + "; " + b);
                }
            }
        }
        return allObjects;
    }

    /** Ends the calls and compares the audit's answers with the changes made. Called while the daemons still run. */
    public void judge() throws IOException, InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(3 * CALL_MILLIS);
        }
        // Members send audit entries in batches, so the last ones arrive a little later.
        Thread.sleep(1_500);
        GroupClient client = new GroupClient(StoreClients.CLUSTER, memberAddresses, null);
        long end = System.currentTimeMillis();
        for (String pooler : memberAddresses.keySet()) {
            GroupClient.Result result = call(client, "audit", true, "pooler", pooler);
            if (result.status() != WireMessages.Status.OK) {
                addFinding("audit pooler " + pooler + ": " + result.text());
                continue;
            }
            for (Map<String, String> entry : objects(result.text())) {
                if (entry.containsKey("listed")) {
                    chainBreaks++;
                    addFinding("chain: " + entry.get("listed"));
                } else if (entry.containsKey("version")) {
                    judgeInterval(pooler, entry, end);
                }
            }
        }
    }

    private void judgeInterval(String pooler, Map<String, String> acted, long end) {
        long from = Long.parseLong(acted.get("from_us")) / 1000;
        long to = Long.parseLong(acted.get("to_us")) / 1000;
        boolean known = Boolean.parseBoolean(acted.get("known"));
        boolean isCurrent = to < 0;
        if (!known && !isCurrent) {
            unknownMillis += Math.max(0, to - Math.max(from, startedAt));
        }
        long revision = Long.parseLong(acted.get("version").split("-")[0]);
        for (Put put : puts) {
            long putRevision = Long.parseLong(put.version().split("-")[0]);
            if (putRevision == revision && !acted.get("version").equals(put.version())) {
                wrongIntervals++;
                addFinding(pooler + " acted on " + acted.get("version") + ", but the put of that revision was "
                        + put.version());
            } else if (putRevision == revision && from < put.requestedAt() - CLOCK_SLACK_MILLIS) {
                wrongIntervals++;
                addFinding(pooler + " acted on " + put.version() + " " + (put.requestedAt() - from)
                        + " ms before it was put");
            } else if (putRevision > revision && known && to > put.answeredAt() + CLOCK_SLACK_MILLIS) {
                wrongIntervals++;
                addFinding(pooler + " acted on " + acted.get("version") + " " + (to - put.answeredAt()) + " ms after "
                        + put.version() + " was answered");
            } else if (putRevision > revision && isCurrent && end > put.answeredAt() + FAULT_EFFECT_MILLIS) {
                wrongIntervals++;
                addFinding(pooler + " still acts on " + acted.get("version") + " though " + put.version()
                        + " was answered more than " + FAULT_EFFECT_MILLIS + " ms ago");
            }
        }
    }

    /** How often a pooler was fenced with no fault of the scenario at it, around that time, to explain it. */
    private int falseFences() {
        int falseFences = 0;
        for (Fence fence : fences) {
            long at = fence.at() - startedAt;
            boolean isExplained = steps.stream()
                    .anyMatch(step -> (step.who().equals(fence.pooler())
                                    || step.to().equals(fence.pooler())
                                    || step.who().equals(Step.ALL)
                                    || step.to().equals(Step.ALL)
                                    || step.who().equals(Step.LEADER)
                                            && step.to().isEmpty())
                            && step.atMillis() - 500 <= at
                            && at <= step.atMillis() + step.forMillis() + FAULT_EFFECT_MILLIS);
            if (!isExplained) {
                falseFences++;
                addFinding(fence.pooler() + " was fenced at " + at + " ms although no fault affected it");
            }
        }
        return falseFences;
    }

    /** All violations found. */
    public List<String> findings() {
        return List.copyOf(findings);
    }

    /** One JSON object; times in milliseconds. */
    public String json(int poolers, long seed, int decisions) {
        int falseFenceCount = falseFences();
        return String.format(
                Locale.ROOT,
                "{\"poolers\":%d,\"seed\":%d,\"versions\":%d,\"strict_puts\":%d,\"strict_holds\":%d,"
                        + "\"unsure\":%d,\"decisions\":%d,\"late_decisions\":%d,\"audit_wrong\":%d,\"audit_unknown_ms\":%d,"
                        + "\"chain_breaks\":%d,\"fenced\":%d,\"returned\":%d,\"strict_p50_ms\":%.0f,\"strict_p99_ms\":%.0f,"
                        + "\"false_fences\":%d}",
                poolers,
                seed,
                putCount.get(),
                puts.size(),
                strictHolds.get(),
                unsureCalls.get(),
                decisions,
                lateDecisions.get(),
                wrongIntervals,
                unknownMillis,
                chainBreaks,
                fences.size(),
                returned.get(),
                strict.getValueAtPercentile(50) / 1000.0,
                strict.getValueAtPercentile(99) / 1000.0,
                falseFenceCount);
    }
}
