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
 * What a drill's poolers acted on, judged by what stand-in db nodes saw: an operator takes db nodes out by strict calls
 * and calls them back, others put configurations strictly, and faults part poolers from the group meanwhile. After a
 * strict call's answer no statement may reach the db node that it took out; and what the audit answers must agree with
 * what was told when.
 */
public final class AuditDrill implements DrillWatcher {
    private static final long CALL_MILLIS = 9_000, HELD_MILLIS = 400, FAULT_LASTS = 4_000, CLOCKS = 60;
    private static final JsonFactory JSON = new JsonFactory();

    private record Put(String version, long asked, long answered) {}

    private record Fenced(String pooler, long at) {}

    private final Map<String, String> places;
    private final List<String> nodes;
    private final List<Step> course;
    private final Map<String, Long> heldSince = new ConcurrentHashMap<>();
    private final List<String> findings = new ArrayList<>();
    private final List<Put> puts = new ArrayList<>();
    private final List<Fenced> fences = new ArrayList<>();
    private final AtomicInteger late = new AtomicInteger(),
            returned = new AtomicInteger(),
            numbers = new AtomicInteger(),
            strictHolds = new AtomicInteger(),
            unsure = new AtomicInteger();
    private final Histogram strict = new ConcurrentHistogram(60_000_000, 3);
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;
    private long begun;
    private int wrong, breaks;
    private long unknown;

    /** @param steps of the scenario that is played */
    public AuditDrill(Map<String, String> places, int groups, List<Step> steps) {
        this.places = places;
        course = steps;
        nodes = new ArrayList<>();
        for (int i = 0; i < groups * Scenario.MEMBERS; i++) {
            nodes.add("n" + i);
        }
    }

    @Override
    public void ran(String node, String pooler, long at) {
        Long since = heldSince.get(node);
        if (since != null) {
            late.incrementAndGet();
            found(pooler + " sent to " + node + " " + (at - since)
                    + " ms after the strict call that took it out was answered");
        }
    }

    @Override
    public void line(String pooler, String line, long at) {
        // A process begins without a lease, and at the drill's end the majority goes.
        if (line.contains("store: audit: fenced") && !line.contains("no lease yet") && !over) {
            synchronized (this) {
                fences.add(new Fenced(pooler, at));
            }
        } else if (line.contains("store: audit: returned")) {
            returned.incrementAndGet();
        }
    }

    private synchronized void found(String what) {
        findings.add(what);
    }

    /** Begins to call; once the group is founded. */
    public void start(long seed) {
        begun = System.currentTimeMillis();
        threads.add(Threads.start("strict holds", () -> {
            Random random = new Random(seed);
            GroupClient client = new GroupClient(StoreClients.CLUSTER, places, null);
            while (!over) {
                holdOne(client, nodes.get(random.nextInt(nodes.size())));
            }
        }));
        threads.add(Threads.start("strict puts", () -> {
            GroupClient client = new GroupClient(StoreClients.CLUSTER, places, null);
            while (!over) {
                putOne(client);
                Thread.sleep(300);
            }
        }));
    }

    private GroupClient.Result ask(GroupClient client, String call, boolean again, String... words) {
        List<byte[]> arguments = new ArrayList<>();
        for (String word : words) {
            arguments.add(word.getBytes(StandardCharsets.UTF_8));
        }
        return client.call(call, arguments, again, CALL_MILLIS);
    }

    private void holdOne(GroupClient client, String node) throws InterruptedException {
        long asked = System.nanoTime();
        GroupClient.Result said = ask(client, "hold", false, "node", node, "drill", "strict");
        if (said.status() == WireMessages.Status.OK) {
            heldSince.put(node, System.currentTimeMillis());
            strict.recordValue((System.nanoTime() - asked) / 1000);
            strictHolds.incrementAndGet();
            Thread.sleep(HELD_MILLIS);
        } else {
            unsure.incrementAndGet();
        }
        heldSince.remove(node);
        // It must come back whatever became of the call before.
        for (int i = 0; i < 5 && ask(client, "release", true, "node", node).status() != WireMessages.Status.OK; i++) {
            Thread.sleep(100);
        }
    }

    private void putOne(GroupClient client) throws IOException {
        GroupClient.Result now = ask(client, "get", true, "");
        if (now.status() != WireMessages.Status.OK) {
            return;
        }
        String document = "{\"mysql\":{\"user\":\"a" + numbers.incrementAndGet() + "\"}}";
        long asked = System.currentTimeMillis();
        long began = System.nanoTime();
        GroupClient.Result said =
                ask(client, "put", false, fields(now.text()).getOrDefault("revision", "0"), document, "strict");
        if (said.status() == WireMessages.Status.OK) {
            strict.recordValue((System.nanoTime() - began) / 1000);
            puts.add(new Put(
                    fields(said.text()).get("revision") + "-"
                            + lupinvalve.statemachine.ReplicatedState.digest(document.getBytes(StandardCharsets.UTF_8)),
                    asked,
                    System.currentTimeMillis()));
        } else if (said.status() == WireMessages.Status.INDETERMINATE) {
            unsure.incrementAndGet();
        }
    }

