import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A group of three poolers; operators hold a db node; then the poolers are killed at once and started again. */
final class Hold {
    private static final String HELD = "db-2";
    private static final List<String> NAMES = List.of("a", "b", "c");

    private static final Map<String, Integer> PORTS = new TreeMap<>();
    private static final Map<String, Path> CONFIGS = new TreeMap<>();
    private static final Map<String, Path> OPERATORS = new TreeMap<>();
    private static final Map<String, Process> POOLERS = new TreeMap<>();
    private static final AtomicInteger LAST_ID = new AtomicInteger();
    /** Clients at each pooler. */
    private static final int CLIENTS = 4;

    private static void start(String name) throws IOException {
        POOLERS.put(name, Lab.pooler(name, CONFIGS.get(name), OPERATORS.get(name)));
    }

    /** Some clients at each pooler ask for reads, one after another; returns how many were served. */
    private static int reads(List<String> names, long millis) throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        long end = Lab.millis() + millis;
        List<Thread> clients = new ArrayList<>();
        for (String name : names) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Lab.daemon(() -> client(name, end, served)));
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        return served.get();
    }

    private static void client(String name, long end, AtomicInteger served) {
        while (Lab.millis() < end) {
            try (Lab.PgClient client = new Lab.PgClient(PORTS.get(name), 0)) {
                while (Lab.millis() < end) {
                    int number = LAST_ID.incrementAndGet();
                    String id = String.format("%s%015x", name, number);
                    client.send("SELECT blob FROM rows WHERE handle = 'k" + number + "' /* id=" + id
                            + ",c=own-order-view,t=almaty-branch,d=1200,cluster=1 */");
                    served.addAndGet(client.answer().equals("served") ? 1 : 0);
                    Lab.sleep(40);
                }
            } catch (IOException e) {
                Lab.sleep(20);
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        List<Lab.PgNode> nodes = new ArrayList<>();
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            Lab.PgNode node = new Lab.PgNode("db-" + i, i == 0, new byte[] {1, 2, 3}, 20);
            nodes.add(node);
            members.append(i == 0 ? "" : ",").append(Lab.member(node.name, node.port, null, i == 0 ? "source" : "copy"));
        }
        int discovery = Lab.discovery(members.toString());
        Map<String, Integer> storePorts = new TreeMap<>();
        StringBuilder addresses = new StringBuilder();
        for (String name : NAMES) {
            PORTS.put(name, Lab.freePort());
            storePorts.put(name, Lab.freePort());
            addresses.append(addresses.length() == 0 ? "" : ",")
                    .append("\"" + name + "\":\"127.0.0.1:" + storePorts.get(name) + "\"");
        }
        for (String name : NAMES) {
            CONFIGS.put(name, Lab.config(name, PORTS.get(name), discovery, 192));
            Path operator = Lab.scratch().resolve(name + ".operator.json");
            Files.writeString(operator, "{\"store\":{\"cluster\":\"plant\",\"name\":\"" + name + "\",\"folder\":\""
                    + Lab.scratch().resolve("state-" + name) + "\",\"listen\":\"127.0.0.1:" + storePorts.get(name)
                    + "\",\"members\":{" + addresses + "}}}");
            OPERATORS.put(name, operator);
            start(name);
        }
        for (String name : NAMES) {
            if (!Lab.ready(PORTS.get(name), 30_000)) {
                Lab.quoteLog(name, ".", 30);
                Lab.cannotRun("pooler " + name + " is not ready");
            }
        }
        String file = OPERATORS.get("a").toString();
        if (Lab.command("store", "members", "--operator", file, "--seconds", "20") != 0) {
            Lab.cannotRun("the group is not founded");
        }
        Lab.log("reads served before the hold: %d", reads(NAMES, 1500));
        Lab.PgNode held = nodes.get(2);
        Lab.log("statements at %s before the hold: %d", HELD, held.got.size());
        if (held.got.isEmpty()) {
            Lab.cannotRun(HELD + " got nothing before the hold");
        }
        if (Lab.command("store", "hold", "node", HELD, "--why", "disk is exchanged", "--operator", file) != 0) {
            Lab.cannotRun("the hold was not accepted");
        }
        Lab.command("store", "holds", "--operator", file);
        // Each member has the hold within this time; what was on its way is not judged.
        Lab.sleep(1000);
        held.got.clear();
        Lab.log("reads served under the hold: %d", reads(NAMES, 1500));
        int before = held.got.size();
        Lab.log("statements at %s under the hold, before the kill: %d", HELD, before);
        long killed = Lab.millis();
        if (Lab.TROUBLE) {
            for (String name : NAMES) {
                POOLERS.get(name).destroyForcibly();
                Lab.log("SIGKILL to pooler %s", name);
            }
            for (String name : NAMES) {
                POOLERS.get(name).waitFor(5, TimeUnit.SECONDS);
            }
            start("a");
        }
        int served = reads(Lab.TROUBLE ? List.of("a") : NAMES, 8_000);
        Lab.log("reads served within 8 s after that: %d", served);
        if (Lab.TROUBLE) {
            start("b");
            start("c");
            nodes.forEach(node -> Lab.log("statements at %s while a runs alone: %d", node.name, node.got.stream().filter(got -> got.atMillis() > killed).count()));
            int later = held.got.size();
            reads(NAMES, 4_000);
            Lab.log("statements at %s once the others run again: %d", HELD, held.got.size() - later);
        }
        nodes.forEach(node -> Lab.log("statements at %s in all: %d", node.name, node.got.size()));
        long other = nodes.stream().filter(node -> node != held).mapToLong(node -> node.got.size()).sum();
        held.got.forEach(got -> Lab.log("%s got, %d ms after the kill: %s", HELD, got.atMillis() - killed, got.statement()));
        for (String name : NAMES) {
            Lab.quoteLog(name, "quorum|leads, term|listens on|drained by operator|restored by operator|endpoint list: FULL", 40);
        }
        Lab.command("store", "holds", "--operator", file);
        if (served == 0) {
            Lab.cannotRun("no read was served afterwards");
        }
        Lab.verdict(!held.got.isEmpty(),
                "%s, held by the group and not released, got %d statements (the other db nodes got %d in all)",
                HELD, held.got.size(), other);
    }
}
