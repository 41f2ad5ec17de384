import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads of a class with a bound on the age of data, by prepared statements, while a replica hangs now and then. */
final class Late {
    private static final int BOUND_MILLIS = 200;
    /** Every time limit is 50 ms longer on sockets. */
    private static final int SLACK_MILLIS = 50;

    /** Members of the db set: a primary and three replicas, of which one hangs. */
    private static final int MEMBERS = 4;

    private static final int CLIENTS = 8;
    /** Different statements of the portal: more than the 64 that a connection to a db node keeps prepared. */
    private static final int STATEMENTS = 200;
    private static final int HANGS = 6;
    private static final int HANG_MILLIS = 380;

    private static final AtomicInteger LAST_ID = new AtomicInteger();
    private static final AtomicInteger ASKED = new AtomicInteger();
    private static final Set<String> SERVED = ConcurrentHashMap.newKeySet();

    /** The settings of the deployment recife-ponto, as far as they differ from the example's. */
    private static void toRecife(Path config) throws IOException {
        String text = Files.readString(config);
        int from = text.indexOf("\"classes\"");
        int to = text.indexOf("\"clients\"");
        String classes = "\"classes\": ["
                + requestClass("quadro-obra", 200_000, 800_000, "safe", 0, 1) + ","
                + requestClass("conferir-ponto", 500_000, 2_000_000, "safe", 0, 2) + ","
                + requestClass("relatorio-mes", 500_000, 1_200_000, "safe", 0, 1) + ","
                + requestClass("registrar-ponto", 250_000, 2_000_000, "unsafe", 0.3, 3) + "],\n  ";
        text = text.substring(0, from) + classes + text.substring(to);
        text = text.replaceAll("\"class_read\": \\[[^]]*]",
                        "\"class_read\": [\"lag_bound\", \"causal\", \"eventual\", \"mutate\"]")
                .replaceAll("\"oldest_data_us\": \\[[^]]*]", "\"oldest_data_us\": [200000, 0, 0, 0]")
                .replace("\"server_checks\": \"bounce\"", "\"server_checks\": \"silent\"")
                .replace("\"via\": \"piggyback\"", "\"via\": \"pull\"")
                .replace("\"attempts_cap\": 6", "\"attempts_cap\": 8")
                .replace("\"keepalive_us\": 15000000", "\"keepalive_us\": 30000000")
                .replace("\"marks_retry\": false", "\"marks_retry\": true")
                .replace("\"dcs\": [\n   \"almaty-main\"", "\"dcs\": [\n   \"sala-recife\"");
        Files.writeString(config, text);
    }

    private static String requestClass(
            String name, int aimMicros, int deadlineMicros, String effect, double lateValue, double worth) {
        return "{\"aim_us\": " + aimMicros + ", \"deadline_us\": " + deadlineMicros + ", \"effect\": \"" + effect
                + "\", \"group\": \"all\", \"key_ttl_us\": 5000000, \"late_value\": " + lateValue + ", \"name\": \""
                + name + "\", \"stream\": false, \"worth\": " + worth + "}";
    }

    private static void portal(int number, int port, long end) {
        try (Mysql.Client client = new Mysql.Client(port, "portal")) {
            long[] statements = new long[STATEMENTS];
            for (int i = 0; Lab.millis() < end; i++) {
                int query = (number * 31 + i * 7) % STATEMENTS;
                if (statements[query] == 0) {
                    statements[query] = client.prepare(
                            "SELECT blob FROM rows WHERE handle = ? AND board = ? AND page = " + query);
                }
                String id = String.format("%016x", LAST_ID.incrementAndGet());
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("id", id);
                fields.put("c", "quadro-obra");
                fields.put("t", "");
                fields.put("d", "800");
                fields.put("cluster", "1");
                ASKED.incrementAndGet();
                client.write(Mysql.Client.execute(statements[query], "k" + query, "b", fields));
                if (client.rows().startsWith("served")) {
                    SERVED.add(id);
                }
                Lab.sleep(20);
            }
        } catch (IOException e) {
            Lab.log("client %d: %s", number, e);
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        ConcurrentLinkedDeque<Mysql.Read> reads = new ConcurrentLinkedDeque<>();
        StringBuilder members = new StringBuilder();
        List<Lab.Applied> logs = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            boolean primary = i == 0;
            Lab.Applied applied = new Lab.Applied(primary ? 0 : 8, primary ? 0 : 100);
            logs.add(applied);
            Mysql.Node mysql = new Mysql.Node("db-" + i, primary, 10, new byte[100], applied, true);
            mysql.onRead = reads::add;
            Lab.PgNode pg = new Lab.PgNode("db-" + i, primary, new byte[100], 10, applied);
            members.append(primary ? "" : ",")
                    .append(Lab.member("db-" + i, pg.port, mysql.port, primary ? "source" : "copy")
                            .replace("almaty-main", "sala-recife"));
        }
        int discovery = Lab.discovery(members.toString());
        int port = Lab.freePort();
        int mysqlPort = Lab.freePort();
        Path operator = Lab.scratch().resolve("operator.json");
        Files.writeString(operator, "{\"mysql\":{\"listen\":\"127.0.0.1:" + mysqlPort
                + "\",\"user\":\"portal\",\"password\":\"\",\"node_port\":3306,\"node_user\":\"pooler\","
                + "\"node_password\":\"\",\"database\":\"ledger\"}}");
        Path config = Lab.config("n0", port, discovery, 192);
        toRecife(config);
        Process pooler = Lab.pooler("n0", config, operator);
        if (!Lab.ready(port, 30_000) || !Lab.awaitPort(mysqlPort, 5_000)) {
            Lab.quoteLog("n0", ".", 30);
            Lab.cannotRun("the pooler is not ready");
        }
        long end = Lab.millis() + 3_000 + HANGS * 2_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Lab.daemon(() -> portal(number, mysqlPort, end)));
        }
        Lab.sleep(3_000);
        for (int i = 0; i < HANGS; i++) {
            if (Lab.TROUBLE) {
                logs.get(1).hang(HANG_MILLIS);
                Lab.log("replica db-1 hangs for %d ms", HANG_MILLIS);
            }
            Lab.sleep(1_900);
        }
        for (Thread client : clients) {
            client.join(5_000);
        }
        boolean ended = pooler.waitFor(1, TimeUnit.MILLISECONDS);
        int stale = 0;
        for (Mysql.Read read : reads) {
            long ageMillis = read.arrivedAtUnixMillis() - read.position();
            if (SERVED.contains(read.id()) && !read.node().equals("db-0") && ageMillis > BOUND_MILLIS + SLACK_MILLIS) {
                stale++;
                Lab.log("request %s, written to %s at %d, was served from data of %d: %d ms old, allowed are %d",
                        read.id(), read.node(), read.arrivedAtUnixMillis(), read.position(), ageMillis, BOUND_MILLIS);
            }
        }
        Map<String, Integer> byNode = new TreeMap<>();
        reads.forEach(read -> byNode.merge(read.node(), 1, Integer::sum));
        Lab.log("asked %d, served %d, executions by db node %s", ASKED.get(), SERVED.size(), byNode);
        Lab.quoteLog("n0", "WARN|ERROR", 20);
        if (ended || SERVED.size() < 500) {
            Lab.cannotRun("the pooler has ended, or served too little: " + SERVED.size());
        }
        Lab.verdict(stale > 0, "%d of %d reads were served by a replica from data older than the class allows", stale,
                SERVED.size());
    }
}