    private static Map<String, String> fields(String text) throws IOException {
        return objects(text).get(0);
    }

    /** The scalar fields of each object in a text, the outermost first. */
    private static List<Map<String, String>> objects(String text) throws IOException {
        List<Map<String, String>> all = new ArrayList<>();
        List<Map<String, String>> open = new ArrayList<>();
        try (JsonParser in = JSON.createParser(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (token == JsonToken.START_OBJECT) {
                    open.add(new HashMap<>());
                    all.add(open.get(open.size() - 1));
                } else if (token == JsonToken.END_OBJECT) {
                    open.remove(open.size() - 1);
                } else if (token.isScalarValue() && in.currentName() != null) {
                    open.get(open.size() - 1).put(in.currentName(), in.getText());
                } else if (token.isScalarValue()) {
                    open.get(open.size() - 1).merge("listed", in.getText(), (a, b) -> a + "; " + b);
                }
            }
        }
        return all;
    }

    /** Ends the calls and holds the audit's answers against what was told when; before the daemons end. */
    public void judge() throws IOException, InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(3 * CALL_MILLIS);
        }
        // Entries come in bundles, some a little later.
        Thread.sleep(1_500);
        GroupClient client = new GroupClient(StoreClients.CLUSTER, places, null);
        long end = System.currentTimeMillis();
        for (String pooler : places.keySet()) {
            GroupClient.Result said = ask(client, "audit", true, "pooler", pooler);
            if (said.status() != WireMessages.Status.OK) {
                found("audit pooler " + pooler + ": " + said.text());
                continue;
            }
            for (Map<String, String> one : objects(said.text())) {
                if (one.containsKey("listed")) {
                    breaks++;
                    found("chain: " + one.get("listed"));
                } else if (one.containsKey("version")) {
                    interval(pooler, one, end);
                }
            }
        }
    }

    private void interval(String pooler, Map<String, String> acted, long end) {
        long from = Long.parseLong(acted.get("from_us")) / 1000;
        long to = Long.parseLong(acted.get("to_us")) / 1000;
        boolean known = Boolean.parseBoolean(acted.get("known"));
        boolean last = to < 0;
        if (!known && !last) {
            unknown += Math.max(0, to - Math.max(from, begun));
        }
        long revision = Long.parseLong(acted.get("version").split("-")[0]);
        for (Put put : puts) {
            long of = Long.parseLong(put.version().split("-")[0]);
            if (of == revision && !acted.get("version").equals(put.version())) {
                wrong++;
                found(pooler + " acted on " + acted.get("version") + ", " + put.version() + " was put");
            } else if (of == revision && from < put.asked() - CLOCKS) {
                wrong++;
                found(pooler + " acted on " + put.version() + " " + (put.asked() - from) + " ms before it was put");
            } else if (of > revision && known && to > put.answered() + CLOCKS) {
                wrong++;
                found(pooler + " acted on " + acted.get("version") + " " + (to - put.answered()) + " ms after "
                        + put.version() + " was done");
            } else if (of > revision && last && end > put.answered() + FAULT_LASTS) {
                wrong++;
                found(pooler + " still acts on " + acted.get("version") + ", " + put.version() + " was done long ago");
            }
        }
    }

    /** Fences at poolers that no fault touched in the time before. */
    private int falseFences() {
        int all = 0;
        for (Fenced one : fences) {
            long at = one.at() - begun;
            boolean touched = course.stream()
                    .anyMatch(s -> (s.who().equals(one.pooler())
                                    || s.to().equals(one.pooler())
                                    || s.who().equals(Step.ALL)
                                    || s.to().equals(Step.ALL)
                                    || s.who().equals(Step.LEADER) && s.to().isEmpty())
                            && s.atMillis() - 500 <= at
                            && at <= s.atMillis() + s.forMillis() + FAULT_LASTS);
            if (!touched) {
                all++;
                found(one.pooler() + " was fenced at " + at + " ms with no fault at it");
            }
        }
        return all;
    }

    /** All that was found wrong. */
    public List<String> findings() {
        return List.copyOf(findings);
    }

    /** One JSON object; times in milliseconds. */
    public String json(int poolers, long seed, int decisions) {
        int untouched = falseFences();
        return String.format(
                Locale.ROOT,
                "{\"poolers\":%d,\"seed\":%d,\"versions\":%d,\"strict_puts\":%d,\"strict_holds\":%d,"
                        + "\"unsure\":%d,\"decisions\":%d,\"late_decisions\":%d,\"audit_wrong\":%d,\"audit_unknown_ms\":%d,"
                        + "\"chain_breaks\":%d,\"fenced\":%d,\"returned\":%d,\"strict_p50_ms\":%.0f,\"strict_p99_ms\":%.0f,"
                        + "\"false_fences\":%d}",
                poolers,
                seed,
                numbers.get(),
                puts.size(),
                strictHolds.get(),
                unsure.get(),
                decisions,
                late.get(),
                wrong,
                unknown,
                breaks,
                fences.size(),
                returned.get(),
                strict.getValueAtPercentile(50) / 1000.0,
                strict.getValueAtPercentile(99) / 1000.0,
                untouched);
    }
}
